package admission

import "time"

// Stats is a snapshot of a Core.
type Stats struct {
	InFlight int
	Queued   int
	// Limit is the number of requests that may be in flight, reduced by what the target
	// reports.
	Limit int
	// Proven is the highest limit at which the latency was recently near the baseline.
	Proven int
	// Latency is the mean latency of recent successful requests.
	Latency time.Duration
	// Baseline is the latency of the target without load.
	Baseline time.Duration
	// StatedRate is the rate of requests to which the target limits itself, in requests per
	// second; zero if it does not.
	StatedRate float64
	// Admitted, Refused and Shed count all requests since the start.
	Admitted uint64
	Refused  uint64
	Shed     uint64
	Paused   bool
	Draining bool
}
