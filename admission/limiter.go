package admission

import "time"

const (
	// defaultStart is the limit of a target of which nothing is known.
	defaultStart = 2
	// defaultCeiling is the greatest limit.
	defaultCeiling = 100
	// nearness is how many times the baseline is near it.
	nearness = 1.1
	// chance is the number of standard errors over what is near the baseline at
	// which a round is slow.
	chance = 0.5
	// stepShare is the part of the limit that it grows by, as a divisor.
	stepShare = 8
	// startupMin is the least number of requests in a round during startup.
	startupMin = 2
	// lateShare is the part of a slow round that ran out of its time, as a
	// divisor, at which the limit is halved.
	lateShare = 4
	// startupShare is the part of the limit that it grows by during startup, as
	// a divisor.
	startupShare = 2
	// startupStep is the most that startupShare adds to a limit.
	startupStep = 3
	// probeTime is how long a probe of the baseline lasts at most, if bucketMin
	// requests began in it.
	probeTime = time.Second
	// cutFactor is how many times what is near the baseline halves the limit.
	cutFactor = 2.0
	// coldFactor is how many times what is near the baseline shows that the
	// target has turned cold.
	coldFactor = 4.0
	// probeInterval is the least time between two probes of a baseline that
	// rests on few samples.
	probeInterval = 5 * time.Second
	// validity is how long a limit that is not used is kept.
	validity = 30 * time.Second
)

// WithStart is a functional option that sets the limit that a target starts
// with and falls back to when it slows. Only a target that sheds or fails at
// this limit gets less.
func WithStart(limit int) Option {
	return func(s *settings) { s.start = max(limit, 1) }
}

// WithCeiling is a functional option that sets the greatest limit.
func WithCeiling(limit int) Option {
	return func(s *settings) { s.ceiling = limit }
}

// WithFixedLimit is a functional option that sets a limit which never changes.
func WithFixedLimit(limit int) Option {
	return func(s *settings) {
		s.start, s.ceiling, s.fixed = limit, limit, true
	}
}

// Began is what the Limiter notes when a request starts, to judge its
// completion.
type Began struct {
	epoch  uint32
	full   bool
	light  bool
	member bool
	round  uint32
	offset time.Duration
}

// Limiter adapts the number of requests that may be in flight at one target to
// the latency that it measures. Each change of the limit begins an epoch, and
// only requests that began in an epoch are evidence about its limit.
type Limiter struct {
	start, ceiling int
	fixed          bool

	limit  int
	proven int
	epoch  uint32
	// cut is the epoch that the last shed or failed answers began; what began
	// before it has had its effect.
	cut uint32

	round round
	// rounds numbers the rounds.
	rounds uint32
	failed int
	slow   int
	// slowSince is when the first of the slow rounds began. pace sums up the
	// answers of the others; the first may hold some from before the change.
	slowSince time.Time
	pace      sample
	// slower sums up the latest answers at the start limit as long as all are
	// far too slow.
	slower sample
	// startup is true from when the target's own pace was learnt anew until a
	// round is slow or the target not full.
	startup bool

	baseline Baseline
	// former is the baseline before the last pace that was learnt.
	former Baseline
	// restore is the limit to return to after a probe of the baseline; zero
	// if none runs.
	restore  int
	probedAt time.Time

	peak      int
	checkedAt time.Time
}

// NewLimiter returns a Limiter at its start limit.
func NewLimiter(opts ...Option) Limiter {
	s := newSettings(opts)
	return newLimiter(&s)
}

func newLimiter(s *settings) Limiter {
	return Limiter{start: s.start, ceiling: s.ceiling, fixed: s.fixed, limit: s.start}
}

// Limit returns the number of requests that may be in flight.
func (l *Limiter) Limit() int {
	return l.limit
}

// Proven returns the greatest number in flight that a round of completions has
// shown the target to bear since it was last seen to fail or turn cold.
func (l *Limiter) Proven() int {
	return l.proven
}

// Baseline returns the target's own best latency; zero while unknown.
func (l *Limiter) Baseline() time.Duration {
	return l.baseline.Mean()
}

