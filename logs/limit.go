package logs

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Limit limits the rate of log lines of one kind. It is safe for concurrent use.
type Limit struct {
	limiter *rate.Limiter
	hidden  atomic.Uint64
}

// NewLimit returns a Limit of perSecond lines per second, with a burst of twice as many.
func NewLimit(perSecond int) *Limit {
	return &Limit{limiter: rate.NewLimiter(rate.Limit(perSecond), 2*perSecond)}
}

// Allow reports whether a line may be logged. If ok is true, hidden is the number of
// lines that were not allowed since the last one that was.
func (l *Limit) Allow() (hidden uint64, ok bool) {
	if !l.limiter.Allow() {
		l.hidden.Add(1)
		return 0, false
	}
	return l.hidden.Swap(0), true
}
