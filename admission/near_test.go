package admission_test

import (
	"testing"
	"time"

	"fulmarrun/admission"
	"fulmarrun/wire"
)

// TestNear replays a load on three equal targets of which one is near: while there is
// little to do most requests go there, and in overload it gets hardly more than its
// share.
func TestNear(t *testing.T) {
	const service = 50 * time.Millisecond
	for _, tc := range []struct {
		name        string
		gap         time.Duration
		least, most float64
	}{
		{"little to do", 40 * time.Millisecond, 0.6, 1},
		{"much to do", time.Millisecond, 0.33, 0.5},
	} {
		pool := admission.NewPool(admission.WithSeed(1))
		now := time.Unix(1000, 0)
		pool.SetMembers([]wire.Generation{1, 2, 3}, now)
		pool.MarkLocal(func(g wire.Generation) bool { return g == 1 })
		type running struct {
			to   wire.Generation
			ends time.Time
		}
		var busy []running
		count, near := 0, 0
		for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(tc.gap) {
			for len(busy) > 0 && !busy[0].ends.After(now) {
				pool.Done(busy[0].to, admission.Completion{Latency: service}, now)
				busy = busy[1:]
			}
			g, ok := pool.Pick(now)
			if !ok {
				t.Fatal("nobody is chosen")
			}
			pool.Start(g, now)
			busy = append(busy, running{g, now.Add(service)})
			if count++; g == 1 {
				near++
			}
		}
		if share := float64(near) / float64(count); share < tc.least || share > tc.most {
			t.Errorf("%s: %.2f of the requests are near", tc.name, share)
		}
	}
}
