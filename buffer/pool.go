package buffer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
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
	capacity  int64
	available *semaphore.Weighted
	// freeSegments holds segments for reuse. Without it the garbage collector cannot
	// keep up with the segments of messages that are abandoned.
	freeSegments sync.Pool
}

// NewPool returns a Pool with the given capacity in bytes. A message that may become
// longer than the capacity reserves all of it.
func NewPool(capacity int64) *Pool {
	return &Pool{capacity: capacity, available: semaphore.NewWeighted(capacity)}
}

// ReadAll reads r to its end. declared is the length of the message in bytes; negative
// if it is unknown. ReadAll returns ErrTooLong as soon as more than limit bytes are
// declared or read, and the error of ctx if ctx ends while the message waits for
// capacity.
func (p *Pool) ReadAll(ctx context.Context, r io.Reader, declared, limit int64) ([]byte, error) {
	if declared > limit {
		return nil, ErrTooLong
	}
	head, err := p.readSegments(r, declared, min(SmallMessageSize, limit)+1)
	if err != nil || int64(len(head)) <= min(SmallMessageSize, limit) {
		return head, err
	}
	if int64(len(head)) > limit {
		return nil, ErrTooLong
	}
	maxLength := limit
	if declared >= 0 {
		maxLength = declared
	}
	reserved := min(maxLength, p.capacity)
	if err := p.available.Acquire(ctx, reserved); err != nil {
		return nil, fmt.Errorf("wait for capacity of %d bytes: %w", reserved, err)
	}
	defer p.available.Release(reserved)
	left := limit - int64(len(head))
	rest, err := p.readSegments(&boundedReader{r: r, left: left}, declared-int64(len(head)), left+1)
	if err != nil {
		return nil, err
	}
	return append(head, rest...), nil
}

// readSegments reads r to its end, or up to maxBytes. It reads into segments instead of
// a doubling buffer, so that the memory in use stays close to the bytes received.
func (p *Pool) readSegments(r io.Reader, declared, maxBytes int64) ([]byte, error) {
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
	return p.readSegments(&boundedReader{r: r, left: limit}, declared, limit+1)
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
