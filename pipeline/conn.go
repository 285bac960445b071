package pipeline

import (
	"context"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// defaultCalls bounds the requests of one connection that are begun and not
	// answered; browsers that pipelined had up to 8 under way.
	defaultCalls = 16
	// maxReceived bounds what is read ahead of a connection, in bytes.
	maxReceived = 64 << 10
	// maxHead bounds a head that is looked at, in bytes; net/http judges longer ones.
	maxHead = 16 << 10
	// chunk is how much is read at once, in bytes, as by net/http.
	chunk = 4 << 10
	// parseBytes is the buffer in which a head is parsed, in bytes.
	parseBytes = 256
	// headPatience is how long the rest of a head is waited for until net/http gets
	// what is there, and waits for the rest on its own terms.
	headPatience = 2 * time.Second
)

// Conn is a connection of a caller. net/http reads from it one request at a time.
type Conn struct {
	net.Conn
	ingress *Ingress
	// ctx is that of the requests that are begun; ended ends it.
	ctx   context.Context
	ended context.CancelFunc

	mu sync.Mutex
	// received holds what net/http has not been given yet.
	received []byte
	// left is what of the request that is being handed over is still to be, in bytes.
	left int64
	// waiting are the requests at the start of received, as far as they are known;
	// parsed is how many bytes they have.
	waiting []pending
	parsed  int64
	// handed are the requests that are handed over, the last perhaps in part, and that the
	// handler has not been given yet.
	handed []pending
	// served is the request that the handler has, while serving is true.
	served  pending
	serving bool
	// plain is true once net/http gets everything as it comes.
	plain bool
	// closing is true once an answer closes the connection, or the caller has said
	// that it sends nothing more.
	closing bool
	// deadline is what net/http has set for reading.
	deadline time.Time
}

func newConn(conn net.Conn, i *Ingress) *Conn {
	c := &Conn{Conn: conn, ingress: i}
	c.setContext(context.Background())
	return c
}

// setContext has the contexts of begun requests derive from ctx. It is called before
// the first Read.
func (c *Conn) setContext(ctx context.Context) { c.ctx, c.ended = context.WithCancel(ctx) }

// Close closes the connection and ends what was begun for it.
func (c *Conn) Close() error {
	c.ended()
	c.mu.Lock()
	c.forget()
	c.mu.Unlock()
	return c.Conn.Close() //nolint:wrapcheck // net/http looks at the error itself.
}

// CloseWrite ends the writing side, as net/http does before it closes.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite() //nolint:wrapcheck // net/http ignores it.
	}
	return nil
}

// SetReadDeadline bounds the time of Read.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(t) //nolint:wrapcheck // net/http looks at the error itself.
}

// Read hands over bytes of one request. While that is being served it reads on, begins
// what has arrived, and returns only at the end of the connection, at the deadline by
// which net/http takes its reader back, or if there is no room for more.
func (c *Conn) Read(p []byte) (int, error) {
	partial := false
	for {
		n, waits := c.take(p, partial)
		if n > 0 {
			return n, nil
		}
		if waits && !partial {
			partial = true
			c.limitHead()
		}
		err := c.fill(p)
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.ended()
			if !c.release() {
				return 0, err
			}
		case !partial || c.overdue() || !c.release():
			return 0, err
		}
	}
}

// limitHead bounds how long the rest of a head is waited for.
func (c *Conn) limitHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := time.Now().Add(headPatience)
	if c.deadline.IsZero() || own.Before(c.deadline) {
		_ = c.Conn.SetReadDeadline(own)
	}
}

// overdue tells whether net/http's own deadline is over.
func (c *Conn) overdue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.deadline.IsZero() && !time.Now().Before(c.deadline)
}

// release has net/http judge the beginning of a request that does not come to its end.
// It reports false if there is none, or requests before it have to be served first.
func (c *Conn) release() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy() || len(c.waiting) > 0 || len(c.received) == 0 {
		return false
	}
	c.plain = true
	return true
}

// fill reads from the socket. As long as nothing has arrived, the room of net/http
// serves, so that a connection without requests has no buffer of its own.
func (c *Conn) fill(p []byte) error {
	space := p
	if len(c.received) > 0 {
		c.received = slices.Grow(c.received, chunk)
		space = c.received[len(c.received):cap(c.received)]
	}
	n, err := c.Conn.Read(space)
	c.received = append(c.received, space[:n]...)
	if n > 0 {
		return nil
	}
	return err //nolint:wrapcheck // net/http looks at the error itself.
}

// take hands over what it may. It returns 0 if more has to be read first; waits is true
// if that is the rest of a head. Partial is true if that has been waited for before, so
// that the deadline is another one than net/http's.
func (c *Conn) take(p []byte, partial bool) (n int, waits bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ready, waits := c.ready(); !ready {
		return 0, waits
	}
	if partial {
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
	return c.hand(p), false
}

// ready tells whether bytes may be handed over: the rest of a request, everything of a
// plain connection, or the next request, once net/http has none or nothing more is read
// ahead. The lock is held.
func (c *Conn) ready() (ready, waits bool) {
	if c.left == 0 && !c.plain {
		c.parse()
	}
	switch {
	case c.left > 0 || c.plain:
		return true, false
	case c.busy() && !c.full():
		return false, false
	case len(c.waiting) == 0:
		return false, len(c.received) > 0 && !c.busy()
	}
	c.next()
	return true, false
}

// hand hands over bytes that have arrived; the lock is held.
func (c *Conn) hand(p []byte) int {
	size := int64(len(c.received))
	if !c.plain {
		size = min(size, c.left)
	}
	n := copy(p, c.received[:size])
	c.received = c.received[n:]
	if len(c.received) == 0 {
		c.received = nil
	}
	if !c.plain {
		c.left -= int64(n)
		c.parsed -= int64(n)
	}
	return n
}
