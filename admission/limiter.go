package admission

import "time"

const (
	// defaultStartLimit is the limit of a target without any measurements.
	defaultStartLimit = 2
	// defaultCeiling is the maximum limit.
	defaultCeiling = 100
	// nearFactor is the multiple of the baseline up to which a latency counts as near
	// it.
	nearFactor = 1.1
	// slowStdErrors is the number of standard errors above that bound at which a round
	// is slow.
	slowStdErrors = 0.5
	// growthDivisor is the divisor of the limit that gives its growth step.
	growthDivisor = 8
	// fastGrowthMinRound is the minimum number of requests in a round during fast
	// growth.
	fastGrowthMinRound = 2
	// timedOutDivisor sets when timeouts halve the limit: when more than one in this
	// many requests of a slow round was cancelled.
	timedOutDivisor = 4
	// fastGrowthDivisor is the divisor of the limit that gives its growth step during
	// fast growth.
	fastGrowthDivisor = 2
	// fastGrowthMaxStep is the maximum growth step from fastGrowthDivisor.
	fastGrowthMaxStep = 3
	// maxProbeTime is the maximum duration of a probe of the baseline, provided that
	// minSamples requests started in it.
	maxProbeTime = time.Second
	// halveFactor is the multiple of the near bound at which a round halves the limit.
	halveFactor = 2.0
	// coldFactor is the multiple of the near bound at which the target is considered
	// cold.
	coldFactor = 4.0
	// minProbeInterval is the minimum time between two probes of a baseline with few
	// samples.
	minProbeInterval = 5 * time.Second
	// unusedLimitTTL is how long a limit is kept while it is not used.
	unusedLimitTTL = 30 * time.Second
)

// WithStartLimit is a functional option that sets the limit that a target starts with
// and returns to when it becomes slow. Only a target that sheds or fails requests at
// this limit gets a lower one.
func WithStartLimit(limit int) Option {
	return func(s *settings) { s.startLimit = max(limit, 1) }
}

// WithCeiling is a functional option that sets the maximum limit.
func WithCeiling(limit int) Option {
	return func(s *settings) { s.ceiling = limit }
}

// WithFixedLimit is a functional option that sets a limit that is never adapted.
func WithFixedLimit(limit int) Option {
	return func(s *settings) {
		s.startLimit, s.ceiling, s.fixedLimit = limit, limit, true
	}
}

// StartState is the state of the Limiter when a request starts, which it needs to
// evaluate the completion: the epoch and round, whether the target was full or lightly
// loaded, whether the request belongs to the round, and when it started in the round.
type StartState struct {
	epoch     uint32
	full      bool
	lightLoad bool
	inRound   bool
	round     uint32
	offset    time.Duration
}

// Limiter adapts the number of requests that may be in flight at one target to the
// latency that it measures. Each change of the limit starts an epoch, and only requests
// that started in an epoch are evidence about its limit.
type Limiter struct {
	startLimit, ceiling int
	// fixedLimit is true if the limit never adapts.
	fixedLimit bool

	limit int
	// proven is the value returned by Proven.
	proven int
	epoch  uint32
	// minEpoch is the epoch that started with the last reduction for shed or failed
	// requests. Requests that started in an earlier epoch are ignored, because that
	// reduction already accounts for them.
	minEpoch uint32

	round round
	// roundNumber is the number of the current round.
	roundNumber uint32
	// failures counts the failed requests of the round, and slowRounds the successive
	// slow rounds at the start limit.
	failures   int
	slowRounds int
	// slowSince is when the first of the slow rounds started. slowAnswers summarizes
	// the responses of the later ones; the first is excluded because it may hold
	// responses from before the slowdown.
	slowSince   time.Time
	slowAnswers latencySummary
	// verySlow summarizes the latest responses at the start limit while all of them are
	// far above the baseline.
	verySlow latencySummary
	// fastGrowth is true from the time when the baseline was replaced until a round is
	// slow or the target was not full in it.
	fastGrowth bool

	baseline Baseline
	// previousBaseline is the baseline before the last replacement.
	previousBaseline Baseline
	// limitAfterProbe is the limit to return to after a probe of the baseline; zero if
	// no probe is running.
	limitAfterProbe int
	probedAt        time.Time
	// peakInFlight is the highest number in flight since usageCheckedAt.
	peakInFlight   int
	usageCheckedAt time.Time
}

// NewLimiter returns a Limiter at its start limit.
func NewLimiter(opts ...Option) Limiter {
	s := newSettings(opts)
	return newLimiter(&s)
}

func newLimiter(s *settings) Limiter {
	return Limiter{startLimit: s.startLimit, ceiling: s.ceiling, fixedLimit: s.fixedLimit, limit: s.startLimit}
}

// Limit returns the number of requests that may be in flight.
func (l *Limiter) Limit() int {
	return l.limit
}

// Proven returns the highest limit at which a round of completions has shown a latency
// near the baseline since the target last failed, shed or turned cold.
func (l *Limiter) Proven() int {
	return l.proven
}

