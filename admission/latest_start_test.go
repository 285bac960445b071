package admission_test

import (
	"testing"
	"time"

	"fulmarrun/admission"
)

// TestLatestStartInOverload offers a target twice its capacity for ten seconds. No
// admitted request may have waited longer than its latest start allows, refused
// requests must be refused within that time, and the target must not be idle.
func TestLatestStartInOverload(t *testing.T) {
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
	var inFlight []running
	waitingSince := make(map[uint64]time.Time)
	admitted := 0
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(gap) {
		for len(inFlight) > 0 && !inFlight[0].ends.After(now) {
			core.Done(inFlight[0].slot, admission.Completion{Latency: service}, now)
			inFlight = inFlight[1:]
		}
		decide := func(d admission.Decision, since time.Time) {
			waited := now.Sub(since)
			switch d.Verdict {
			case admission.Admitted:
				admitted++
				inFlight = append(inFlight, running{d.Slot, now.Add(service)})
			case admission.Waiting:
				waitingSince[d.ID] = since
				return
			case admission.Refused:
			}
			if waited > limit+gap {
				t.Fatalf("verdict %v after waiting %v", d.Verdict, waited)
			}
		}
		for d, ok := core.Next(now); ok; d, ok = core.Next(now) {
			decide(d, waitingSince[d.ID])
		}
		decide(core.Enter(admission.Ticket{Deadline: now.Add(time.Second), LatestStart: now.Add(limit)}, now), now)
	}
	if most := int(10 * time.Second / service * slots); admitted < most*95/100 {
		t.Errorf("%d requests admitted, capacity %d", admitted, most)
	}
}

// TestLatestStartIgnoredWhenFree checks that a request that need not wait is not
// refused.
func TestLatestStartIgnoredWhenFree(t *testing.T) {
	now := time.Unix(1000, 0)
	core := admission.NewCore(admission.WithFixedLimit(1))
	if d := core.Enter(admission.Ticket{LatestStart: now.Add(-time.Second)}, now); d.Verdict != admission.Admitted {
		t.Errorf("verdict %v with a slot free", d.Verdict)
	}
}

// TestNoLatencyGoalStarves offers a single remaining target more than twice its
// capacity, in requests with different latency goals, and checks that the share
// served of each kind is at least a quarter of the share served of all.
func TestNoLatencyGoalStarves(t *testing.T) {
	const (
		slots   = 18
		service = 60 * time.Millisecond
		gap     = 1300 * time.Microsecond
	)
	latencyGoals := []time.Duration{60 * time.Millisecond, 200 * time.Millisecond, 750 * time.Millisecond}
	start := time.Unix(1000, 0)
	core := admission.NewCore(admission.WithFixedLimit(slots))
	type running struct {
		slot admission.Slot
		ends time.Time
	}
	var inFlight []running
	waiting := make(map[uint64]int)
	submitted, served := make([]int, len(latencyGoals)), make([]int, len(latencyGoals))
	for i := 0; i < 20_000; i++ {
		now := start.Add(time.Duration(i) * gap)
		for len(inFlight) > 0 && !inFlight[0].ends.After(now) {
			core.Done(inFlight[0].slot, admission.Completion{Latency: service}, now)
			inFlight = inFlight[1:]
		}
		decide := func(d admission.Decision, kind int) {
			switch d.Verdict {
			case admission.Admitted:
				served[kind]++
				inFlight = append(inFlight, running{d.Slot, now.Add(service)})
			case admission.Waiting:
				waiting[d.ID] = kind
			case admission.Refused:
			}
		}
		for d, ok := core.Next(now); ok; d, ok = core.Next(now) {
			decide(d, waiting[d.ID])
		}
		// One request in twenty has the longest latency goal.
		kind := i % 2
		if i%20 == 0 {
			kind = 2
		}
		submitted[kind]++
		ticket := admission.Ticket{Deadline: now.Add(1200 * time.Millisecond)}
		decide(core.Enter(ticket.WithLatencyGoal(latencyGoals[kind], now), now), kind)
	}
	all := float64(served[0]+served[1]+served[2]) / float64(submitted[0]+submitted[1]+submitted[2])
	for kind, goal := range latencyGoals {
		share := float64(served[kind]) / float64(submitted[kind])
		t.Logf("latency goal %v: %.2f served", goal, share)
		if share < all/4 {
			t.Errorf("share served with latency goal %v: %.2f, of all requests %.2f", goal, share, all)
		}
	}
}
