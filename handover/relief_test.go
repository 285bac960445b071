package handover_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fulmarrun/handover"
	"fulmarrun/wire"
)

// node is a simulated target with a relative speed and its slots.
type node struct {
	speed float64
	slots map[uint32]bool
}

// utilizations returns the fraction of each node's capacity that the rates require.
func utilizations(nodes []node, rates []float64, capacity float64) []float64 {
	out := make([]float64, len(nodes))
	for i, n := range nodes {
		for slot := range n.slots {
			out[i] += rates[slot] / (capacity * n.speed)
		}
	}
	return out
}

// relieve applies the moves that PlanRelief returns for each node, once, and counts them.
func relieve(nodes []node, rates []float64, capacity float64) int {
	moved := 0
	used := utilizations(nodes, rates, capacity)
	for i := range nodes {
		var others []handover.Load
		for j, u := range used {
			if j != i {
				others = append(others, handover.Load{Generation: wire.Generation(j + 1), Utilization: u, Steady: u})
			}
		}
		own := make([]handover.Rate, 0, len(nodes[i].slots))
		for slot := range nodes[i].slots {
			own = append(own, handover.Rate{Slot: slot, PerSecond: rates[slot]})
		}
		for _, m := range handover.PlanRelief("s", handover.Load{Utilization: used[i], Steady: used[i]}, own, others) {
			delete(nodes[i].slots, m.Slot)
			nodes[m.To-1].slots[m.Slot] = true
			moved++
		}
	}
	return moved
}

// TestPlanReliefHotNeighbours simulates a load of which a third falls on adjacent slots, on
// targets of unequal speed. It checks that no target is overloaded after a few rounds, and
// that hardly any slots move afterwards.
func TestPlanReliefHotNeighbours(t *testing.T) {
	const slots, perSecond, capacity = 1024, 300.0, 110.0
	speeds := []float64{0.6, 1, 1.4, 0.6, 1, 1.4}
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		rates := make([]float64, slots)
		for i := range rates {
			rates[i] = perSecond * 2 / 3 / slots
		}
		firstHotSlot := random.IntN(slots - 4)
		for i := range 4 {
			rates[firstHotSlot+i] += perSecond / 3 / 4
		}
		nodes := make([]node, len(speeds))
		for i := range nodes {
			nodes[i] = node{speed: speeds[i], slots: make(map[uint32]bool)}
		}
		for slot := range uint32(slots) {
			nodes[int(slot)%len(nodes)].slots[slot] = true
		}
		for range 6 {
			relieve(nodes, rates, capacity)
		}
		for i, u := range utilizations(nodes, rates, capacity) {
			if u > 0.85 {
				t.Errorf("seed %d: node %d has a utilization of %.2f", seed, i, u)
			}
		}
		moved := 0
		for range 5 {
			moved += relieve(nodes, rates, capacity)
		}
		if moved > 40 {
			t.Errorf("seed %d: %d slots moved after the load was balanced", seed, moved)
		}
	}
}

// replayNoise simulates a constant load on targets that share their machines: in each
// 400 ms a fifth of them are three times slower, so that requests queue in front of them for
// a moment. It returns how many slots the given policy moves in a minute. The policy may act
// every 400 ms, but not for 1.2 s after it has moved slots.
func replayNoise(seed uint64, policy func(own handover.Load, rates []handover.Rate, others []handover.Load) []handover.Move) int {
	const targets, slots, baseLoad, checkTicks, pauseTicks = 9, 360, 0.45, 4, 12
	random := rand.New(rand.NewPCG(seed, 2))
	loads, waiting, pausedUntil := make([]handover.Load, targets), make([]float64, targets), make([]int, targets)
	slowed := make([]bool, targets)
	rates := make([]handover.Rate, slots/targets)
	for i := range rates {
		rates[i] = handover.Rate{Slot: uint32(i), PerSecond: 1}
	}
	moved := 0
	for tick := range 600 {
		for i := range targets {
			if tick%checkTicks == 0 {
				slowed[i] = random.Float64() < 0.2
			}
			demand := baseLoad
			if slowed[i] {
				demand = 3 * baseLoad
			}
			// Load above the capacity of a tick waits, in units of the concurrent capacity, until the
			// queue is full.
			waiting[i] = min(max(0, waiting[i]+1.5*(demand-1)), 1)
			loads[i] = loads[i].Update(min(demand, 1) + waiting[i])
			loads[i].Generation = wire.Generation(i + 1)
		}
		for i := range targets {
			if tick%checkTicks != 0 || tick < pausedUntil[i] {
				continue
			}
			others := slices.Concat(loads[:i], loads[i+1:])
			if moves := policy(loads[i], rates, others); len(moves) > 0 {
				moved += len(moves)
				pausedUntil[i] = tick + pauseTicks
			}
		}
	}
	return moved
}

// TestPlanReliefNoise checks that slots are not moved when targets are slowed by their
// neighbors for a moment each: each move has a cost for the callers of the slot, and the
// target recovers before the slot has changed owners. The former policy, with one mean over
// 0.7 s, moved slots all the time.
func TestPlanReliefNoise(t *testing.T) {
	formerPolicy := func(own handover.Load, rates []handover.Rate, others []handover.Load) []handover.Move {
		least := math.Inf(1)
		for _, o := range others {
			least = min(least, o.Utilization)
		}
		if own.Utilization < 0.6 || own.Utilization-least < 0.25 {
			return nil
		}
		return make([]handover.Move, int(0.4*(own.Utilization-least)/own.Utilization*float64(len(rates))))
	}
	currentPolicy := func(own handover.Load, rates []handover.Rate, others []handover.Load) []handover.Move {
		return handover.PlanRelief("s", own, rates, others)
	}
	total, baseline := 0, 0
	for seed := range uint64(10) {
		total += replayNoise(seed, currentPolicy)
		baseline += replayNoise(seed, formerPolicy)
	}
	if total*4 > baseline {
		t.Errorf("%d slots moved in ten minutes, %d by the former policy", total, baseline)
	}
	t.Logf("%d slots moved in ten minutes, %d by the former policy", total, baseline)
}

func TestPlanReliefEvenLoad(t *testing.T) {
	for _, tc := range []struct{ own, other float64 }{{0.5, 0}, {0.9, 0.8}, {2, 1.9}} {
		got := handover.PlanRelief("s", handover.Load{Utilization: tc.own, Steady: tc.own}, []handover.Rate{{PerSecond: 1}, {Slot: 1, PerSecond: 1}},
			[]handover.Load{{Generation: 2, Utilization: tc.other, Steady: tc.other}})
		if len(got) > 0 {
			t.Errorf("at utilizations %v and %v: %d moves", tc.own, tc.other, len(got))
		}
	}
}

func TestRates(t *testing.T) {
	r := handover.NewRates()
	now := time.Unix(1000, 0)
	r.Decay(now)
	var last float64
	for range 40 {
		for range 10 {
			r.Observe(7)
		}
		now = now.Add(250 * time.Millisecond)
		for _, rate := range r.Decay(now) {
			last = rate.PerSecond
		}
	}
	if math.Abs(last-40) > 6 {
		t.Errorf("40 requests a second are measured as %.1f", last)
	}
	if got := r.Decay(now.Add(time.Minute)); len(got) > 0 {
		t.Errorf("rates %v a minute after the last request", got)
	}
}
