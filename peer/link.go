package peer

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/tcp"
)

const (
	dialTimeout = 500 * time.Millisecond
	// redialDelay is the minimum time between a failed dial and the next dial to the
	// same address. It limits the dials to an address that refuses connections.
	redialDelay = 100 * time.Millisecond
)

// link manages the single connection to an address and dials it on demand.
type link struct {
	addr netip.AddrPort

	conn atomic.Pointer[clientConn]

	mu       sync.Mutex
	dialing  chan struct{}
	failedAt time.Time
	lastErr  error
	// closed is true once the client no longer wants a connection to addr.
	closed bool
}

var errClosed = errors.New("client closed")

func (l *link) connected() bool { return l.conn.Load() != nil }

// idle reports whether the connection has no pending calls.
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

func (l *link) connect(ctx context.Context, c *Client) (*clientConn, error) {
	for {
		if conn := l.conn.Load(); conn != nil {
			return conn, nil
		}
		dialed, err := l.startDial(c)
		if err != nil {
			return nil, err
		}
		select {
		case <-dialed:
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

// startDial starts a dial that all waiting callers share, so that it does not depend on
// the context of any of them. The returned channel is closed when the dial ends.
func (l *link) startDial(c *Client) (<-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, errClosed)
	}
	if l.dialing != nil {
		return l.dialing, nil
	}
	if l.conn.Load() != nil {
		// Another dial has ended since the caller checked. A second connection would
		// replace the first, which nothing would close.
		return closedChannel(), nil
	}
	if l.lastErr != nil && time.Since(l.failedAt) < redialDelay {
		return nil, l.lastErr
	}
	done := make(chan struct{})
	l.dialing = done
	go func() {
		netConn, err := tcp.NewDialer(dialTimeout, tcp.WithAckTimeout(tcp.PeerAckTimeout)).Dial("tcp", l.addr.String())
		l.mu.Lock()
		defer l.mu.Unlock()
		defer close(done)
		l.dialing = nil
		l.lastErr = nil
		if err != nil {
			l.lastErr = fmt.Errorf("%w: %w", ErrNotSent, err)
			l.failedAt = time.Now()
			return
		}
		if l.closed {
			_ = netConn.Close()
			l.lastErr = fmt.Errorf("%w: %w", ErrNotSent, errClosed)
			return
		}
		conn := newClientConn(c, l, netConn)
		l.conn.Store(conn)
		go conn.read()
	}()
	return done, nil
}

// closedChannel returns a closed channel, for callers that need not wait.
func closedChannel() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}