// Least returns the least latency of the baseline; zero while unknown.
func (l *Limiter) Least() time.Duration {
	return l.baseline.Least()
}

// Step returns the number that a limit grows by after one good round.
func Step(limit int) int {
	return max(1, limit/stepShare)
}

// Begin notes that a request starts. inFlight counts it already; full tells
// whether the target has now all that it may have.
func (l *Limiter) Begin(inFlight int, full bool, now time.Time) Began {
	if l.fixed {
		return Began{}
	}
	l.validate(now)
	if l.round.size == 0 {
		l.clear(now)
		l.probedAt = now
	}
	l.peak = max(l.peak, inFlight)
	light := l.limit <= l.start || l.restore > 0 || inFlight <= l.limit/2
	b := Began{epoch: l.epoch, full: full, light: light}
	b.offset, b.member = l.round.begin(full, now)
	b.round = l.rounds
	l.check(now)
	return b
}

// End judges a completion.
func (l *Limiter) End(b Began, c Completion, now time.Time) {
	if l.fixed || b.epoch < l.cut {
		return
	}
	member := b.member && b.round == l.rounds
	switch c.Result {
	case Shed:
		l.halve(now)
		return
	case Failed:
		if l.failed++; 4*l.failed > l.roundSize() {
			l.halve(now)
			return
		}
		if member {
			l.round.withdraw(b.offset, b.full)
		}
		return
	case Cancelled:
		// The latency is only a lower bound, so it is evidence only if it is
		// too long already.
		if !l.known() || float64(c.Latency) < l.near(1, 1) {
			if member {
				l.round.withdraw(b.offset, b.full)
			}
			return
		}
	case OK:
		if b.light {
			l.baseline.Add(c.Latency, now)
		}
		if member {
			l.round.answers.add(float64(c.Latency))
		}
		if b.epoch == l.epoch && l.outpacing(c.Latency, b.full, now) {
			return
		}
	}
	if member {
		l.round.end(b.offset, c.Latency)
		if c.Result == Cancelled {
			l.round.late++
		}
	}
	l.check(now)
}

// check judges the round if it is over, or already sure to be far too slow.
func (l *Limiter) check(now time.Time) {
	mean := l.round.mean(now)
	early := l.round.begun >= roundEarly && l.known() && mean > cutFactor*l.near(l.round.begun, 1)
	enough := l.restore > 0 && l.round.begun >= bucketMin && now.Sub(l.round.origin) >= probeTime
	if early || enough || l.round.over() {
		l.judge(mean, now)
	}
}

// Near reports whether the mean of so many latencies is near the baseline.
func (l *Limiter) Near(latency time.Duration, samples int) bool {
	return !l.known() || float64(latency) <= l.near(samples, 1)
}

func (l *Limiter) known() bool {
	return l.baseline.Mean() > 0
}

// near is Baseline.near of the current baseline.
func (l *Limiter) near(samples int, errors float64) float64 {
	return l.baseline.near(samples, errors)
}

func (l *Limiter) roundSize() int {
	if l.restore > 0 {
		return max(bucketSize, l.limit)
	}
	if l.startup {
		return precise(l.baseline.Variation(), startupMin)
	}
	return max(roundMin, 2*l.limit)
}

// judge ends a round with this mean latency.
func (l *Limiter) judge(mean float64, now time.Time) {
	crowded := l.round.crowded()
	near := l.near(l.round.begun, chance)
	ended := l.round
	l.clear(now)
	if l.restore > 0 {
		l.endProbe(now)
		return
	}
	l.startup = l.startup && ended.filled && mean <= near
	if l.known() && mean > coldFactor*near {
		l.proven = 0
	}
	switch {
	case !l.known():
	case mean < l.baseline.half(ended.begun):
		l.quicker(&ended, mean, now)
	case l.limit <= l.start && (mean > cutFactor*near || mean > near && crowded):
		l.outpaced(&ended, crowded, now)
	case mean > coldFactor*near:
		l.slowed(min(l.limit, l.start), now)
	case mean > cutFactor*near, mean > near && lateShare*ended.late > ended.begun:
		l.slowed(l.limit/2, now)
	case mean > near && crowded:
		l.slowed(l.limit, now)
	case mean <= l.near(1, 0):
		l.steady()
		if crowded || l.startup {
			l.grow(now)
		}
	}
}

