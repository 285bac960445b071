package http1

import (
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ErrAborted is returned for the end of a connection that was reset or timed out.
var ErrAborted = errors.New("connection was aborted")

// Conn is a client's connection that checks the heads of the answers on it, and whether it ends
// in order.
type Conn struct {
	net.Conn
	mu   sync.Mutex
	head head
	// err is the error of the first malformed head, after which nothing is read.
	err error

	// writeMu is held during each write and guards abortErr, the error of the connection that a
	// write has received.
	writeMu  sync.Mutex
	abortErr error
}

// NewConn returns a Conn that expects an answer.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// ExpectAnswer makes the next byte that is read the first one of an answer. It must be called
// before each request is written.
func (c *Conn) ExpectAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = head{}
}

// Read reads from the connection. It returns an error that wraps ErrHead, and nothing of what it
// read, as soon as a head is malformed. The error is io.EOF only if the other side has closed the
// connection in order, and wraps ErrAborted if a write has found that it was aborted.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = c.head.check(p[:n])
	}
	if c.err != nil {
		return 0, c.err
	}
	return n, err //nolint:wrapcheck // net/http looks at the error itself.
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(p)
	if c.abortErr == nil && isAbort(err) {
		c.abortErr = err
	}
	return n, err //nolint:wrapcheck // net/http looks at the error itself.
}

// endError returns the error for the end of the connection. The operating system reports the error
// of an aborted connection once, to a read or to a write; if a write receives it, reads find the
// same end as that of a connection that was closed in order.
func (c *Conn) endError() error {
	if !c.writeMu.TryLock() {
		// The write in progress may have received the error and not have returned yet. If it
		// waits for the other side, it is of no use any more: no answer can follow.
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		c.writeMu.Lock()
	}
	defer c.writeMu.Unlock()
	if c.abortErr != nil {
		return fmt.Errorf("%w: %w", ErrAborted, c.abortErr)
	}
	return io.EOF
}

// isAbort reports whether the error of a write is that of an aborted connection. EPIPE is not: a
// write gets it if the other side had closed the connection in order before it was reset, or if a
// read has received the error.
func isAbort(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}
