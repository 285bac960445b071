package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/wire"
)

var (
	// ErrNotSent is returned if no byte of the call left this process.
	ErrNotSent = errors.New("call not sent")
	// ErrBroken is returned if the connection ended before the reply came.
	ErrBroken = errors.New("connection ended before the reply")
	// ErrRefused is returned if the peer did not begin the call.
	ErrRefused = errors.New("peer refused the call")
	// ErrFailed is returned if the peer began the call and has no reply to it.
	ErrFailed = errors.New("peer failed the call")
)

const (
	dialTimeout = 500 * time.Millisecond
	// redialPause spares an address that has just refused a connection.
	redialPause = 100 * time.Millisecond
)

// ClientStats counts what a Client has met.
type ClientStats struct {
	// Late counts replies that nobody waited for any more.
	Late uint64
	// Open is the number of connections now.
	Open int
}

// Client calls other daemons over one connection to each.
type Client struct {
	opts options
	late atomic.Uint64
	next atomic.Uint64

	mu     sync.Mutex
	links  map[netip.AddrPort]*link
	closed bool
}

// NewClient returns a client without connections.
func NewClient(opts ...Option) *Client {
	return &Client{opts: newOptions(opts), links: make(map[netip.AddrPort]*link)}
}

// Call sends q to the daemon at addr and waits for its reply. If ctx ends first,
// the peer is told to cancel.
func Call[R any, PR interface {
	*R
	wire.Message
}](ctx context.Context, c *Client, addr netip.AddrPort, kind Kind, q wire.Message) (PR, error) {
	conn, err := c.link(addr).get(ctx, c)
	if err != nil {
		return nil, fmt.Errorf("connect %s: %w", addr, err)
	}
	id := c.next.Add(1)
	w := &waiter{kind: kind, reply: make(chan error, 1), message: PR(new(R))}
	if err := conn.send(kind, id, q, w); err != nil {
		return nil, fmt.Errorf("call %s: %w", addr, err)
	}
	select {
	case err := <-w.reply:
		return received[R, PR](addr, w, err)
	case <-ctx.Done():
		if !conn.forget(id) {
			return received[R, PR](addr, w, <-w.reply)
		}
		// The connection may be held up by a peer that does not read.
		go conn.cancel(id)
		return nil, fmt.Errorf("call %s: %w", addr, context.Cause(ctx))
	}
}

// received returns the reply that w waited for, or the error in its place.
func received[R any, PR interface {
	*R
	wire.Message
}](addr netip.AddrPort, w *waiter, err error) (PR, error) {
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", addr, err)
	}
	reply, _ := w.message.(PR)
	return reply, nil
}

// Close ends all connections. Later calls are not sent.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, l := range c.links {
		l.close()
	}
}

// Stats returns what the client has met so far.
func (c *Client) Stats() ClientStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := 0
	for _, l := range c.links {
		if l.live() {
			open++
		}
	}
	return ClientStats{Late: c.late.Load(), Open: open}
}

// Retain closes the connections to all addresses for which keep is false and on
// which no call waits.
func (c *Client) Retain(keep func(netip.AddrPort) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, l := range c.links {
		if !keep(addr) && l.idle() {
			l.close()
			delete(c.links, addr)
		}
	}
}

func (c *Client) link(addr netip.AddrPort) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[addr]
	if l == nil {
		l = &link{addr: addr, closed: c.closed}
		c.links[addr] = l
	}
	return l
}

// link holds the one connection to an address and dials it on demand.
type link struct {
	addr netip.AddrPort

	conn atomic.Pointer[clientConn]

	mu      sync.Mutex
	dialing chan struct{}
	refused time.Time
	lastErr error
	// closed is true once no connection is wanted any more.
	closed bool
}

var errClosed = errors.New("client closed")

func (l *link) live() bool { return l.conn.Load() != nil }

// idle tells whether no call waits on the connection.
func (l *link) idle() bool {
	conn := l.conn.Load()
	return conn == nil || conn.idle()
}

func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	if conn := l.conn.Load(); conn != nil {
		conn.fail(ErrBroken)
	}
}

func (l *link) get(ctx context.Context, c *Client) (*clientConn, error) {
	for {
		if conn := l.conn.Load(); conn != nil {
			return conn, nil
		}
		wait, err := l.dial(c)
		if err != nil {
			return nil, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
		}
		l.mu.Lock()
		err = l.lastErr
		l.mu.Unlock()
		if err != nil && l.conn.Load() == nil {
			return nil, err
		}
	}
}

