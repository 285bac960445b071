package peer

import (
	"io"
	"time"

	"github.com/pkg/errors"
)

// WithOrder is a mutation: it gives each reply to the oldest call that waits.
func WithOrder() Option {
	return func(o *options) {
		o.match = func(c *clientConn, _ uint64) *waiter {
			c.mu.Lock()
			defer c.mu.Unlock()
			oldest := ^uint64(0)
			for id := range c.waiters {
				oldest = min(oldest, id)
			}
			w := c.waiters[oldest]
			delete(c.waiters, oldest)
			return w
		}
	}
}

// WithCut is a mutation: it takes a body that was cut short for a whole one.
func WithCut() Option {
	return func(o *options) {
		o.fill = func(r io.Reader, p []byte) (int, error) {
			n, err := io.ReadFull(r, p)
			if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
				clear(p[n:])
				return len(p), nil
			}
			return n, err
		}
	}
}

// Pulse is a pulse for tests.
type Pulse struct{ p pulse }

// NewPulse returns one that knows nothing.
func NewPulse() *Pulse { return &Pulse{} }

// Heard notes that something came from the peer.
func (p *Pulse) Heard(now time.Time) { p.p.heard(now) }

// Call is asked before a call.
func (p *Pulse) Call(now time.Time, waiting int) (silent, ask bool) { return p.p.call(now, waiting) }
