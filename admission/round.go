package admission

import "time"

const (
	// minRoundSize is the minimum number of requests in a round.
	minRoundSize = 16
	// minEarlyRequests is the number of requests from which a round may be evaluated
	// before its end.
	minEarlyRequests = 8
	// pendingDivisor is the divisor of the round size that gives how many requests may
	// still be pending when the round is finished.
	pendingDivisor = 8
)

// round measures the mean latency of the first requests that start in it. Requests that
// have not ended count with their age: the mean of only those that ended first would be
// biased towards short requests.
//
// size is the number of requests in a complete round, started the number that started in
// it, and full the number of those at whose start the target was full. pending is the
// number that have not ended.
type round struct {
	origin  time.Time
	size    int
	started int
	full    int
	pending int
	// everFull is true once the target was full, also due to requests that started when
	// the round was complete.
	everFull bool
	// timedOut is the number of requests that were cancelled at a latency above the
	// near bound: their true latency is longer.
	timedOut int
	// offsetSum is the sum of the start times of the pending requests, relative to
	// origin, in nanoseconds. latencySum is the sum of the latencies of the others.
	offsetSum  float64
	latencySum float64
	// answers summarizes the successful responses.
	answers latencySummary
}

// newRound returns a round of size requests.
func newRound(size int, now time.Time) round {
	return round{origin: now, size: size}
}

// begin adds a request to the round, unless the round is complete. It returns the start
// time of the request relative to the round's origin.
func (r *round) begin(full bool, now time.Time) (offset time.Duration, inRound bool) {
	r.everFull = r.everFull || full
	if r.started >= r.size {
		return 0, false
	}
	offset = now.Sub(r.origin)
	r.started++
	r.pending++
	r.offsetSum += float64(offset)
	if full {
		r.full++
	}
	return offset, true
}

// end records the latency of a request that started in the round.
func (r *round) end(offset, latency time.Duration) {
	r.pending--
	r.offsetSum -= float64(offset)
	r.latencySum += float64(latency)
}

// remove removes a request whose latency is no evidence.
func (r *round) remove(offset time.Duration, full bool) {
	r.pending--
	r.started--
	r.offsetSum -= float64(offset)
	if full {
		r.full--
	}
}

// finished reports whether the round is complete and all but a few requests have ended.
func (r *round) finished() bool {
	return r.started >= r.size && r.pending <= r.size/pendingDivisor
}

// mostlyFull reports whether the target was full when at least half of the requests
// started.
func (r *round) mostlyFull() bool {
	return 2*r.full >= r.started
}

// mean returns a lower bound of the mean latency, in nanoseconds.
func (r *round) mean(now time.Time) float64 {
	if r.started == 0 {
		return 0
	}
	ages := float64(r.pending)*float64(now.Sub(r.origin)) - r.offsetSum
	return (r.latencySum + ages) / float64(r.started)
}
