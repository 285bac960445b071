package handover

import (
	"fulmarrun/outcome"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

// Holding describes how a generation owns one unit.
type Holding struct {
	Epoch uint64
	// TransferID is the ID of the handover by which the unit was gained; zero if there was none.
	TransferID uint64
}

// GainedUnit is a unit that is new to its owner or was gained again.
type GainedUnit struct {
	Unit outcome.Unit
	Holding
}

// Holdings are the units that a generation owns, as of the last snapshot.
type Holdings map[outcome.Unit]Holding

// Update updates the holdings to a snapshot and returns the difference. A unit that is
// already owned is gained again if it was lost and regained between two snapshots, or if
// a hot key with its records was merged back into it.
func (h Holdings) Update(s *routes.Snapshot, service string, self wire.Generation) (gained []GainedUnit, lost []outcome.Unit) {
	current := make(Holdings, len(h))
	for e := range s.Assignments(service) {
		if e.Owner == nil || e.Owner.Generation != self {
			continue
		}
		unit, holding := unitOf(service, e), Holding{Epoch: e.Epoch, TransferID: e.TransferID}
		current[unit] = holding
		if previous, exists := h[unit]; !exists || previous != holding {
			gained = append(gained, GainedUnit{Unit: unit, Holding: holding})
		}
		h[unit] = holding
	}
	for unit := range h {
		if _, present := current[unit]; !present {
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
