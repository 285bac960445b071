package admission

import (
	"math/rand/v2"
	"time"
)

// Reasons for a Refusal.
const (
	// ReasonDeadline says that the request can't make its deadline.
	ReasonDeadline = "deadline"
	// ReasonFull says that the queue is full.
	ReasonFull = "full"
	// ReasonDepth says that the request is nested too deeply.
	ReasonDepth = "depth"
	// ReasonDraining says that the target is leaving.
	ReasonDraining = "draining"
	// ReasonClosed says that the target has gone.
	ReasonClosed = "closed"
	// ReasonCancelled says that the caller lost interest.
	ReasonCancelled = "cancelled"
)

const (
	// minRetryAfter is the shortest time that a caller is told to stay away.
	minRetryAfter = 20 * time.Millisecond
	// maxRetryAfter is the longest time that a caller is told to stay away,
	// before jitter.
	maxRetryAfter = 20 * time.Second
	// absence is the time that callers are told to stay away from a target that
	// is leaving or gone, before jitter.
	absence = time.Second
)

// Refusal is the error of a request that was not admitted and did not run.
type Refusal struct { //nolint:errname // It is the answer given, not a failure.
	// Reason is one of the Reason constants.
	Reason string
	// RetryAfter tells when to come back; zero where that is of no use.
	RetryAfter time.Duration
	cause      error
}

// Error implements error.
func (r *Refusal) Error() string {
	return "not admitted: " + r.Reason
}

// Unwrap returns the error of the context that ended, if that was the cause.
func (r *Refusal) Unwrap() error {
	return r.cause
}

// WithSeed is a functional option that seeds the jitter of RetryAfter.
func WithSeed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}

// jitter spreads d evenly over half to one and a half of it, within bounds.
func jitter(d time.Duration, random *rand.Rand) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d/2 + time.Duration(random.Int64N(int64(d)))
}