// Baseline returns the latency of the target without load; zero while it is unknown.
func (l *Limiter) Baseline() time.Duration {
	return l.baseline.Mean()
}

// MinLatency returns the minimum latency of the baseline; zero while it is unknown.
func (l *Limiter) MinLatency() time.Duration {
	return l.baseline.MinLatency()
}

// GrowthStep returns by how much a limit grows after one good round.
func GrowthStep(limit int) int {
	return max(1, limit/growthDivisor)
}

// Begin records that a request starts. inFlight includes the request; full reports
// whether the target has now reached its limit.
func (l *Limiter) Begin(inFlight int, full bool, now time.Time) StartState {
	if l.fixedLimit {
		return StartState{}
	}
	l.decayUnused(now)
	if l.round.size == 0 {
		l.startRound(now)
		l.probedAt = now
	}
	l.peakInFlight = max(l.peakInFlight, inFlight)
	lightLoad := l.limit <= l.startLimit || l.limitAfterProbe > 0 || inFlight <= l.limit/2
	b := StartState{epoch: l.epoch, full: full, lightLoad: lightLoad}
	b.offset, b.inRound = l.round.begin(full, now)
	b.round = l.roundNumber
	l.checkRound(now)
	return b
}

// End evaluates a completion.
func (l *Limiter) End(b StartState, c Completion, now time.Time) {
	if l.fixedLimit || b.epoch < l.minEpoch {
		return
	}
	inRound := b.inRound && b.round == l.roundNumber
	switch c.Result {
	case Shed:
		l.halve(now)
		return
	case Failed:
		if l.failures++; 4*l.failures > l.roundSize() {
			l.halve(now)
			return
		}
		if inRound {
			l.round.remove(b.offset, b.full)
		}
		return
	case Cancelled:
		// The latency of a cancelled request is only a lower bound, so it is evidence
		// only if it is already too high.
		if !l.baselineKnown() || float64(c.Latency) < l.nearBound(1, 1) {
			if inRound {
				l.round.remove(b.offset, b.full)
			}
			return
		}
	case OK:
		if b.lightLoad {
			l.baseline.Add(c.Latency, now)
		}
		if inRound {
			l.round.answers.add(float64(c.Latency))
		}
		if b.epoch == l.epoch && l.detectSlowdown(c.Latency, b.full, now) {
			return
		}
	}
	if inRound {
		l.round.end(b.offset, c.Latency)
		if c.Result == Cancelled {
			l.round.timedOut++
		}
	}
	l.checkRound(now)
}

// checkRound evaluates the round if it is finished, or if it is already certain to be
// far too slow.
func (l *Limiter) checkRound(now time.Time) {
	mean := l.round.mean(now)
	early := l.round.started >= minEarlyRequests && l.baselineKnown() && mean > halveFactor*l.nearBound(l.round.started, 1)
	enough := l.limitAfterProbe > 0 && l.round.started >= minSamples && now.Sub(l.round.origin) >= maxProbeTime
	if early || enough || l.round.finished() {
		l.judgeRound(mean, now)
	}
}

// NearBaseline reports whether the mean of the given number of latencies is near the
// baseline.
func (l *Limiter) NearBaseline(latency time.Duration, samples int) bool {
	return !l.baselineKnown() || float64(latency) <= l.nearBound(samples, 1)
}

// baselineKnown reports whether there is a baseline.
func (l *Limiter) baselineKnown() bool {
	return l.baseline.Mean() > 0
}

// nearBound returns Baseline.nearBound of the current baseline.
func (l *Limiter) nearBound(samples int, errors float64) float64 {
	return l.baseline.nearBound(samples, errors)
}

// roundSize returns the number of requests in a round.
func (l *Limiter) roundSize() int {
	if l.limitAfterProbe > 0 {
		return max(firstBucketSize, l.limit)
	}
	if l.fastGrowth {
		return samplesNeeded(l.baseline.Variation(), fastGrowthMinRound)
	}
	return max(minRoundSize, 2*l.limit)
}

// judgeRound ends a round with this mean latency and adapts the limit.
func (l *Limiter) judgeRound(mean float64, now time.Time) {
	mostlyFull := l.round.mostlyFull()
	nearBound := l.nearBound(l.round.started, slowStdErrors)
	ended := l.round
	l.startRound(now)
	if l.limitAfterProbe > 0 {
		l.endProbe(now)
		return
	}
	l.fastGrowth = l.fastGrowth && ended.everFull && mean <= nearBound
	if l.baselineKnown() && mean > coldFactor*nearBound {
		l.proven = 0
	}
	switch {
	case !l.baselineKnown():
	case mean < l.baseline.halfBound(ended.started):
		l.adaptToSpeedup(&ended, mean, now)
	case l.limit <= l.startLimit && (mean > halveFactor*nearBound || mean > nearBound && mostlyFull):
		l.slowAtStart(&ended, mostlyFull, now)
	case mean > coldFactor*nearBound:
		l.reduce(min(l.limit, l.startLimit), now)
	case mean > halveFactor*nearBound, mean > nearBound && timedOutDivisor*ended.timedOut > ended.started:
		l.reduce(l.limit/2, now)
	case mean > nearBound && mostlyFull:
		l.reduce(l.limit, now)
	case mean <= l.nearBound(1, 0):
		l.resetSlow()
		if mostlyFull || l.fastGrowth {
			l.grow(now)
		}
	}
}

