package admission

import "time"

// healthTTL is how long a report counts.
const healthTTL = 5 * time.Second

// Health is what a target says of itself. It only ever lowers what the target
// is given: a report may lag or mislead.
type Health struct {
	// Draining is true if the target is leaving: everything is refused.
	Draining bool
	// Unready is true if the target says that it is not ready; the limit is
	// then no more than the start limit.
	Unready bool
	// Limit is the most requests that the target wants at once; zero if it
	// says nothing.
	Limit int
	// Load is the share of its capacity that the target says is in use, 1 for
	// all; zero if it says nothing.
	Load float64
}

// report is the latest Health and when it came.
type report struct {
	Health
	at time.Time
}

// current returns the report if it still counts. Draining never expires; it
// ends with a report that denies it.
func (r *report) current(now time.Time) Health {
	if r.at.IsZero() || now.Sub(r.at) <= healthTTL {
		return r.Health
	}
	return Health{Draining: r.Draining}
}
