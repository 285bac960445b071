package routes

// Option configures a View.
type Option func(*View)

// WithFaults is a functional option for tests of the proofs only: it breaks
// rules of this package, so that the proofs can be seen to notice.
func WithFaults(f Faults) Option {
	return func(v *View) { v.faults = f }
}

// Faults are deliberate mistakes for tests of the proofs. The zero value is
// none.
type Faults struct {
	// IgnoreReleases follows the heirs of a closed generation also from a row that
	// is older than what that generation gave away.
	IgnoreReleases bool
	// SkipBaseCheck applies a delta to whatever is held, and takes what comes out.
	SkipBaseCheck bool
}
