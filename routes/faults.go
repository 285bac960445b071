package routes

// Option configures a View.
type Option func(*View)

// WithFaults is a functional option for tests only. It breaks rules of this package,
// to check that the property tests detect it.
func WithFaults(f Faults) Option {
	return func(v *View) { v.faults = f }
}

// Faults selects deliberate faults for tests. The zero value has none.
type Faults struct {
	// IgnoreReleases follows the heirs of a closed generation even from a row that is
	// older than the last hand-over of its slots by that generation.
	IgnoreReleases bool
	// SkipBaseCheck applies a delta to any version of the row and accepts any result.
	SkipBaseCheck bool
	// IgnoreTimelines takes members of a later timeline for owners by rows of an earlier one,
	// whatever they have claimed.
	IgnoreTimelines bool
}
