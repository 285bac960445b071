package peer

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// askAfter is how long a connection on which calls wait is quiet before the peer is
	// asked for a sign of life; most targets answer within it.
	askAfter = 150 * time.Millisecond
	// silentAfter is how long such a question goes unanswered before the peer counts as
	// silent. A daemon answers without running anything, so that only one that gets no
	// processor for as long is mistaken.
	silentAfter = 400 * time.Millisecond
)

// errSilent is returned for a call to a peer that gives no sign of life. The connection
// may still come back, so that the calls that wait on it go on waiting.
var errSilent = errors.New("peer is silent")

// pulse judges whether the peer of a connection gives signs of life. It knows nothing
// while no call waits; it is pure, and the connection's lock guards it.
type pulse struct {
	// quiet is since when nothing was heard although calls wait.
	quiet time.Time
	// asked is when the question was sent that is not answered yet; zero if none is.
	asked time.Time
}

// heard notes that something came from the peer.
func (p *pulse) heard(now time.Time) { *p = pulse{quiet: now} }

// call is asked before a call is sent, while so many others wait. It tells whether the
// peer is silent, and if not whether to ask it for a sign of life.
func (p *pulse) call(now time.Time, waiting int) (silent, ask bool) {
	switch {
	case waiting == 0:
		p.heard(now)
		return false, false
	case !p.asked.IsZero():
		return now.Sub(p.asked) > silentAfter, false
	case now.Sub(p.quiet) > askAfter:
		p.asked = now
		return false, true
	default:
		return false, false
	}
}
