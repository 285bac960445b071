package control

import "fulmarrun/routes"

// WithFaults is a functional option for mutation tests only: it breaks rules of
// this package to check that the tests detect the violation.
func WithFaults(f Faults) Option {
	return func(c *Core) { c.faults = f }
}

// Faults are deliberate faults for mutation tests. The zero value has none.
type Faults struct {
	// Routes are faults in how rows are resolved to owners.
	Routes routes.Faults
	// UnguardedMove omits the previous owner's member row from the conditions of a
	// move.
	UnguardedMove bool
	// NoPredecessorWait closes a predecessor without waiting.
	NoPredecessorWait bool
	// IgnoreEpoch completes a hand-over even if the epoch of the slot has changed
	// since its records were collected.
	IgnoreEpoch bool
	// NoReload doesn't read the rows again after joining.
	NoReload bool
	// RefoundUnsettled assigns slots in a new timeline while others may own them by rows of
	// an earlier one.
	RefoundUnsettled bool
	// EnterUnleased continues in a new timeline without a lease.
	EnterUnleased bool
	// TrustCopy takes rows of an earlier timeline that are read from the platform for as
	// good as those that members have.
	TrustCopy bool
}
