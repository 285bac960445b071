package peer

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"

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

// ClientStats counts what a Client has met.
type ClientStats struct {
	// LateReplies counts replies that nobody waited for any more.
	LateReplies uint64
	// OpenConns is the number of connections now.
	OpenConns int
}

// Client calls other daemons over one connection to each.
type Client struct {
	opts options
	late atomic.Uint64
	next atomic.Uint64

	panicked func(error)

	mu     sync.Mutex
	links  map[netip.AddrPort]*link
	closed bool
}

// NewClient returns a client without connections.
func NewClient(opts ...Option) *Client {
	return &Client{opts: newOptions(opts), links: make(map[netip.AddrPort]*link), panicked: func(error) {}}
}

// OnPanic names what is told of each reply whose reading has panicked; it must be called
// before the first Call. The connection that it came by is closed.
func (c *Client) OnPanic(f func(error)) { c.panicked = f }

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
	if err := conn.send(ctx, kind, id, q, w); err != nil {
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
	return ClientStats{LateReplies: c.late.Load(), OpenConns: open}
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
