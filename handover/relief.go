package handover

import (
	"cmp"
	"slices"
	"time"

	"fulmarrun/wire"
)

const (
	// suddenFrom is the utilization of late from which on a target is relieved: work waits
	// in front of it. One that its neighbours slow for a moment is busy, and well again
	// before its keys would have changed hands.
	suddenFrom = 1.5
	// suddenBy is by how much another must be less utilized then.
	suddenBy = 0.7
	// steadyFrom and steadyBy are the same for the utilization over some seconds.
	steadyFrom = 0.7
	steadyBy   = 0.3
	// reliefPart is the part of the difference that is moved at once: others may be
	// relieved by the same member at the same moment.
	reliefPart = 0.4
	// reliefMost is how many slots are moved at once.
	reliefMost = 64
)

// Load is how busy the target of a member is.
type Load struct {
	Generation wire.Generation
	// Utilization is what it has had to do of late, queue included, as a share of what it
	// runs at once, and Steady the same over some seconds.
	Utilization float64
	Steady      float64
}

// LoadSampleInterval is how often the load of a target is looked at.
const LoadSampleInterval = 100 * time.Millisecond

// lateWeight and steadyWeight are the parts that one look has in the two means: those of
// about 0.7 and 8 s.
const (
	lateWeight   = 0.15
	steadyWeight = 0.0125
)

// Update returns the load after one more look at the target. The zero Load is that of a
// target which has had nothing to do.
func (l Load) Update(utilization float64) Load {
	l.Utilization += (utilization - l.Utilization) * lateWeight
	l.Steady += (utilization - l.Steady) * steadyWeight
	return l
}

// sudden and steady are the loads of which the first is much above the second.
func (l Load) sudden(other Load) bool {
	return l.Utilization >= suddenFrom && l.Utilization-other.Utilization >= suddenBy
}

func (l Load) steady(other Load) bool {
	return l.Steady >= steadyFrom && l.Steady-other.Steady >= steadyBy
}

// Rate is how many requests a slot gets in a second.
type Rate struct {
	Slot      uint32
	PerSecond float64
}

// Overloaded tells whether a member has so much to do that relief is looked for.
func Overloaded(own Load) bool { return own.Utilization >= suddenFrom || own.Steady >= steadyFrom }

// PlanRelief returns the moves by which a busy owner gives some of its load to the least
// busy of the others. It answers two loads: one that falls on few slots at once, such as
// keys close to each other that become busy together, and one that targets of unequal
// speed share alike. The first shows at once, as work that waits, the second over some
// seconds: in between it can't be told from the noise of other work on the machine, and a
// slot that moves costs those who ask for it. A slot that has more load than is to be
// moved stays, and others go in its place.
func PlanRelief(service string, own Load, rates []Rate, others []Load) []Move {
	if !Overloaded(own) || len(others) == 0 {
		return nil
	}
	measure := func(l Load) float64 { return l.Utilization }
	to := least(others, measure)
	if !own.sudden(to) {
		measure = func(l Load) float64 { return l.Steady }
		if to = least(others, measure); !own.steady(to) {
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
	// The load that leaves here arrives there.
	goal := total * reliefPart * difference / measure(own)
	rates = slices.Clone(rates)
	slices.SortFunc(rates, func(a, b Rate) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Slot, b.Slot))
	})
	var moves []Move
	for _, r := range rates {
		if r.PerSecond == 0 || len(moves) == reliefMost {
			break
		}
		if r.PerSecond <= goal {
			goal -= r.PerSecond
			moves = append(moves, Move{Service: service, Slot: r.Slot, To: to.Generation})
		}
	}
	return moves
}

// least returns the least busy by a measure.
func least(loads []Load, measure func(Load) float64) Load {
	return slices.MinFunc(loads, func(a, b Load) int { return cmp.Compare(measure(a), measure(b)) })
}
