package admission

import (
	"math/rand/v2"
	"time"
)

// Reasons for a Refusal.
const (
	// ReasonDeadline means that the request can't meet its deadline.
	ReasonDeadline = "deadline"
	// ReasonRate means that the request can't meet its deadline because the target is cold
	// or states the rate of requests that it accepts.
	ReasonRate = "rate"
	// ReasonFull means that the queue is full.
	ReasonFull = "full"
	// ReasonPriority means that a more urgent request took its place.
	ReasonPriority = "priority"
	// ReasonShare means that its team has more than an equal share of the requests at the
	// target.
	ReasonShare = "share"
	// ReasonShort means that too little time is left for its work.
	ReasonShort = "short"
	// ReasonBytes means that it can't meet its deadline because the bodies of the requests
	// in flight are as large as the target may hold.
	ReasonBytes = "bytes"
	// ReasonDepth means that the request is nested too deeply.
	ReasonDepth = "depth"
	// ReasonDraining means that the target is shutting down.
	ReasonDraining = "draining"
	// ReasonClosed means that admission to the target is closed.
	ReasonClosed = "closed"
	// ReasonCancelled means that the caller cancelled the request.
	ReasonCancelled = "cancelled"
)

const (
	// minRetryAfter is the minimum retry delay that is returned to a caller, before
	// jitter.
	minRetryAfter = 20 * time.Millisecond
	// maxRetryAfter is the maximum retry delay that is returned to a caller, before
	// jitter.
	maxRetryAfter = 20 * time.Second
	// unavailableRetryAfter is the retry delay for a target that is draining or closed,
	// before jitter.
	unavailableRetryAfter = time.Second
)

// Refusal is the error of a request that was not admitted and did not run.
type Refusal struct { //nolint:errname // It is a regular result, not a failure.
	// Reason is one of the Reason constants.
	Reason string
	// RetryAfter is the delay after which to retry; zero where a retry is of no use.
	RetryAfter time.Duration
	cause      error
}

// Error implements error.
func (r *Refusal) Error() string {
	return "not admitted: " + r.Reason
}

// Unwrap returns the context error if the end of a context was the cause.
func (r *Refusal) Unwrap() error {
	return r.cause
}

// WithSeed is a functional option that seeds the random choices, such as the jitter of
// RetryAfter and the members that a Pool draws.
func WithSeed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}

// jitter returns a random duration, uniformly distributed between half and one and a
// half of d, after limiting d to its bounds.
func jitter(d time.Duration, random *rand.Rand) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d/2 + time.Duration(random.Int64N(int64(d)))
}
