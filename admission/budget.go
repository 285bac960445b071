package admission

import "time"

const (
	// defaultRatio is the number of retries that each first try adds to the budget.
	defaultRatio = 0.1
	// defaultFloor is the number of retries that each second adds to the budget.
	defaultFloor = 1.0
	// budgetDepth is the maximum number of retries that can accumulate.
	budgetDepth = 10.0
)

// WithRetryRatio is a functional option that sets the number of retries that each first
// try adds to the budget.
func WithRetryRatio(ratio float64) Option {
	return func(s *settings) { s.ratio = ratio }
}

// WithRetryFloor is a functional option that sets the number of retries that each
// second adds to the budget, so that a service with little traffic can retry too.
func WithRetryFloor(perSecond float64) Option {
	return func(s *settings) { s.floor = perSecond }
}

// RetryBudget limits retries and hedges to a fraction of the traffic, so that they do
// not amplify an overload. Each hop has its own budget. It is not safe for concurrent
// use.
type RetryBudget struct {
	ratio     float64
	floor     float64
	tokens    float64
	accruedAt time.Time
	// quotaShare is nil unless a RetryQuota replaces ratio and floor.
	quotaShare *quotaShare
}

// NewRetryBudget returns a RetryBudget without accumulated retries.
func NewRetryBudget(opts ...Option) RetryBudget {
	s := newSettings(opts)
	b := RetryBudget{ratio: s.ratio, floor: s.floor}
	if s.quota != nil {
		b.quotaShare = newQuotaShare(&s)
	}
	return b
}

// RecordRequest records a first try.
func (b *RetryBudget) RecordRequest(now time.Time) {
	if b.quotaShare != nil {
		b.quotaShare.RecordRequest(now)
		return
	}
	b.accrue(now)
	b.tokens = min(b.tokens+b.ratio, budgetDepth)
}

// AllowRetry reports whether another try may be sent, and if so deducts it from the
// budget.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	if b.quotaShare != nil {
		return b.quotaShare.AllowRetry(now)
	}
	b.accrue(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// accrue adds the retries for the time since the last call.
func (b *RetryBudget) accrue(now time.Time) {
	if b.accruedAt.IsZero() {
		b.accruedAt = now
	}
	if elapsed := now.Sub(b.accruedAt); elapsed > 0 {
		b.tokens = min(b.tokens+b.floor*elapsed.Seconds(), budgetDepth)
		b.accruedAt = now
	}
}
