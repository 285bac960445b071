package admission

import "time"

// Stats is a snapshot of the state.
type Stats struct {
	InFlight int
	Queued   int
	// Limit is the number of requests that may be in flight, reports included.
	Limit int
	// Proven is the greatest number that the target was lately seen to bear.
	Proven int
	// Latency is the mean latency of recent answers.
	Latency time.Duration
	// Baseline is the target's own best latency.
	Baseline time.Duration
	// Admitted, Refused and Shed count requests from the beginning.
	Admitted uint64
	Refused  uint64
	Shed     uint64
	Paused   bool
	Draining bool
}
