package peer

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// pingDelay is how long a connection with pending calls may receive nothing before
	// the client sends a ping. Most targets answer within this time.
	pingDelay = 150 * time.Millisecond
	// pingTimeout is how long a ping may remain unanswered before the client treats the
	// peer as unresponsive. A daemon answers a ping without running a handler, so that
	// the verdict is wrong only for a daemon that gets no processor time for that long.
	pingTimeout = 400 * time.Millisecond
)

// errUnresponsive is returned for a new call to a peer that does not answer pings. The
// connection may recover, so calls that are already pending keep waiting.
var errUnresponsive = errors.New("peer does not respond")

// liveness detects an unresponsive peer of a connection. It detects nothing while no
// call is pending. Its methods do no I/O and take the time as an argument; the
// connection's mutex guards it.
type liveness struct {
	// quietSince is the time since which no frame has arrived although calls are
	// pending.
	quietSince time.Time
	// pingedAt is when the unanswered ping was sent; zero if there is none.
	pingedAt time.Time
}

// frameReceived records that a frame arrived from the peer.
func (p *liveness) frameReceived(now time.Time) { *p = liveness{quietSince: now} }

// beforeCall must be called before each call is sent, with the number of other pending
// calls. It reports whether the peer is unresponsive and, if not, whether to send a
// ping.
func (p *liveness) beforeCall(now time.Time, pending int) (unresponsive, ping bool) {
	switch {
	case pending == 0:
		p.frameReceived(now)
		return false, false
	case !p.pingedAt.IsZero():
		return now.Sub(p.pingedAt) > pingTimeout, false
	case now.Sub(p.quietSince) > pingDelay:
		p.pingedAt = now
		return false, true
	default:
		return false, false
	}
}
