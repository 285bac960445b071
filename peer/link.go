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
	// redialPause spares an address that has just refused a connection.
	redialPause = 100 * time.Millisecond
)

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
	if l.conn.Load() != nil {
		// A dial has ended since the caller looked. A second connection would take
		// the place of the first, which nobody would close.
		return ready(), nil
	}
	if l.lastErr != nil && time.Since(l.refused) < redialPause {
		return nil, l.lastErr
	}
	done := make(chan struct{})
	l.dialing = done
	go func() {
		raw, err := tcp.NewDialer(dialTimeout, tcp.WithSilence(tcp.PeerSilence)).Dial("tcp", l.addr.String())
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

// ready returns a channel for those who need not wait.
func ready() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}
