package control_test

import (
	"slices"
	"testing"

	"fulmarrun/control"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

// TestMoveChecksEpoch checks that a hand-over isn't written if its slot has changed
// since its records were collected, as when a hot key has rejoined the slot with
// records of its own, or if the new owner has closed.
func TestMoveChecksEpoch(t *testing.T) {
	for _, tc := range []struct {
		name     string
		faults   control.Faults
		changed  bool
		newOwner wire.State
		writes   bool
	}{
		{"nothing changed", control.Faults{}, false, wire.StateActive, true},
		{"a key rejoined the slot", control.Faults{}, true, wire.StateActive, false},
		{"a key rejoined the slot, epoch not checked", control.Faults{IgnoreEpoch: true}, true, wire.StateActive, true},
		{"the new owner has closed", control.Faults{}, false, wire.StateClosed, false},
	} {
		core, now := joinedCore(100, control.WithFaults(tc.faults))
		var move control.Move
		core.Step(now, control.ConfigLoaded{
			Number: wire.ConfigNumber{File: 2}, Out: []string{"0"}, Services: []control.ServiceLayout{{Name: serviceOf(0), Slots: 8192}},
		})
		for range 40 {
			now = now.Add(control.TickInterval)
			for _, e := range driveTick(core, now) {
				if m, ok := e.(control.Move); ok {
					move = m
				}
			}
		}
		if len(move.Moves) == 0 {
			t.Fatalf("%s: no move", tc.name)
		}
		for _, row := range fleet(100) {
			var slots wire.Slots
			if tc.changed && row.Key == routes.SlotsKey(serviceOf(0), move.FirstSlot) && wire.Decode(row.Value, &slots) == nil {
				slots.Slots[0].Epoch, slots.Slots[0].TransferID = 2, 7
				slots.Revision++
				row.Value, _ = wire.Encode(&slots)
				row.Version = 1 << 38
				core.Step(now, control.RowsArrived{From: 2, Rows: []wire.Row{row}})
			}
		}
		newOwner := memberOf(int(move.Moves[0].To)-1, 100)
		newOwner.State = tc.newOwner
		value, _ := wire.Encode(&newOwner)
		core.Step(now, control.RowsArrived{From: 2, Rows: []wire.Row{
			{Key: routes.MemberKey(newOwner.Generation), Version: 1 << 39, Value: value},
		}})
		writes := slices.ContainsFunc(core.Step(now, control.MoveReady{Move: move}), func(e control.Effect) bool {
			w, ok := e.(control.Write)
			return ok && w.Purpose == control.PurposeMove
		})
		if writes != tc.writes {
			t.Errorf("%s: the move was written: %t", tc.name, writes)
		}
	}
}
