package outcome

import (
	"net/http"
	"time"

	"fulmarrun/wire"
)

// Action is what the caller of Begin must do with a request.
type Action uint8

const (
	// Run means that the caller of Begin must run the request now and then call Finish
	// or Abandon.
	Run Action = iota + 1
	// Replay means that the request has run; Response holds its answer.
	Replay
	// Join means that the request is running; Wait returns its answer.
	Join
	// Unknown means that the request may have run; Response says so.
	Unknown
	// Reject means that the request did not run; Response says so.
	Reject
	// Frozen means that the unit is frozen for a hand-over.
	Frozen
)

const (
	// ReasonRecordLost means that an earlier owner may have run the request, or that its
	// record was dropped.
	ReasonRecordLost = "forgotten"
	// ReasonUnanswered means that the request was sent to the target and no complete
	// answer was received.
	ReasonUnanswered = "unanswered"
	// ReasonAnswerDropped means that the request ran and its answer is no longer
	// stored.
	ReasonAnswerDropped = "unheld"
	// ReasonFuture means that the ID's time is ahead of the owner's clock.
	ReasonFuture = "future"
	// ReasonMalformed means that the ID is empty, too long or not printable.
	ReasonMalformed = "malformed"
	// ReasonNoTime means that an ID with a time is required.
	ReasonNoTime = "timeless"
	// ReasonFull means that there is currently no room for another record.
	ReasonFull = "full"
	// ReasonNotOwned means that this daemon does not own the unit.
	ReasonNotOwned = "elsewhere"
	// ReasonAbandoned means that the run that the request joined did not take place.
	ReasonAbandoned = "abandoned"
	// ReasonTimeout means that the wait for a running request timed out.
	ReasonTimeout = "timeout"
	// ReasonCancel means that the wait for a running request was cancelled.
	ReasonCancel = "cancel"
)

const (
	// retryFull is the retry delay if there is no room for another record.
	retryFull = 5 * time.Second
	// retryAbandoned is the retry delay after a run that didn't take place.
	retryAbandoned = 100 * time.Millisecond
)

// Decision is the result of Begin.
type Decision struct {
	Action Action
	// Response is the final answer for Replay, Unknown and Reject.
	Response *wire.Response
}

// unknown returns the decision that the request may have run. It sets no retry
// delay: the answer for this ID stays the same.
func unknown(reason string) Decision {
	return Decision{Action: Unknown, Response: &wire.Response{
		Outcome: wire.OutcomeUnknown,
		Status:  http.StatusConflict,
		Reason:  reason,
	}}
}

func reject(status uint16, reason string, retryAfter time.Duration) Decision {
	return Decision{Action: Reject, Response: &wire.Response{
		Outcome:    wire.OutcomeNotRun,
		Status:     status,
		Reason:     reason,
		RetryAfter: retryAfter,
	}}
}
