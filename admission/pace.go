package admission

import "time"

const (
	// patience is the number of slow rounds in a row at the start limit after
	// which a baseline is given up.
	patience = 2
	// patienceTime is how long fewer slow rounds at the start limit last after
	// which a baseline is given up too.
	patienceTime = time.Second
	// paceMin is the least number of answers that make a new baseline at once.
	paceMin = 4
	// precision is the standard error, as a share of the mean, at which a mean
	// rests on enough latencies.
	precision = 0.1
	// preciseMax is the number of latencies that are enough at any variation.
	preciseMax = 9
)

// outpaced answers a slow round at the start limit. There the load can't be the
// cause, so after some such rounds their latency is the new baseline, and since
// they met it the limit grows at once.
func (l *Limiter) outpaced(slow *round, crowded bool, now time.Time) {
	if l.slow == 0 {
		l.slowSince = slow.origin
	} else {
		l.pace.merge(&slow.answers)
	}
	l.slow++
	long := l.pace.count >= paceMin && now.Sub(l.slowSince) >= patienceTime
	if l.slow <= patience && !long {
		return
	}
	l.learn(l.pace, crowded, now)
}

// outpacing takes in an answer. If it is the last of enough at the start limit
// that were all far too slow, it has their pace learnt and reports true.
func (l *Limiter) outpacing(latency time.Duration, full bool, now time.Time) bool {
	if l.limit > l.start || !l.known() {
		return false
	}
	if float64(latency) <= cutFactor*l.near(1, 1) {
		l.slower = sample{}
		return false
	}
	l.slower.add(float64(latency))
	if l.slower.count < precise(l.slower.variation(), paceMin) {
		return false
	}
	l.learn(l.slower, full, now)
	return true
}

// precise returns the number of latencies of this variation, and at least so
// many, on which a mean has to rest.
func precise(variation, least float64) int {
	needed := variation / precision
	return int(min(max(needed*needed, least), preciseMax))
}

// learn takes these answers for the new baseline, and grows at once if the
// target is full.
func (l *Limiter) learn(pace sample, full bool, now time.Time) {
	l.former = l.baseline
	l.baseline.begin(pace)
	l.steady()
	l.startup = l.known() && full
	l.clear(now)
	if l.startup {
		l.grow(now)
	}
}

// quicker answers a round that was far quicker than the baseline. If the target
// has its former pace again, the limit stays, but for what grew in startup, by
// the wrong measure. Else it is halved and the pace learnt from the round.
func (l *Limiter) quicker(ended *round, mean float64, now time.Time) {
	limit := l.limit
	if l.former.Mean() > 0 && mean <= l.former.near(ended.begun, chance) {
		l.baseline = l.former
		if l.startup {
			limit = l.start
		}
	} else {
		if ended.answers.count >= paceMin {
			l.baseline.begin(ended.answers)
		}
		limit = max(limit/2, min(limit, l.start))
	}
	l.former.Reset()
	l.startup = false
	l.set(limit, now)
}
