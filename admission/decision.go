package admission

import "time"

// Verdict is the state of a request: refused, admitted or waiting.
type Verdict uint8

const (
	// Refused means that Decision.Refusal is the final answer.
	Refused Verdict = iota
	// Admitted means that the request occupies Decision.Slot.
	Admitted
	// Waiting means that a later Decision with the same ID follows.
	Waiting
)

// Decision is the result of a request for admission.
type Decision struct {
	Verdict Verdict
	// Slot has to be released with Done.
	Slot Slot
	// ID identifies a request that is or was waiting.
	ID uint64
	// Cutoff is when a waiting request can no longer meet its deadline; zero if it has
	// none.
	Cutoff  time.Time
	Refusal Refusal
}
