// Package handover decides which slots a daemon moves to which other daemon, and blocks
// requests to a slot while its owner changes.
//
// # Moves
//
// Each owner computes its own moves from the shared rows: every member of a service
// should own an equal share of the slots, a member that leaves or whose failure domain
// is out of service should own none, and nothing else moves. All daemons with the same
// rows compute the same plan, so that no coordination is needed.
//
// # Admission to a slot
//
// Units counts the running requests of each slot. Freeze stops admission to a slot;
// requests that arrive meanwhile wait for Unfreeze and are then routed again.
//
// # State transferred with a unit
//
// Holdings.Update returns which units an owner has gained since the previous snapshot.
// Staging stores the records that the previous owner sent until ownership of the unit
// arrives, under the ID of the handover. They are used only if ownership arrives by the
// handover with the same ID.
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
