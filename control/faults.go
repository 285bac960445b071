package control

import "fulmarrun/routes"

// WithFaults is a functional option for tests of the proofs only: it breaks
// rules of this package, so that the proofs can be seen to notice.
func WithFaults(f Faults) Option {
	return func(c *Core) { c.faults = f }
}

// Faults are deliberate mistakes for tests of the proofs. The zero value is
// none.
type Faults struct {
	// Routes are mistakes in following the rows.
	Routes routes.Faults
	// UnguardedMove leaves the giver's own row out of the conditions of a move.
	UnguardedMove bool
	// NoPredecessorWait closes the predecessor without waiting.
	NoPredecessorWait bool
	// IgnoreEpoch completes a hand-over whatever has become of the slot since its
	// records were collected.
	IgnoreEpoch bool
	// NoReload trusts the rows read before joining.
	NoReload bool
}
