package admission

import "time"

// healthTTL is how long a report is used.
const healthTTL = 5 * time.Second

// Health is a report of the target about itself. It only ever lowers the limit of the
// target, because a report may be outdated or wrong.
type Health struct {
	// Draining is true if the target is shutting down: all requests are refused.
	Draining bool
	// Unready is true if the target reports that it is not ready; the limit is then at
	// most the start limit.
	Unready bool
	// Limit is the maximum number of concurrent requests that the target accepts; zero
	// if it reports none.
	Limit int
	// Load is the fraction of its capacity that the target reports as in use, 1 for
	// all; zero if it reports none.
	Load float64
}

// report is the latest Health and the time it was received.
type report struct {
	Health
	at time.Time
}

// current returns the report if it has not expired. Draining never expires; it ends
// with a report that denies it.
func (r *report) current(now time.Time) Health {
	if r.at.IsZero() || now.Sub(r.at) <= healthTTL {
		return r.Health
	}
	return Health{Draining: r.Draining}
}