// grow raises the limit by a step. If the baseline is too old or too uncertain to
// compare with, it first starts a probe that measures the baseline again at half of the
// limit.
func (l *Limiter) grow(now time.Time) {
	if l.limit > l.startLimit && !l.fastGrowth && l.probeDue(now) {
		l.limitAfterProbe = l.limit
		l.probedAt = now
		l.changeLimit(max(l.startLimit, l.limit/2), now)
		return
	}
	l.proven = max(l.proven, l.limit)
	step := GrowthStep(l.limit)
	if l.fastGrowth {
		step = max(step, min(l.limit/fastGrowthDivisor, fastGrowthMaxStep))
	}
	l.setLimit(l.limit+step, now)
}

// probeDue reports whether the baseline has to be measured again.
func (l *Limiter) probeDue(now time.Time) bool {
	return l.baseline.Stale(now) || l.baseline.Undersampled() && now.Sub(l.probedAt) > minProbeInterval
}

// resetSlow discards what was recorded about slow rounds.
func (l *Limiter) resetSlow() {
	l.slowRounds = 0
	l.slowAnswers = latencySummary{}
	l.verySlow = latencySummary{}
}

// reduce lowers the limit after a slow round, but not below the start limit.
func (l *Limiter) reduce(limit int, now time.Time) {
	if limit == l.limit {
		limit -= GrowthStep(limit)
	}
	if l.baseline.Stale(now) {
		limit = min(limit, l.limit/2)
	}
	if limit < l.limit {
		l.setLimit(max(limit, l.startLimit), now)
	}
}

// endProbe returns to the limit from before the probe.
func (l *Limiter) endProbe(now time.Time) {
	limit := l.limitAfterProbe
	l.limitAfterProbe = 0
	l.baseline.Refresh(now)
	l.changeLimit(limit, now)
}

// halve lowers the limit of a target that sheds or fails requests.
func (l *Limiter) halve(now time.Time) {
	l.proven = 0
	l.fastGrowth = false
	l.setLimit(l.limit/2, now)
	l.minEpoch = l.epoch
}

// Restart discards all measurements because the target was replaced or restarted.
// Requests that started before are no evidence any more.
func (l *Limiter) Restart(now time.Time) {
	if l.fixedLimit {
		return
	}
	l.proven, l.peakInFlight, l.fastGrowth = 0, 0, false
	l.resetSlow()
	l.baseline.Reset()
	l.previousBaseline.Reset()
	l.setLimit(l.startLimit, now)
	l.minEpoch = l.epoch
}

// SetCeiling changes the maximum limit.
func (l *Limiter) SetCeiling(ceiling int, now time.Time) {
	if l.fixedLimit {
		return
	}
	l.ceiling = max(ceiling, 1)
	if l.limit > l.ceiling {
		l.setLimit(l.ceiling, now)
	}
}

// FixLimit sets a limit that is never adapted.
func (l *Limiter) FixLimit(limit int, now time.Time) {
	l.startLimit, l.ceiling, l.fixedLimit = limit, limit, true
	l.setLimit(limit, now)
}

// setLimit starts an epoch with a new limit, within bounds, and aborts a probe.
func (l *Limiter) setLimit(limit int, now time.Time) {
	l.limitAfterProbe = 0
	l.changeLimit(min(max(limit, 1), l.ceiling), now)
}

// changeLimit starts an epoch with a new limit.
func (l *Limiter) changeLimit(limit int, now time.Time) {
	if limit != l.limit {
		l.resetSlow()
	}
	l.limit = limit
	l.epoch++
	l.startRound(now)
}

// startRound starts a new round.
func (l *Limiter) startRound(now time.Time) {
	l.round = newRound(l.roundSize(), now)
	l.roundNumber++
	l.failures = 0
}

// decayUnused lowers a limit that has not been used for a while to what was used, since
// no recent measurement shows that the target can handle more.
func (l *Limiter) decayUnused(now time.Time) {
	elapsed := now.Sub(l.usageCheckedAt)
	if elapsed < unusedLimitTTL {
		return
	}
	if elapsed >= 2*unusedLimitTTL {
		l.peakInFlight = 0
	}
	if !l.usageCheckedAt.IsZero() && l.peakInFlight < l.limit/2 {
		used := max(l.peakInFlight, l.startLimit)
		l.proven = min(l.proven, used)
		l.setLimit(used, now)
	}
	l.usageCheckedAt = now
	l.peakInFlight = 0
}
