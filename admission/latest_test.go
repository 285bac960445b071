package admission_test

import (
	"testing"
	"time"

	"fulmarrun/admission"
)

// TestLatest offers twice what a target bears for ten seconds, and asks that whoever
// is admitted has not waited longer than it may, that nobody else is kept waiting
// for long, and that the target has no idle time.
func TestLatest(t *testing.T) {
	const (
		slots   = 10
		service = 50 * time.Millisecond
		gap     = service / slots / 2
		limit   = 40 * time.Millisecond
	)
	start := time.Unix(1000, 0)
	core := admission.NewCore(admission.WithFixedLimit(slots))
	type running struct {
		slot admission.Slot
		ends time.Time
	}
	var busy []running
	entered := make(map[uint64]time.Time)
	admitted := 0
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(gap) {
		for len(busy) > 0 && !busy[0].ends.After(now) {
			core.Done(busy[0].slot, admission.Completion{Latency: service}, now)
			busy = busy[1:]
		}
		decide := func(d admission.Decision, since time.Time) {
			waited := now.Sub(since)
			switch d.Verdict {
			case admission.Admitted:
				admitted++
				busy = append(busy, running{d.Slot, now.Add(service)})
			case admission.Waiting:
				entered[d.ID] = since
				return
			case admission.Refused:
			}
			if waited > limit+gap {
				t.Fatalf("verdict %v after %v", d.Verdict, waited)
			}
		}
		for d, ok := core.Next(now); ok; d, ok = core.Next(now) {
			decide(d, entered[d.ID])
		}
		decide(core.Enter(admission.Ticket{Deadline: now.Add(time.Second), Latest: now.Add(limit)}, now), now)
	}
	if most := int(10 * time.Second / service * slots); admitted < most*95/100 {
		t.Errorf("%d requests admitted where %d are borne", admitted, most)
	}
}

// TestLatestVacant checks that a request which need not wait is not refused.
func TestLatestVacant(t *testing.T) {
	now := time.Unix(1000, 0)
	core := admission.NewCore(admission.WithFixedLimit(1))
	if d := core.Enter(admission.Ticket{Latest: now.Add(-time.Second)}, now); d.Verdict != admission.Admitted {
		t.Errorf("verdict %v with a slot free", d.Verdict)
	}
}

// TestNobodyStarves replays a target that is left alone with more than twice what it
// bears, by requests that aim at different times, and asks that each kind gets its part.
func TestNobodyStarves(t *testing.T) {
	const (
		slots   = 18
		service = 60 * time.Millisecond
		gap     = 1300 * time.Microsecond
	)
	aims := []time.Duration{60 * time.Millisecond, 200 * time.Millisecond, 750 * time.Millisecond}
	start := time.Unix(1000, 0)
	core := admission.NewCore(admission.WithFixedLimit(slots))
	type running struct {
		slot admission.Slot
		ends time.Time
	}
	var busy []running
	waiting := make(map[uint64]int)
	asked, served := make([]int, len(aims)), make([]int, len(aims))
	for i := 0; i < 20_000; i++ {
		now := start.Add(time.Duration(i) * gap)
		for len(busy) > 0 && !busy[0].ends.After(now) {
			core.Done(busy[0].slot, admission.Completion{Latency: service}, now)
			busy = busy[1:]
		}
		decide := func(d admission.Decision, kind int) {
			switch d.Verdict {
			case admission.Admitted:
				served[kind]++
				busy = append(busy, running{d.Slot, now.Add(service)})
			case admission.Waiting:
				waiting[d.ID] = kind
			case admission.Refused:
			}
		}
		for d, ok := core.Next(now); ok; d, ok = core.Next(now) {
			decide(d, waiting[d.ID])
		}
		// One request in twenty aims at the longest time.
		kind := i % 2
		if i%20 == 0 {
			kind = 2
		}
		asked[kind]++
		ticket := admission.Ticket{Deadline: now.Add(1200 * time.Millisecond)}
		decide(core.Enter(ticket.WithTargetLatency(aims[kind], now), now), kind)
	}
	all := float64(served[0]+served[1]+served[2]) / float64(asked[0]+asked[1]+asked[2])
	for kind, aim := range aims {
		share := float64(served[kind]) / float64(asked[kind])
		t.Logf("aim %v: %.2f served", aim, share)
		if share < all/4 {
			t.Errorf("of the requests that aim at %v, %.2f are served, of all %.2f", aim, share, all)
		}
	}
}
