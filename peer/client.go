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
	// ErrBroken is returned if the connection ended before the reply arrived.
	ErrBroken = errors.New("connection ended before the reply")
	// ErrRefused is returned if the peer did not start to handle the call.
	ErrRefused = errors.New("peer refused the call")
	// ErrFailed is returned if the peer started to handle the call and sent an error in
	// place of a reply.
	ErrFailed = errors.New("peer failed to handle the call")
)

// ClientStats contains the counters of a Client.
type ClientStats struct {
	// LateReplies counts replies whose call no longer waits.
	LateReplies uint64
	// OpenConns is the number of open connections.
	OpenConns int
}

// Client calls other daemons. It has at most one connection to each address.
type Client struct {
	opts        options
	lateReplies atomic.Uint64
	lastID      atomic.Uint64

	onPanic func(error)

	mu     sync.Mutex
	links  map[netip.AddrPort]*link
	closed bool
}

// NewClient returns a client without connections.
func NewClient(opts ...Option) *Client {
	return &Client{opts: newOptions(opts), links: make(map[netip.AddrPort]*link), onPanic: func(error) {}}
}

// OnPanic sets the function that is called with each panic while a reply is decoded. It
// must be called before the first Call. The client closes the connection on which that
// reply arrived.
func (c *Client) OnPanic(f func(error)) { c.onPanic = f }

// Call sends q to the daemon at addr and waits for its reply. If ctx ends first, it
// sends KindCancel to the peer.
func Call[R any, PR interface {
	*R
	wire.Message
}](ctx context.Context, c *Client, addr netip.AddrPort, kind Kind, q wire.Message) (PR, error) {
	conn, err := c.link(addr).connect(ctx, c)
	if err != nil {
		return nil, fmt.Errorf("connect %s: %w", addr, err)
	}
	id := c.lastID.Add(1)
	pending := &pendingCall{kind: kind, done: make(chan error, 1), response: PR(new(R))}
	if err := conn.send(ctx, kind, id, q, pending); err != nil {
		return nil, fmt.Errorf("call %s: %w", addr, err)
	}
	select {
	case err := <-pending.done:
		return callResult[R, PR](addr, pending, err)
	case <-ctx.Done():
		if !conn.removePending(id) {
			return callResult[R, PR](addr, pending, <-pending.done)
		}
		// A peer that does not read can block the write.
		go conn.cancel(id)
		return nil, fmt.Errorf("call %s: %w", addr, context.Cause(ctx))
	}
}

// callResult returns the response of a completed call, or err with the peer's address.
func callResult[R any, PR interface {
	*R
	wire.Message
}](addr netip.AddrPort, pending *pendingCall, err error) (PR, error) {
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", addr, err)
	}
	reply, _ := pending.response.(PR)
	return reply, nil
}

// Close closes all connections. Later calls return ErrNotSent.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, l := range c.links {
		l.close()
	}
}

// Stats returns the current counters.
func (c *Client) Stats() ClientStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := 0
	for _, l := range c.links {
		if l.connected() {
			open++
		}
	}
	return ClientStats{LateReplies: c.lateReplies.Load(), OpenConns: open}
}

// Retain closes the connections to all addresses for which keep returns false, except
// those with pending calls.
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
