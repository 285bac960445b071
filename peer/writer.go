package peer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"
)

const writeTimeout = time.Second

// errEncode is returned for a frame that cannot be encoded, such as one that is too
// long.
var errEncode = errors.New("frame not encoded")

// errCancelled is returned for a frame whose context ended before it was written.
var errCancelled = errors.New("call cancelled before its frame was written")

// frameWriter lets many goroutines write frames to one stream. The last of several
// concurrent writers flushes the frames of all.
type frameWriter struct {
	waiting atomic.Int32
	conn    net.Conn

	mu  sync.Mutex
	out *bufio.Writer
	buf []byte
	err error
}

func newFrameWriter(conn net.Conn) *frameWriter {
	return &frameWriter{conn: conn, out: bufio.NewWriterSize(conn, bufferSize)}
}

// write queues one frame. For an error that wraps errEncode no byte of this frame is
// sent and the connection stays usable; any other error closes the connection.
func (f *frameWriter) write(kind Kind, id uint64, m msgp.Marshaler) error {
	return f.writeContext(context.Background(), kind, id, m)
}

// writeContext is write with a context. If ctx has ended when the writer gets its turn,
// no byte of the frame is sent and the error wraps errCancelled.
func (f *frameWriter) writeContext(ctx context.Context, kind Kind, id uint64, m msgp.Marshaler) error {
	f.waiting.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.waiting.Add(-1) == 0
	if f.err != nil {
		return f.err
	}
	if ctx.Err() != nil {
		if last {
			if err := f.out.Flush(); err != nil {
				return f.fail(fmt.Errorf("flush frames: %w", err))
			}
		}
		return fmt.Errorf("%w: %w", errCancelled, ctx.Err())
	}
	// A peer that no longer reads must not block its callers.
	_ = f.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	buf, encodeErr := AppendFrame(f.buf[:0], kind, id, m)
	if cap(buf) <= maxReusedBuffer {
		f.buf = buf
	}
	if encodeErr == nil {
		if _, err := f.out.Write(buf); err != nil {
			return f.fail(fmt.Errorf("write frame: %w", err))
		}
	}
	// The last writer flushes even if its own frame is not sent, since earlier writers
	// rely on it.
	if last {
		if err := f.out.Flush(); err != nil {
			return f.fail(fmt.Errorf("flush frames: %w", err))
		}
	}
	if encodeErr != nil {
		return fmt.Errorf("%w: %w", errEncode, encodeErr)
	}
	return nil
}

// fail closes the connection: after a partly sent frame the peer cannot read the frames
// that follow.
func (f *frameWriter) fail(err error) error {
	f.err = err
	_ = f.conn.Close()
	return err
}
