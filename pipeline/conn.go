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
	// defaultMaxPipelined bounds the requests of one connection that are started early
	// and not answered; browsers that used pipelining had up to 8 in flight.
	defaultMaxPipelined = 16
	// defaultReadAhead bounds the bytes that are read ahead on a connection.
	defaultReadAhead = 64 << 10
	// maxHeadBytes bounds the size of a head that is parsed here; longer ones are passed
	// through to net/http, which accepts or rejects them.
	maxHeadBytes = 16 << 10
	// readSize is the size of one read from the socket in bytes, the same as in
	// net/http.
	readSize = 4 << 10
	// parseBufferSize is the size in bytes of the buffer in which a head is parsed.
	parseBufferSize = 256
	// headTimeout is how long to wait for the rest of a head. After it the incomplete
	// head is passed to net/http, which applies its own timeout.
	headTimeout = 2 * time.Second
)

// Conn is a caller's connection from which net/http reads one request at a time.
type Conn struct {
	net.Conn
	ingress *Ingress
	// ctx is the parent context of the requests that are started early; cancel cancels
	// it.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// received holds the bytes that have not been passed to net/http yet.
	received []byte
	// remaining is the number of bytes that are left of the request that is being passed
	// to net/http.
	remaining int64
	// queued are the requests that were parsed at the start of received; parsed is their
	// size in bytes.
	queued []pipelinedRequest
	parsed int64
	// handedOver are the requests that were passed to net/http, the last one perhaps in
	// part, and that net/http has not passed to the handler yet.
	handedOver []pipelinedRequest
	// current is the request that net/http serves; it is valid while serving is true.
	current pipelinedRequest
	serving bool
	// passThrough is true once all bytes are passed to net/http as they arrive.
	passThrough bool
	// closing is true once an answer closes the connection, or the caller has announced
	// that it sends no further request.
	closing bool
	// deadline is the read deadline that net/http has set.
	deadline time.Time
}

func newConn(conn net.Conn, i *Ingress) *Conn {
	c := &Conn{Conn: conn, ingress: i}
	c.setContext(context.Background())
	return c
}

// setContext sets the parent of the contexts of requests that are started early. It
// must be called before the first Read.
func (c *Conn) setContext(ctx context.Context) { c.ctx, c.cancel = context.WithCancel(ctx) }

// Close closes the connection and cancels its requests.
func (c *Conn) Close() error {
	c.cancel()
	c.mu.Lock()
	c.fallBack()
	c.mu.Unlock()
	return c.Conn.Close() //nolint:wrapcheck // net/http looks at the error itself.
}

// ReadAhead returns the size in bytes of what was read and not passed to net/http yet.
func (c *Conn) ReadAhead() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.received)
}

// CloseWrite closes the writing side. net/http calls it before it closes a connection.
func (c *Conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite() //nolint:wrapcheck // net/http ignores it.
	}
	return nil
}

// SetReadDeadline sets the deadline of Read.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(t) //nolint:wrapcheck // net/http looks at the error itself.
}

// Read returns bytes of one request at a time. While net/http serves a request, Read
// keeps reading from the socket and starts requests that have arrived. It then returns
// only at the end of the connection, at the deadline with which net/http stops its
// background read, or if the read-ahead limit is reached.
func (c *Conn) Read(p []byte) (int, error) {
	waited := false
	for {
		n, headIncomplete := c.deliver(p, waited)
		if n > 0 {
			return n, nil
		}
		if headIncomplete && !waited {
			waited = true
			c.limitHeadWait()
		}
		err := c.fill(p)
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.cancel()
			if !c.releasePartial() {
				return 0, err
			}
		case !waited || c.deadlinePassed() || !c.releasePartial():
			return 0, err
		}
	}
}

// limitHeadWait sets a read deadline for the rest of a head.
func (c *Conn) limitHeadWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	headDeadline := time.Now().Add(headTimeout)
	if c.deadline.IsZero() || headDeadline.Before(c.deadline) {
		_ = c.Conn.SetReadDeadline(headDeadline)
	}
}

// deadlinePassed reports whether the deadline that net/http has set is over.
func (c *Conn) deadlinePassed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.deadline.IsZero() && !time.Now().Before(c.deadline)
}

// releasePartial passes an incomplete request on to net/http, which decides how to
// handle it. It reports false if there is none, or if requests before it have to be
// served first.
func (c *Conn) releasePartial() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy() || len(c.queued) > 0 || len(c.received) == 0 {
		return false
	}
	c.passThrough = true
	return true
}

// fill reads from the socket. While nothing is buffered it reads into p, the buffer of
// net/http, so that a connection without requests needs no buffer of its own.
func (c *Conn) fill(p []byte) error {
	buf := p
	if len(c.received) > 0 {
		c.received = slices.Grow(c.received, readSize)
		buf = c.received[len(c.received):cap(c.received)]
	}
	n, err := c.Conn.Read(buf)
	c.received = append(c.received, buf[:n]...)
	if n > 0 {
		return nil
	}
	return err //nolint:wrapcheck // net/http looks at the error itself.
}

// deliver copies received bytes to p if some may be passed to net/http. It returns 0 if
// more has to be read first; headIncomplete is true if that is the rest of a head. The
// argument waited is true if Read has waited for the rest of a head, so that the
// deadline of the socket has to be set back to that of net/http.
func (c *Conn) deliver(p []byte, waited bool) (n int, headIncomplete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ready, headIncomplete := c.ready(); !ready {
		return 0, headIncomplete
	}
	if waited {
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
	return c.copyOut(p), false
}

// ready reports whether bytes may be passed to net/http: the rest of a request, any bytes
// of a connection that is passed through, or the next request, once net/http has none
// or the read-ahead limit is reached. The caller must hold c.mu.
func (c *Conn) ready() (ready, headIncomplete bool) {
	if c.remaining == 0 && !c.passThrough {
		c.parseReceived()
	}
	switch {
	case c.remaining > 0 || c.passThrough:
		return true, false
	case c.busy() && !c.readAheadFull():
		return false, false
	case len(c.queued) == 0:
		return false, len(c.received) > 0 && !c.busy()
	}
	c.handOverNext()
	return true, false
}

// copyOut moves received bytes to p, up to the end of the request that is being passed
// on. The caller must hold c.mu.
func (c *Conn) copyOut(p []byte) int {
	size := int64(len(c.received))
	if !c.passThrough {
		size = min(size, c.remaining)
	}
	n := copy(p, c.received[:size])
	c.received = c.received[n:]
	if len(c.received) == 0 {
		c.received = nil
	}
	if !c.passThrough {
		c.remaining -= int64(n)
		c.parsed -= int64(n)
	}
	return n
}
