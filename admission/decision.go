package admission

import "time"

// Verdict is what became of a request.
type Verdict uint8

const (
	// Refused means that Decision.Refusal is the final answer.
	Refused Verdict = iota
	// Admitted means that Decision.Slot is taken.
	Admitted
	// Waiting means that a later Decision with the same ID follows.
	Waiting
)

// Decision answers a request.
type Decision struct {
	Verdict Verdict
	// Slot is to be given back with Done.
	Slot Slot
	// ID names a request that waits or has waited.
	ID uint64
	// Cutoff is when a request that waits can no longer make its deadline; zero
	// if it has none.
	Cutoff  time.Time
	Refusal Refusal
}
