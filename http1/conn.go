package http1

import (
	"net"
	"sync"
)

// Conn is a client's connection that checks the heads of the answers on it.
type Conn struct {
	net.Conn
	mu   sync.Mutex
	head head
	// err is the error of the first malformed head, after which nothing is read.
	err error
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
// read, as soon as a head is malformed.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
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
