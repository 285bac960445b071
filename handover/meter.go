package handover

import "time"

// TargetLoad is the work of a target at one moment.
type TargetLoad struct {
	// InFlight and Queued count the requests that the target runs and those that wait for
	// it. Limit is how many it may run concurrently.
	InFlight int
	Queued   int
	Limit    int
	// Offered counts all requests for the target so far, refused ones included.
	Offered uint64
	// RateLimit is the rate of requests that the target accepts, in requests per second;
	// zero if it is not limited.
	RateLimit float64
}

// LoadMeter measures the utilization of a target. A target that accepts only a certain
// rate of requests runs few of those that are offered, so that it would seem to be idle by
// what it runs. The zero value is ready to use.
type LoadMeter struct {
	at      time.Time
	offered uint64
}

// Sample returns the utilization of the target: what it runs and what waits for it as a
// share of its limit, or the offered rate as a share of its rate limit if that is more.
func (m *LoadMeter) Sample(l TargetLoad, now time.Time) float64 {
	elapsed, offered := now.Sub(m.at).Seconds(), float64(l.Offered-m.offered)
	first := m.at.IsZero()
	m.at, m.offered = now, l.Offered
	utilization := float64(l.InFlight+l.Queued) / float64(max(1, l.Limit))
	if first || elapsed <= 0 || l.RateLimit <= 0 {
		return utilization
	}
	return max(utilization, offered/elapsed/l.RateLimit)
}
