package admission

import "time"

const (
	// defaultRatio is the number of retries that each first try pays for.
	defaultRatio = 0.1
	// defaultFloor is the number of retries that each second pays for.
	defaultFloor = 1.0
	// budgetDepth is the greatest number of retries saved up.
	budgetDepth = 10.0
)

// WithRetryRatio is a functional option that sets the number of retries that each
// first try pays for.
func WithRetryRatio(ratio float64) Option {
	return func(s *settings) { s.ratio = ratio }
}

// WithRetryFloor is a functional option that sets the number of retries that each
// second pays for, so that little traffic can retry too.
func WithRetryFloor(perSecond float64) Option {
	return func(s *settings) { s.floor = perSecond }
}

// RetryBudget bounds retries and hedges to a share of traffic, so that they do not
// multiply a collapse. Each hop has one of its own. It is not safe for
// concurrent use.
type RetryBudget struct {
	ratio  float64
	floor  float64
	tokens float64
	at     time.Time
	// share is nil unless a quota takes the place of ratio and floor.
	share *share
}

// NewRetryBudget returns a Budget with nothing saved up.
func NewRetryBudget(opts ...Option) RetryBudget {
	s := newSettings(opts)
	b := RetryBudget{ratio: s.ratio, floor: s.floor}
	if s.quota != nil {
		b.share = newShare(&s)
	}
	return b
}

// RecordRequest notes a first try.
func (b *RetryBudget) RecordRequest(now time.Time) {
	if b.share != nil {
		b.share.First(now)
		return
	}
	b.accrue(now)
	b.tokens = min(b.tokens+b.ratio, budgetDepth)
}

// AllowRetry reports whether another try may be sent, and pays for it if so.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	if b.share != nil {
		return b.share.Retry(now)
	}
	b.accrue(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// accrue adds what the time since the last call pays for.
func (b *RetryBudget) accrue(now time.Time) {
	if b.at.IsZero() {
		b.at = now
	}
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = min(b.tokens+b.floor*elapsed.Seconds(), budgetDepth)
		b.at = now
	}
}
