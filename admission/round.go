package admission

import "time"

const (
	// roundMin is the least number of requests in a round.
	roundMin = 16
	// roundEarly is the number of requests from which a round may be judged
	// before its end.
	roundEarly = 8
	// roundRest is the part of a round that need not have ended, as a divisor.
	roundRest = 8
)

// round measures the mean latency of the first requests that begin in it. Those
// that have not ended count with their age: the first to end alone would favour
// short requests.
type round struct {
	origin  time.Time
	size    int
	begun   int
	full    int
	pending int
	// filled is true once the target was full, also for requests that began
	// when the round was complete.
	filled bool
	// late is the number that ran out of their time after what is near the
	// baseline: their true latency is longer.
	late int
	// offsets is the sum of the times from origin at which the pending requests
	// began, in nanoseconds.
	offsets float64
	sum     float64
	// answers sums up the whole answers.
	answers sample
}

// newRound returns a round of so many requests.
func newRound(size int, now time.Time) round {
	return round{origin: now, size: size}
}

// begin takes a request in, if the round is not complete. It returns when the
// request began, counted from the round's origin.
func (r *round) begin(full bool, now time.Time) (offset time.Duration, member bool) {
	r.filled = r.filled || full
	if r.begun >= r.size {
		return 0, false
	}
	offset = now.Sub(r.origin)
	r.begun++
	r.pending++
	r.offsets += float64(offset)
	if full {
		r.full++
	}
	return offset, true
}

// end notes the latency of a request that began in the round.
func (r *round) end(offset, latency time.Duration) {
	r.pending--
	r.offsets -= float64(offset)
	r.sum += float64(latency)
}

// withdraw takes out a request that tells nothing of latency.
func (r *round) withdraw(offset time.Duration, full bool) {
	r.pending--
	r.begun--
	r.offsets -= float64(offset)
	if full {
		r.full--
	}
}

// over reports whether all but a few requests have ended.
func (r *round) over() bool {
	return r.begun >= r.size && r.pending <= r.size/roundRest
}

// crowded reports whether the target was mostly full when the requests began.
func (r *round) crowded() bool {
	return 2*r.full >= r.begun
}

// mean returns the least that the mean latency can be, in nanoseconds.
func (r *round) mean(now time.Time) float64 {
	if r.begun == 0 {
		return 0
	}
	ages := float64(r.pending)*float64(now.Sub(r.origin)) - r.offsets
	return (r.sum + ages) / float64(r.begun)
}
