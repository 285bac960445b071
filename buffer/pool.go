package buffer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

const (
	// SmallMessageSize is the size, in bytes, up to which a message is read without
	// reserving capacity.
	SmallMessageSize = 128 << 10
	// DefaultCapacity is the capacity of a pool, in bytes: one message of the maximum
	// size allowed for targets.
	DefaultCapacity = 8 << 20
	// A message of unknown length is read in segments. firstSegmentSize is the size of
	// the first one and segmentSize the maximum, in bytes.
	firstSegmentSize = 4 << 10
	segmentSize      = 64 << 10
)

// ErrTooLong is returned for a message over its limit.
var ErrTooLong = errors.New("message is over the limit")

// Pool limits the memory of the long messages that are being read. It is safe for
// concurrent use.
type Pool struct {
	capacity int64
	// freeSegments holds segments for reuse. Without it the garbage collector cannot
	// keep up with the segments of messages that are abandoned.
	freeSegments sync.Pool

	mu sync.Mutex
	// used is the capacity that all messages hold.
	used int64
	// privileged is the message that may exceed the capacity; nil if none does.
	privileged *message
	// waiting are the messages that wait for capacity, in the order of their arrival.
	waiting []*waiter
}

// message is a long message that is being read.
type message struct {
	// held is the capacity that it holds, in bytes.
	held int64
}

// waiter is a message that waits for capacity for its next n bytes.
type waiter struct {
	message *message
	n       int64
	// ready is closed once it has the capacity.
	ready chan struct{}
}

// NewPool returns a Pool with the given capacity in bytes.
func NewPool(capacity int64) *Pool {
	return &Pool{capacity: capacity}
}

// ReadAll reads r to its end. declared is the length of the message in bytes; negative
// if it is unknown. ReadAll returns ErrTooLong as soon as more than limit bytes are
// declared or read, and the error of ctx if ctx ends while the message waits for
// capacity.
func (p *Pool) ReadAll(ctx context.Context, r io.Reader, declared, limit int64) ([]byte, error) {
	if declared > limit {
		return nil, ErrTooLong
	}
	head, err := p.readSegments(r, declared, min(SmallMessageSize, limit)+1, noReservation)
	if err != nil || int64(len(head)) <= min(SmallMessageSize, limit) {
		return head, err
	}
	if int64(len(head)) > limit {
		return nil, ErrTooLong
	}
	m := &message{}
	defer p.release(m)
	left := limit - int64(len(head))
	// The declared length is not used: capacity for bytes that arrive late or never would
	// delay other messages.
	rest, err := p.readSegments(&boundedReader{r: r, left: left}, -1, left+1, func(n int64) error { return p.reserve(ctx, m, n) })
	if err != nil {
		return nil, err
	}
	return append(head, rest...), nil
}

// noReservation is the reservation of messages whose memory is bounded elsewhere.
func noReservation(int64) error { return nil }

// reserve waits until a message may hold n more bytes, or ctx ends.
func (p *Pool) reserve(ctx context.Context, m *message, n int64) error {
	p.mu.Lock()
	if p.grant(m, n) {
		p.mu.Unlock()
		return nil
	}
	w := &waiter{message: m, n: n, ready: make(chan struct{})}
	p.waiting = append(p.waiting, w)
	p.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// What was granted meanwhile is released with the message.
	p.waiting = slices.DeleteFunc(p.waiting, func(other *waiter) bool { return other == w })
	return fmt.Errorf("wait for capacity of %d bytes: %w", n, ctx.Err())
}

// grant lets a message hold n more bytes, and reports whether it may: there is room, or
// no other message exceeds the capacity. The caller holds the lock.
func (p *Pool) grant(m *message, n int64) bool {
	if p.used+n > p.capacity {
		if p.privileged != nil && p.privileged != m {
			return false
		}
		p.privileged = m
	}
	p.used += n
	m.held += n
	return true
}

// release returns what a message holds to those that wait. Once the capacity is no longer
// exceeded, another message may exceed it: the one that did may have stalled.
func (p *Pool) release(m *message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used -= m.held
	if p.privileged == m || p.used <= p.capacity {
		p.privileged = nil
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(w *waiter) bool {
		granted := p.grant(w.message, w.n)
		if granted {
			close(w.ready)
		}
		return granted
	})
}

// readSegments reads r to its end, or up to maxBytes. It reads into segments instead of
// a doubling buffer, so that the memory in use stays close to the bytes received. reserve
// is called before each segment is allocated, with its size.
func (p *Pool) readSegments(r io.Reader, declared, maxBytes int64, reserve func(int64) error) ([]byte, error) {
	r = io.LimitReader(r, maxBytes)
	size := int64(firstSegmentSize)
	if declared > 0 && declared < maxBytes {
		// With one byte more than declared, the read reaches the end without another
		// segment.
		size = declared + 1
	}
	var segments [][]byte
	defer func() { p.recycle(segments) }()
	for {
		if err := reserve(size); err != nil {
			return nil, err
		}
		next := p.newSegment(size)
		n, ended, err := readFull(r, next)
		segments = append(segments, next[:n])
		if err != nil {
			return nil, fmt.Errorf("read message: %w", err)
		}
		if ended && len(segments) == 1 {
			segments = nil
			return next[:n], nil
		}
		if ended {
			return bytes.Join(segments, nil), nil
		}
		size = min(2*size, segmentSize)
	}
}

// newSegment returns a buffer of the given size; one of segmentSize is reused if
// available.
func (p *Pool) newSegment(size int64) []byte {
	if size == segmentSize {
		if segment, ok := p.freeSegments.Get().(*[]byte); ok {
			return *segment
		}
	}
	return make([]byte, size)
}

// recycle keeps full-size segments for reuse.
func (p *Pool) recycle(segments [][]byte) {
	for _, s := range segments {
		if cap(s) == segmentSize {
			s = s[:segmentSize]
			p.freeSegments.Put(&s)
		}
	}
}

// readFull reads until p is full or r has ended. Unlike io.ReadFull it distinguishes
// the end of r from a truncated message, whose error may be io.ErrUnexpectedEOF.
func readFull(r io.Reader, p []byte) (n int, atEOF bool, err error) {
	for n < len(p) {
		read, err := r.Read(p[n:])
		n += read
		if errors.Is(err, io.EOF) {
			return n, true, nil
		}
		if err != nil {
			return n, false, err //nolint:wrapcheck // The only caller wraps it.
		}
	}
	return n, false, nil
}

// ReadWhole reads r to its end without reserving capacity, for messages whose memory is bounded elsewhere.
// The memory in use follows the bytes received, also if more is declared. declared is the length of the message in bytes; negative if it is unknown. ReadWhole returns
// ErrTooLong as soon as more than limit bytes are declared or read.
func (p *Pool) ReadWhole(r io.Reader, declared, limit int64) ([]byte, error) {
	if declared > limit {
		return nil, ErrTooLong
	}
	if declared >= firstSegmentSize {
		declared = -1
	}
	return p.readSegments(&boundedReader{r: r, left: limit}, declared, limit+1, noReservation)
}

// boundedReader fails with ErrTooLong once more than left bytes were read.
type boundedReader struct {
	r    io.Reader
	left int64
}

// Read reads from the wrapped reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return n, ErrTooLong
	}
	return n, err //nolint:wrapcheck // readSegments looks for the end of the message, and wraps the others.
}
