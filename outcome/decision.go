package outcome

import (
	"net/http"
	"time"

	"fulmarrun/wire"
)

// Action is what is to be done with a request.
type Action uint8

const (
	// Run means that the caller of Begin must run the request now and report by
	// Finish or Abandon.
	Run Action = iota + 1
	// Replay means that the request ran; Response holds its answer.
	Replay
	// Join means that the request runs right now; Wait returns its answer.
	Join
	// Unknown means that the request may have run; Response says so.
	Unknown
	// Reject means that the request did not run; Response says so.
	Reject
	// Frozen means that the unit is being handed over.
	Frozen
)

const (
	// ReasonRecordLost means that an earlier owner may have run the request, or that its
	// record was dropped.
	ReasonRecordLost = "forgotten"
	// ReasonUnanswered means that the request was handed to the target and its
	// answer never came whole.
	ReasonUnanswered = "unanswered"
	// ReasonAnswerDropped means that the request ran and its answer is no longer held.
	ReasonAnswerDropped = "unheld"
	// ReasonFuture means that the ID's time lies ahead of the owner's clock.
	ReasonFuture = "future"
	// ReasonMalformed means that the ID can't be used.
	ReasonMalformed = "malformed"
	// ReasonNoTime means that an ID with a time is demanded.
	ReasonNoTime = "timeless"
	// ReasonFull means that no record can be made at the moment.
	ReasonFull = "full"
	// ReasonNotOwned means that the unit is not owned here.
	ReasonNotOwned = "elsewhere"
	// ReasonAbandoned means that the run that was joined did not take place.
	ReasonAbandoned = "abandoned"
	// ReasonTimeout means that the time ran out while the request ran.
	ReasonTimeout = "timeout"
	// ReasonCancel means that one stopped waiting while the request ran.
	ReasonCancel = "cancel"
)

const (
	// retryFull is the time to come back if no record can be made.
	retryFull = 5 * time.Second
	// retryAbandoned is the time to come back after a run that didn't take place.
	retryAbandoned = 100 * time.Millisecond
)

// Decision is the answer of Begin.
type Decision struct {
	Action Action
	// Response is the final answer for Replay, Unknown and Reject.
	Response *wire.Response
}

// unknown answers that the request may have run. Coming back doesn't help: the
// answer for this ID stays the same.
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
