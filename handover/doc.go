// Package handover decides which slots a daemon gives to which other, and keeps
// requests out of a slot while it changes hands.
//
// # Moves
//
// Each owner works out its own moves from the shared rows: every member of a
// service should own an equal share of the slots, a member that leaves or whose
// failure domain is out should own none, and nothing else moves. All daemons
// with the same rows work out the same plan, so no daemon has to be asked.
//
// # Admission to a slot
//
// Units counts the requests that run in each slot. Freeze stops admission to it;
// those who come meanwhile wait for Thaw and are then routed again.
//
// # What comes with a unit
//
// Holdings tells which units are new to an owner. Staging keeps the records that
// the last owner handed over until the unit follows, under the name of that very
// hand-over.
//
// # Usage
//
//	moves := handover.Plan(snapshot, "agenda", eligible, self)
//
//	wait := units.Enter(unit)
//	if wait != nil {
//		<-wait // the slot moves; route again
//	}
//	defer units.Leave(unit)
package handover
