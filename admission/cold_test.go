package admission_test

import (
	"testing"
	"time"

	"fulmarrun/admission"
)

// TestColdRateLimit offers far more than the rate of a cold target and counts the
// requests that are admitted in each window of one second.
func TestColdRateLimit(t *testing.T) {
	const perSecond = 24
	start := time.Unix(1000, 0)
	core := admission.NewCore(admission.WithFixedLimit(1000))
	core.SetColdRate(start.Add(3*time.Second), perSecond)
	var admitted []time.Time
	for now := start; now.Before(start.Add(4 * time.Second)); now = now.Add(time.Millisecond) {
		for d, ok := core.Next(now); ok; d, ok = core.Next(now) {
			if d.Verdict == admission.Admitted {
				admitted = append(admitted, now)
			}
		}
		d := core.Enter(admission.Ticket{Deadline: now.Add(time.Second)}, now)
		if d.Verdict == admission.Admitted {
			admitted = append(admitted, now)
		}
	}
	warm := 0
	for i, at := range admitted {
		n := 0
		for _, other := range admitted[i:] {
			if other.Sub(at) < time.Second && other.Before(start.Add(3*time.Second)) {
				n++
			}
		}
		if n > perSecond*3/2 {
			t.Fatalf("%d requests admitted in the second from %v on", n, at.Sub(start))
		}
		if !at.Before(start.Add(3 * time.Second)) {
			warm++
		}
	}
	if cold := len(admitted) - warm; cold < 3*perSecond*9/10 {
		t.Errorf("%d requests admitted in 3 cold seconds", cold)
	}
	if warm < 900 {
		t.Errorf("%d requests admitted in the first second after the cold limit", warm)
	}
}

// TestColdWaiterIsAdmitted checks that a request that waits for a cold target is
// admitted without any other event.
func TestColdWaiterIsAdmitted(t *testing.T) {
	gate := admission.NewGate(admission.WithFixedLimit(10))
	gate.SetColdRate(time.Minute, 20)
	for range 10 {
		permit, err := gate.Enter(t.Context(), admission.Ticket{})
		if err != nil {
			t.Fatal(err)
		}
		permit.Done(admission.Completion{Latency: time.Millisecond})
	}
}
