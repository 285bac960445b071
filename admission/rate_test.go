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
	core.SetColdRate(start, start.Add(3*time.Second), perSecond)
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

// TestStatedRateLimit offers far more than the rate that a target states, which changes a
// little with each answer, and counts the requests that are admitted in each 4 s: no more
// than one and a half times the rate, and 5 more.
func TestStatedRateLimit(t *testing.T) {
	const window, end = 4 * time.Second, 20 * time.Second
	for _, rate := range []float64{0, 0.1, 0.5, 1, 3.7, 52.4, 400} {
		start := time.Unix(1000, 0)
		core := admission.NewCore(admission.WithFixedLimit(1000))
		var admitted []time.Time
		for now := start; now.Before(start.Add(end)); now = now.Add(time.Millisecond) {
			core.SetStatedRate(now, rate*(1-0.01*float64(now.UnixMilli()%7)))
			if d := core.Enter(admission.Ticket{Deadline: now.Add(time.Millisecond)}, now); d.Verdict == admission.Admitted {
				admitted = append(admitted, now)
				core.Done(d.Slot, admission.Completion{Latency: time.Millisecond}, now)
			}
			for d, ok := core.Next(now.Add(2 * time.Millisecond)); ok; d, ok = core.Next(now.Add(2 * time.Millisecond)) {
				if d.Verdict == admission.Admitted {
					t.Fatalf("rate %v: a request was admitted after its deadline", rate)
				}
			}
		}
		first := 0
		for i, at := range admitted {
			for at.Sub(admitted[first]) > window {
				first++
			}
			if n := i - first + 1; float64(n) > 1.5*rate*window.Seconds()+5 {
				t.Fatalf("rate %v: %d requests admitted in the %v up to %v", rate, n, window, at.Sub(start))
			}
		}
		if float64(len(admitted)) < 0.8*rate*end.Seconds() {
			t.Errorf("rate %v: only %d requests admitted in %v", rate, len(admitted), end)
		}
	}
}

// TestStatedRateRefusesAtOnce checks that a request that the stated rate leaves no room for
// is refused when it arrives, with a delay in which room for it comes, and that requests are
// admitted again once the target states no rate.
func TestStatedRateRefusesAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	core := admission.NewCore(admission.WithFixedLimit(10))
	core.SetStatedRate(now, 1)
	ticket := admission.Ticket{Deadline: now.Add(300 * time.Millisecond)}
	if d := core.Enter(ticket, now); d.Verdict != admission.Admitted {
		t.Fatalf("first request: %+v", d)
	}
	d := core.Enter(ticket, now)
	if d.Verdict != admission.Refused || d.Refusal.Reason != admission.ReasonRate || d.Refusal.RetryAfter < 500*time.Millisecond {
		t.Errorf("request beyond the rate: %+v", d)
	}
	core.EndStatedRate()
	if d := core.Enter(ticket, now); d.Verdict != admission.Admitted {
		t.Errorf("request after the end of the rate: %+v", d)
	}
}

// TestWaiterAfterRateChange checks that a request that waits for the next token of a low rate
// is admitted as soon as a higher one allows it.
func TestWaiterAfterRateChange(t *testing.T) {
	gate := admission.NewGate(admission.WithFixedLimit(10))
	gate.SetStatedRate(0.2)
	permit, err := gate.Enter(t.Context(), admission.Ticket{})
	if err != nil {
		t.Fatal(err)
	}
	permit.Done(admission.Completion{Latency: time.Millisecond})
	admitted := make(chan error, 1)
	go func() {
		_, err := gate.Enter(t.Context(), admission.Ticket{})
		admitted <- err
	}()
	for gate.Stats().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	gate.SetStatedRate(20)
	select {
	case err := <-admitted:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(4 * time.Second):
		t.Error("the request still waits for the token of the low rate")
	}
}