// dial starts one dial for all who wait, apart from their contexts.
func (l *link) dial(c *Client) (<-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, errClosed)
	}
	if l.dialing != nil {
		return l.dialing, nil
	}
	if l.lastErr != nil && time.Since(l.refused) < redialPause {
		return nil, l.lastErr
	}
	done := make(chan struct{})
	l.dialing = done
	go func() {
		raw, err := net.DialTimeout("tcp", l.addr.String(), dialTimeout)
		l.mu.Lock()
		defer l.mu.Unlock()
		defer close(done)
		l.dialing = nil
		l.lastErr = nil
		if err != nil {
			l.lastErr = fmt.Errorf("%w: %w", ErrNotSent, err)
			l.refused = time.Now()
			return
		}
		if l.closed {
			_ = raw.Close()
			l.lastErr = fmt.Errorf("%w: %w", ErrNotSent, errClosed)
			return
		}
		conn := newClientConn(c, l, raw)
		l.conn.Store(conn)
		go conn.read()
	}()
	return done, nil
}

type waiter struct {
	kind    Kind
	message wire.Message
	reply   chan error
}

type clientConn struct {
	client *Client
	link   *link
	raw    net.Conn
	writer *frameWriter

	mu      sync.Mutex
	waiters map[uint64]*waiter
	dead    bool
}

func newClientConn(c *Client, l *link, raw net.Conn) *clientConn {
	return &clientConn{
		client: c, link: l, raw: raw,
		writer:  newFrameWriter(raw),
		waiters: make(map[uint64]*waiter),
	}
}

func (c *clientConn) send(kind Kind, id uint64, q wire.Message, w *waiter) error {
	c.mu.Lock()
	if c.dead {
		c.mu.Unlock()
		return ErrNotSent
	}
	c.waiters[id] = w
	c.mu.Unlock()
	err := c.writer.write(kind, id, q)
	switch {
	case errors.Is(err, errEncode):
		c.forget(id)
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	case err != nil:
		c.fail(err)
	}
	return nil
}

// cancel tells the peer that nobody waits for the call any more.
func (c *clientConn) cancel(id uint64) {
	if err := c.writer.write(KindCancel, id, &wire.Cancel{Reason: "given up"}); err != nil {
		c.fail(err)
	}
}

func (c *clientConn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiters) == 0
}

func (c *clientConn) forget(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.waiters[id]
	delete(c.waiters, id)
	return ok
}

func (c *clientConn) take(id uint64) *waiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.waiters[id]
	delete(c.waiters, id)
	return w
}

func (c *clientConn) read() {
	reader := NewFrameReader(c.raw, c.client.opts.maxFrame)
	reader.fill = c.client.opts.fill
	for {
		frame, err := reader.Next()
		if err != nil {
			c.fail(err)
			return
		}
		w := c.client.opts.match(c, frame.ID)
		if w == nil {
			c.client.late.Add(1)
			continue
		}
		switch frame.Kind {
		case w.kind | replyBit:
			w.reply <- wire.Decode(frame.Body, w.message)
		case kindFailed | replyBit:
			w.reply <- failure(frame.Body)
		default:
			w.reply <- fmt.Errorf("kind %d in a reply: %w", frame.Kind, ErrBroken)
			c.fail(errBadFrame)
			return
		}
	}
}

// failure returns the error that stands in place of a reply.
func failure(body []byte) error {
	var ack wire.Ack
	if err := wire.Decode(body, &ack); err != nil {
		return fmt.Errorf("%w: %w", ErrFailed, err)
	}
	if ack.OK {
		return fmt.Errorf("%w: %s", ErrFailed, ack.Reason)
	}
	return fmt.Errorf("%w: %s", ErrRefused, ack.Reason)
}

// fail ends the connection and everyone who waits on it.
func (c *clientConn) fail(cause error) {
	c.link.conn.CompareAndSwap(c, nil)
	_ = c.raw.Close()
	c.mu.Lock()
	waiters := c.waiters
	c.waiters = nil
	c.dead = true
	c.mu.Unlock()
	for _, w := range waiters {
		w.reply <- fmt.Errorf("%w: %w", ErrBroken, cause)
	}
}
