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
	// SmallMessageSize is the size in bytes up to which a message is read without asking for room.
	SmallMessageSize = 128 << 10
	// DefaultCapacity is the room of a pool in bytes: one message of the greatest size that
	// targets are allowed.
	DefaultCapacity = 8 << 20
	// firstSegment and segment are how much of a message of unknown length is read at
	// first and at most in one piece, in bytes.
	firstSegment = 4 << 10
	segment      = 64 << 10
)

// ErrTooLong is returned for a message over its limit.
var ErrTooLong = errors.New("message is over the limit")

// Pool is the room for long messages that are being read. It is safe for concurrent use.
type Pool struct {
	size int64
	room *semaphore.Weighted
	// segments are pieces that no message needs any more. Without them messages that are
	// given up would leave the collector more to do than it can do in time.
	segments sync.Pool
}

// NewPool returns a Pool with so much room, in bytes. A message that may become longer
// takes all of it.
func NewPool(size int64) *Pool {
	return &Pool{size: size, room: semaphore.NewWeighted(size)}
}

// ReadAll reads r to its end. Declared is the length of the message in bytes; negative if
// it is not known. It returns ErrSize as soon as more than limit bytes are declared or
// have come, and the error of ctx if that ends while the message waits for room.
func (p *Pool) ReadAll(ctx context.Context, r io.Reader, declared, limit int64) ([]byte, error) {
	if declared > limit {
		return nil, ErrTooLong
	}
	first, err := p.read(r, declared, min(SmallMessageSize, limit)+1)
	if err != nil || int64(len(first)) <= min(SmallMessageSize, limit) {
		return first, err
	}
	if int64(len(first)) > limit {
		return nil, ErrTooLong
	}
	most := limit
	if declared >= 0 {
		most = declared
	}
	need := min(most, p.size)
	if err := p.room.Acquire(ctx, need); err != nil {
		return nil, fmt.Errorf("wait for room for %d bytes: %w", need, err)
	}
	defer p.room.Release(need)
	rest, err := p.read(r, declared-int64(len(first)), limit-int64(len(first))+1)
	if err != nil {
		return nil, err
	}
	if int64(len(first)+len(rest)) > limit {
		return nil, ErrTooLong
	}
	return append(first, rest...), nil
}

// read reads r to its end, or most bytes. Segments, in place of a buffer that doubles,
// keep what is held at what has come.
func (p *Pool) read(r io.Reader, declared, most int64) ([]byte, error) {
	r = io.LimitReader(r, most)
	size := int64(firstSegment)
	if declared > 0 && declared < most {
		// One more byte than is declared shows the end without a further segment.
		size = declared + 1
	}
	var segments [][]byte
	defer func() { p.recycle(segments) }()
	for {
		next := p.piece(size)
		n, ended, err := fill(r, next)
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
		size = min(2*size, segment)
	}
}

// piece returns room for so many bytes.
func (p *Pool) piece(size int64) []byte {
	if size == segment {
		if used, ok := p.segments.Get().(*[]byte); ok {
			return *used
		}
	}
	return make([]byte, size)
}

// recycle keeps pieces for later messages.
func (p *Pool) recycle(segments [][]byte) {
	for _, s := range segments {
		if cap(s) == segment {
			s = s[:segment]
			p.segments.Put(&s)
		}
	}
}

// fill reads until p is full or r has ended. Unlike io.ReadFull it tells the end of r from
// a message that was cut, whose error may be io.ErrUnexpectedEOF.
func fill(r io.Reader, p []byte) (n int, ended bool, err error) {
	for n < len(p) {
		more, err := r.Read(p[n:])
		n += more
		if errors.Is(err, io.EOF) {
			return n, true, nil
		}
		if err != nil {
			return n, false, err //nolint:wrapcheck // The only caller wraps it.
		}
	}
	return n, false, nil
}
