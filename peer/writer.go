package peer

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tinylib/msgp/msgp"
)

const writeTimeout = time.Second

// frameWriter lets many goroutines write frames to one stream. The last of
// those that write at the same time flushes for all.
type frameWriter struct {
	waiting atomic.Int32
	conn    net.Conn

	mu  sync.Mutex
	w   *bufio.Writer
	buf []byte
	err error
}

func newFrameWriter(conn net.Conn) *frameWriter {
	return &frameWriter{conn: conn, w: bufio.NewWriterSize(conn, bufferBytes)}
}

func (f *frameWriter) write(kind Kind, id uint64, m msgp.Marshaler) error {
	f.waiting.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.waiting.Add(-1) == 0
	if f.err != nil {
		return f.err
	}
	buf, err := AppendFrame(f.buf[:0], kind, id, m)
	if err != nil {
		return err
	}
	if cap(buf) <= maxPooledBytes {
		f.buf = buf
	}
	// A peer that no longer reads must not hold up those who call it.
	_ = f.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := f.w.Write(buf); err != nil {
		f.err = fmt.Errorf("write frame: %w", err)
		return f.err
	}
	if !last {
		return nil
	}
	if err := f.w.Flush(); err != nil {
		f.err = fmt.Errorf("flush frames: %w", err)
		return f.err
	}
	return nil
}
