package admission_test

import (
	"testing"
	"time"

	"fulmarrun/admission"
	"fulmarrun/wire"
)

// TestPoolPrefersLocalTarget simulates a load on three equal targets of which one is
// local: at low load it gets most requests, and in overload hardly more than its share.
func TestPoolPrefersLocalTarget(t *testing.T) {
	const service = 50 * time.Millisecond
	for _, tc := range []struct {
		name               string
		gap                time.Duration
		minShare, maxShare float64
	}{
		{"low load", 40 * time.Millisecond, 0.6, 1},
		{"overload", time.Millisecond, 0.33, 0.5},
	} {
		pool := admission.NewPool(admission.WithSeed(1))
		now := time.Unix(1000, 0)
		pool.SetMembers([]wire.Generation{1, 2, 3}, now)
		pool.MarkLocal(func(g wire.Generation) bool { return g == 1 })
		type running struct {
			to   wire.Generation
			ends time.Time
		}
		var inFlight []running
		count, local := 0, 0
		for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(tc.gap) {
			for len(inFlight) > 0 && !inFlight[0].ends.After(now) {
				pool.Done(inFlight[0].to, admission.Completion{Latency: service}, now)
				inFlight = inFlight[1:]
			}
			g, ok := pool.Pick(now)
			if !ok {
				t.Fatal("no member was picked")
			}
			pool.Start(g, now)
			inFlight = append(inFlight, running{g, now.Add(service)})
			if count++; g == 1 {
				local++
			}
		}
		if share := float64(local) / float64(count); share < tc.minShare || share > tc.maxShare {
			t.Errorf("%s: share of requests to the local target: %.2f", tc.name, share)
		}
	}
}
