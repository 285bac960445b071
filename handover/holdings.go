package handover

import (
	"fulmarrun/outcome"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

// Holding is how a generation owns one unit.
type Holding struct {
	Epoch uint64
	// Transfer names the hand-over that it came by; zero if there was none.
	Transfer uint64
}

// GainedUnit is a unit that is new to its owner, or comes anew.
type GainedUnit struct {
	Unit outcome.Unit
	Holding
}

// Holdings are the units that a generation owns, as of its last snapshot.
type Holdings map[outcome.Unit]Holding

// Update brings the holdings in line with a snapshot and returns the difference.
// A unit that is held already is gained again if it went away and came back
// between two snapshots, or if a hot key rejoined it with its records.
func (h Holdings) Update(s *routes.Snapshot, service string, self wire.Generation) (gained []GainedUnit, lost []outcome.Unit) {
	present := make(Holdings, len(h))
	for e := range s.Assignments(service) {
		if e.Owner == nil || e.Owner.Generation != self {
			continue
		}
		unit, now := unitOf(service, e), Holding{Epoch: e.Epoch, Transfer: e.TransferID}
		present[unit] = now
		if before, held := h[unit]; !held || before != now {
			gained = append(gained, GainedUnit{Unit: unit, Holding: now})
		}
		h[unit] = now
	}
	for unit := range h {
		if _, still := present[unit]; !still {
			lost = append(lost, unit)
			delete(h, unit)
		}
	}
	return gained, lost
}

func unitOf(service string, e routes.Assignment) outcome.Unit {
	if e.Key != "" {
		return outcome.Unit{Service: service, HotKey: e.Key}
	}
	return outcome.Unit{Service: service, Slot: e.Slot}
}
