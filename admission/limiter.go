package admission

import (
	"math"
	"time"
)

const (
	// defaultStart is the limit of a target of which nothing is known.
	defaultStart = 2
	// defaultCeiling is the greatest limit.
	defaultCeiling = 100
	// roundMin is the least number of completions in a round.
	roundMin = 16
	// nearness is the share over the baseline that still counts as near it,
	// besides what chance explains.
	nearness = 1.2
	// deviations is the number of standard errors that chance is allowed.
	deviations = 2
	// stepShare is the part of the limit that it grows by, as a divisor.
	stepShare = 8
	// patience is the number of rounds in a row that must be slow before a limit
	// shrinks by a step, or a baseline is given up at the start limit.
	patience = 2
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
	epoch uint32
	full  bool
	light bool
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

	round  sample
	full   int
	failed int
	slow   int

	baseline Baseline
	// restore is the limit to return to after a probe of the baseline; zero
	// if none runs.
	restore int

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
	l.validate(now)
	l.peak = max(l.peak, inFlight)
	light := l.limit <= l.start || l.restore > 0 || inFlight <= l.limit/2
	return Began{epoch: l.epoch, full: full, light: light}
}

// End judges a completion.
func (l *Limiter) End(b Began, c Completion, now time.Time) {
	if l.fixed || b.epoch < l.cut {
		return
	}
	switch c.Result {
	case Shed:
		l.halve()
		return
	case Failed:
		l.failed++
		if 4*l.failed > l.roundSize() {
			l.halve()
		}
		return
	case Cancelled:
		// The latency is only a lower bound, so it is evidence only if it is
		// too long already.
		if !l.known() || float64(c.Latency) < l.near(1) {
			return
		}
	case OK:
	}
	if b.epoch == l.epoch {
		l.measure(b, c, now)
	}
}

// measure takes an answer into the round.
func (l *Limiter) measure(b Began, c Completion, now time.Time) {
	if b.light && c.Result == OK {
		l.baseline.Add(c.Latency, now)
	}
	l.round.add(float64(c.Latency))
	if b.full {
		l.full++
	}
	if l.round.count >= l.roundSize() {
		l.judge(now)
	}
}

// Near reports whether a latency is near the baseline, allowing for the chance
// in a mean of a round's samples.
func (l *Limiter) Near(latency time.Duration) bool {
	return !l.known() || float64(latency) <= l.near(l.roundSize())
}

func (l *Limiter) known() bool {
	return l.baseline.Mean() > 0
}

// near returns the greatest mean of count latencies that is near the baseline.
func (l *Limiter) near(count int) float64 {
	chance := deviations * l.baseline.Variation() / math.Sqrt(float64(count))
	return float64(l.baseline.Mean()) * (nearness + chance)
}

func (l *Limiter) roundSize() int {
	return max(roundMin, l.limit)
}

// judge ends a round of completions.
func (l *Limiter) judge(now time.Time) {
	mean, full := l.round.mean(), 2*l.full >= l.round.count
	near := l.near(l.round.count)
	l.clear()
	if l.restore > 0 {
		l.endProbe(now)
		return
	}
	switch {
	case !l.known():
	case mean <= near:
		l.slow = 0
		if full {
			l.grow(now)
		}
	case mean > 4*near:
		l.proven = 0
		l.slowed(min(l.limit, l.start), now)
	case mean > 2*near:
		l.slowed(l.limit*3/4, now)
	default:
		l.slowed(l.limit, now)
	}
}

// grow raises the limit by a step, or measures the baseline anew first if it
// is too old to compare with.
func (l *Limiter) grow(now time.Time) {
	if l.baseline.Stale(now) && l.limit > l.start {
		l.restore = l.limit
		l.move(max(l.start, l.limit/2))
		return
	}
	l.proven = max(l.proven, l.limit)
	l.set(l.limit + Step(l.limit))
}

// slowed lowers the limit after a slow round. At the start limit the load can't
// be the cause, so after some such rounds their latency is the new baseline.
func (l *Limiter) slowed(limit int, now time.Time) {
	l.slow++
	if l.limit <= l.start {
		if l.slow > patience {
			l.baseline.Reset()
			l.slow = 0
		}
		return
	}
	if limit == l.limit && l.slow >= patience {
		limit -= Step(limit)
	}
	if l.baseline.Stale(now) {
		limit = min(limit, l.limit/2)
	}
	if limit < l.limit {
		l.set(max(limit, l.start))
	}
}

// endProbe returns to the limit from before the probe.
func (l *Limiter) endProbe(now time.Time) {
	limit := l.restore
	l.restore = 0
	l.baseline.Refresh(now)
	l.move(limit)
}

// halve answers a target that sheds or fails.
func (l *Limiter) halve() {
	l.proven = 0
	l.set(l.limit / 2)
	l.cut = l.epoch
}

// set begins an epoch with a new limit, within bounds, and gives up a probe.
func (l *Limiter) set(limit int) {
	l.restore = 0
	l.move(min(max(limit, 1), l.ceiling))
}

func (l *Limiter) move(limit int) {
	l.clear()
	if limit != l.limit {
		l.slow = 0
	}
	l.limit = limit
	l.epoch++
}

func (l *Limiter) clear() {
	l.round = sample{}
	l.full = 0
	l.failed = 0
}

// validate lowers a limit that has not been used for a while to what was used,
// since nothing has shown lately that the target can bear more.
func (l *Limiter) validate(now time.Time) {
	if now.Sub(l.checkedAt) < validity {
		return
	}
	if !l.checkedAt.IsZero() && !l.fixed && l.peak < l.limit/2 {
		used := max(l.peak, l.start)
		l.proven = min(l.proven, used)
		l.set(used)
	}
	l.checkedAt = now
	l.peak = 0
}
