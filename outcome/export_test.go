package outcome

import "time"

// WithMargin is a functional option that sets the margin after a take-over, also to
// values that break the rule.
func WithMargin(d time.Duration) Option { return func(l *Ledger) { l.limits.margin = d } }

// WithoutFloor is a functional option that does not raise a unit's dropFloor when a
// record is evicted.
func WithoutFloor() Option { return func(l *Ledger) { l.limits.keepFloor = true } }
