package admission

import "time"

const (
	// returnShare is the divisor of the time that a caller has left which gives how long
	// it waits at most before it comes back.
	returnShare = 3
	// leastReturn is the shortest delay that is not rounded to zero on the way to a caller.
	leastReturn = time.Millisecond
	// A request with less than this fraction of the time that its kind usually has left
	// is taken to have waited and come back.
	waitedNumerator, waitedDenominator = 4, 5
)

// comebacks gives refused requests the times at which to come back: one after the other,
// at the rate at which the target serves.
type comebacks struct {
	// next is the first time that has not been given out.
	next time.Time
}

// giveOut returns the delay after which a request comes back: not before earliest, and one
// interval after the one before it. A delay above the longest is cut to it, and then
// reserves no time.
func (c *comebacks) giveOut(now time.Time, earliest, interval, longest time.Duration) time.Duration {
	at := now.Add(max(earliest, minRetryAfter))
	if c.next.After(at) {
		at = c.next
	}
	if wait := at.Sub(now); wait <= longest {
		c.next = at.Add(interval)
		return wait
	}
	return max(longest, leastReturn)
}

// longestReturn returns the longest useful delay for a request that needs this much work.
func (t *Ticket) longestReturn(work time.Duration, now time.Time) time.Duration {
	if t.Deadline.IsZero() {
		return maxRetryAfter
	}
	left := t.Deadline.Sub(now)
	return min(maxRetryAfter, left/returnShare, max(left-work, left/(2*returnShare)))
}

// timeLimit is the longest time that requests of a kind had left on arrival, over the
// current and the previous period of servedSeconds.
type timeLimit struct {
	clock             periodClock
	current, previous int64
}

// record takes the time left of a new request into account.
func (l *timeLimit) record(left int64, now time.Time) {
	for range l.clock.advance(now) {
		l.previous, l.current = l.current, 0
	}
	l.current = max(l.current, left)
}

// waitedBelow returns the time left on arrival below which a request has probably been
// refused before.
func (l *timeLimit) waitedBelow() int64 {
	return max(l.current, l.previous) / waitedDenominator * waitedNumerator
}
