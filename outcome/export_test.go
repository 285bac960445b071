package outcome

import "time"

// WithMargin is a functional option that breaks the rule of the floor.
func WithMargin(d time.Duration) Option { return func(l *Ledger) { l.limits.margin = d } }

// WithoutFloor is a functional option that drops records without a trace.
func WithoutFloor() Option { return func(l *Ledger) { l.limits.traceless = true } }