// grow raises the limit by a step, or measures the baseline anew first, under
// half of the limit, if it is too old or too uncertain to compare with.
func (l *Limiter) grow(now time.Time) {
	if l.limit > l.start && !l.startup && l.due(now) {
		l.restore = l.limit
		l.probedAt = now
		l.move(max(l.start, l.limit/2), now)
		return
	}
	l.proven = max(l.proven, l.limit)
	step := Step(l.limit)
	if l.startup {
		step = max(step, min(l.limit/startupShare, startupStep))
	}
	l.set(l.limit+step, now)
}

// due reports whether the baseline has to be measured anew.
func (l *Limiter) due(now time.Time) bool {
	return l.baseline.Stale(now) || l.baseline.Thin() && now.Sub(l.probedAt) > probeInterval
}

// steady forgets slow rounds.
func (l *Limiter) steady() {
	l.slow = 0
	l.pace = sample{}
	l.slower = sample{}
}

// slowed lowers the limit after a slow round.
func (l *Limiter) slowed(limit int, now time.Time) {
	if limit == l.limit {
		limit -= Step(limit)
	}
	if l.baseline.Stale(now) {
		limit = min(limit, l.limit/2)
	}
	if limit < l.limit {
		l.set(max(limit, l.start), now)
	}
}

// endProbe returns to the limit from before the probe.
func (l *Limiter) endProbe(now time.Time) {
	limit := l.restore
	l.restore = 0
	l.baseline.Refresh(now)
	l.move(limit, now)
}

// halve answers a target that sheds or fails.
func (l *Limiter) halve(now time.Time) {
	l.proven = 0
	l.startup = false
	l.set(l.limit/2, now)
	l.cut = l.epoch
}

// Restart forgets all that was learned, since the target is another one now.
// What began before is no evidence any more.
func (l *Limiter) Restart(now time.Time) {
	if l.fixed {
		return
	}
	l.proven, l.peak, l.startup = 0, 0, false
	l.steady()
	l.baseline.Reset()
	l.former.Reset()
	l.set(l.start, now)
	l.cut = l.epoch
}

// SetCeiling changes the greatest limit.
func (l *Limiter) SetCeiling(ceiling int, now time.Time) {
	if l.fixed {
		return
	}
	l.ceiling = max(ceiling, 1)
	if l.limit > l.ceiling {
		l.set(l.ceiling, now)
	}
}

// Fix sets a limit that never changes by itself.
func (l *Limiter) Fix(limit int, now time.Time) {
	l.start, l.ceiling, l.fixed = limit, limit, true
	l.set(limit, now)
}

// set begins an epoch with a new limit, within bounds, and gives up a probe.
func (l *Limiter) set(limit int, now time.Time) {
	l.restore = 0
	l.move(min(max(limit, 1), l.ceiling), now)
}

func (l *Limiter) move(limit int, now time.Time) {
	if limit != l.limit {
		l.steady()
	}
	l.limit = limit
	l.epoch++
	l.clear(now)
}

// clear begins a round.
func (l *Limiter) clear(now time.Time) {
	l.round = newRound(l.roundSize(), now)
	l.rounds++
	l.failed = 0
}

// validate lowers a limit that has not been used for a while to what was used,
// since nothing has shown lately that the target can bear more.
func (l *Limiter) validate(now time.Time) {
	elapsed := now.Sub(l.checkedAt)
	if elapsed < validity {
		return
	}
	if elapsed >= 2*validity {
		l.peak = 0
	}
	if !l.checkedAt.IsZero() && l.peak < l.limit/2 {
		used := max(l.peak, l.start)
		l.proven = min(l.proven, used)
		l.set(used, now)
	}
	l.checkedAt = now
	l.peak = 0
}
