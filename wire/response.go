package wire

import "time"

// Refuse returns the answer to a request that did not run.
func Refuse(reason string, retryAfter time.Duration) *Response {
	return &Response{Outcome: OutcomeNotRun, Reason: reason, RetryAfter: retryAfter}
}

// UnknownOutcome returns the answer to a request that may have run.
func UnknownOutcome(reason string) *Response {
	return &Response{Outcome: OutcomeUnknown, Reason: reason}
}

// Misrouted returns the answer to a request whose key another daemon owns. The
// request did not run and may be routed again.
func Misrouted() *Response {
	return &Response{Outcome: OutcomeNotRun, Reason: "moved", NotOwner: true}
}

// String returns the name of the outcome that callers receive.
func (o Outcome) String() string {
	switch o {
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// String returns the name of the state that operators see.
func (s State) String() string {
	switch s {
	case StateActive:
		return "active"
	case StateLeaving, StateLeft:
		return "leaving"
	default:
		return "closed"
	}
}
