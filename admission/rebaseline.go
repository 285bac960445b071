package admission

import "time"

const (
	// maxSlowRounds is the number of successive slow rounds at the start limit after
	// which the baseline is replaced.
	maxSlowRounds = 2
	// maxSlowTime is how long slow rounds at the start limit may last before the
	// baseline is replaced even though there were fewer of them.
	maxSlowTime = time.Second
	// minBaselineSamples is the minimum number of responses that form a new baseline at
	// once.
	minBaselineSamples = 4
	// maxRelativeError is the standard error, as a fraction of the mean, at which a
	// mean has enough samples.
	maxRelativeError = 0.1
	// enoughSamples is the number of samples that is sufficient at any variation.
	enoughSamples = 9
)

// slowAtStart handles a slow round at the start limit. There the load can't be the
// cause, so after several such rounds their latency becomes the new baseline, and since
// they are near it the limit grows at once.
func (l *Limiter) slowAtStart(slow *round, mostlyFull bool, now time.Time) {
	if l.slowRounds == 0 {
		l.slowSince = slow.origin
	} else {
		l.slowAnswers.merge(&slow.answers)
	}
	l.slowRounds++
	lastedLong := l.slowAnswers.count >= minBaselineSamples && now.Sub(l.slowSince) >= maxSlowTime
	if l.slowRounds <= maxSlowRounds && !lastedLong {
		return
	}
	l.replaceBaseline(l.slowAnswers, mostlyFull, now)
}

// detectSlowdown records a response. If enough successive responses at the start limit
// were all far above the baseline, it replaces the baseline by them and returns true.
func (l *Limiter) detectSlowdown(latency time.Duration, full bool, now time.Time) bool {
	if l.limit > l.startLimit || !l.baselineKnown() {
		return false
	}
	if float64(latency) <= halveFactor*l.nearBound(1, 1) {
		l.verySlow = latencySummary{}
		return false
	}
	l.verySlow.add(float64(latency))
	if l.verySlow.count < samplesNeeded(l.verySlow.variation(), minBaselineSamples) {
		return false
	}
	l.replaceBaseline(l.verySlow, full, now)
	return true
}

// samplesNeeded returns the number of samples that a mean requires at this variation,
// and no less than least.
func samplesNeeded(variation, least float64) int {
	needed := variation / maxRelativeError
	return int(min(max(needed*needed, least), enoughSamples))
}

// replaceBaseline makes these responses the new baseline, and raises the limit at once
// if the target is full.
func (l *Limiter) replaceBaseline(answers latencySummary, full bool, now time.Time) {
	l.previousBaseline = l.baseline
	l.baseline.resetTo(answers)
	l.resetSlow()
	l.fastGrowth = l.baselineKnown() && full
	l.startRound(now)
	if l.fastGrowth {
		l.grow(now)
	}
}

// adaptToSpeedup handles a round that was far faster than the baseline. If the latency
// is near the previous baseline again, that one is restored and the limit stays, except
// that growth during fast growth is undone because it was measured against the wrong
// baseline. Otherwise the limit is halved and the round becomes the baseline.
func (l *Limiter) adaptToSpeedup(ended *round, mean float64, now time.Time) {
	limit := l.limit
	if l.previousBaseline.Mean() > 0 && mean <= l.previousBaseline.nearBound(ended.started, slowStdErrors) {
		l.baseline = l.previousBaseline
		if l.fastGrowth {
			limit = l.startLimit
		}
	} else {
		if ended.answers.count >= minBaselineSamples {
			l.baseline.resetTo(ended.answers)
		}
		limit = max(limit/2, min(limit, l.startLimit))
	}
	l.previousBaseline.Reset()
	l.fastGrowth = false
	l.setLimit(limit, now)
}
