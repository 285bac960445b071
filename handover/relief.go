package handover

import (
	"cmp"
	"slices"
	"time"

	"fulmarrun/wire"
)

const (
	// overloadThreshold is the recent utilization from which a target is relieved: requests
	// queue in front of it. A target that is slowed for a moment by its neighbors on the machine
	// is merely busy, and recovers before its keys would have changed owners.
	overloadThreshold = 1.5
	// overloadDifference is how much lower the recent utilization of the receiver must be.
	overloadDifference = 0.7
	// steadyThreshold and steadyDifference are the same limits for the steady utilization,
	// which is a mean over some seconds.
	steadyThreshold  = 0.7
	steadyDifference = 0.3
	// reliefFraction is the fraction of the load difference that is moved at once: the same
	// receiver may relieve other members at the same time.
	reliefFraction = 0.4
	// maxReliefMoves is the maximum number of slots that are moved at once.
	maxReliefMoves = 64
)

// Load is the load of a member's target.
type Load struct {
	Generation wire.Generation
	// Utilization is a mean over about 0.7 s of its running and queued requests, as a share of
	// what it runs concurrently. Steady is the same over about 8 s.
	Utilization float64
	Steady      float64
}

// LoadSampleInterval is the interval at which the load of a target is sampled.
const LoadSampleInterval = 100 * time.Millisecond

// recentWeight and steadyWeight are the weights of one sample in the two moving averages,
// which cover about 0.7 s and 8 s.
const (
	recentWeight = 0.15
	steadyWeight = 0.0125
)

// Update returns the load after another sample. The zero Load is that of an idle target.
func (l Load) Update(utilization float64) Load {
	l.Utilization += (utilization - l.Utilization) * recentWeight
	l.Steady += (utilization - l.Steady) * steadyWeight
	return l
}

// exceedsRecent and exceedsSteady report whether l is overloaded and exceeds other by far,
// by the recent and by the steady utilization.
func (l Load) exceedsRecent(other Load) bool {
	return l.Utilization >= overloadThreshold && l.Utilization-other.Utilization >= overloadDifference
}

func (l Load) exceedsSteady(other Load) bool {
	return l.Steady >= steadyThreshold && l.Steady-other.Steady >= steadyDifference
}

// Rate is the number of requests per second to a slot.
type Rate struct {
	Slot      uint32
	PerSecond float64
}

// Overloaded reports whether a member has so much load that PlanRelief may move slots.
func Overloaded(own Load) bool {
	return own.Utilization >= overloadThreshold || own.Steady >= steadyThreshold
}

// PlanRelief returns the moves by which an overloaded owner gives part of its load to the
// least loaded of the others. It handles two kinds of load: one that suddenly hits few
// slots, such as adjacent keys that become busy together, and one that is spread equally
// over targets of unequal speed. The first shows at once as queued requests, the second
// only over some seconds: in between it can't be distinguished from the noise of other work
// on the machine, and moving a slot has a cost for its callers. A slot with more load than
// is to be moved stays, and others are moved instead.
func PlanRelief(service string, own Load, rates []Rate, others []Load) []Move {
	if !Overloaded(own) || len(others) == 0 {
		return nil
	}
	measure := func(l Load) float64 { return l.Utilization }
	to := leastLoaded(others, measure)
	if !own.exceedsRecent(to) {
		measure = func(l Load) float64 { return l.Steady }
		if to = leastLoaded(others, measure); !own.exceedsSteady(to) {
			return nil
		}
	}
	difference := measure(own) - measure(to)
	total := 0.0
	for _, r := range rates {
		total += r.PerSecond
	}
	if total == 0 {
		return nil
	}
	// Moved load leaves this target and is added to the other one.
	goal := total * reliefFraction * difference / measure(own)
	rates = slices.Clone(rates)
	slices.SortFunc(rates, func(a, b Rate) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Slot, b.Slot))
	})
	var moves []Move
	for _, r := range rates {
		if r.PerSecond == 0 || len(moves) == maxReliefMoves {
			break
		}
		if r.PerSecond <= goal {
			goal -= r.PerSecond
			moves = append(moves, Move{Service: service, Slot: r.Slot, To: to.Generation})
		}
	}
	return moves
}

// leastLoaded returns the load with the lowest value of measure.
func leastLoaded(loads []Load, measure func(Load) float64) Load {
	return slices.MinFunc(loads, func(a, b Load) int { return cmp.Compare(measure(a), measure(b)) })
}
