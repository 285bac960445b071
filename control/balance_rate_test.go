package control_test

import (
	"fmt"
	"testing"
	"time"

	"fulmarrun/control"
	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

// TestBalanceRate doubles the members of a service, so that each old member must
// hand over slots of several rows, and checks the time between its moves.
func TestBalanceRate(t *testing.T) {
	for _, tc := range []struct {
		members        int
		minGap, maxGap time.Duration
	}{
		// Moves of few members are not paced.
		{20, 0, 500 * time.Millisecond},
		// All members together make 100 moves a second.
		{100, 2 * time.Second, 2500 * time.Millisecond},
	} {
		core, now := joinedCore(tc.members)
		rows := make([]wire.Row, 0, tc.members)
		for i := range tc.members {
			m := memberOf(i, tc.members)
			m.Generation += 1000
			m.Instance = fmt.Sprint("new-", i)
			value, _ := wire.Encode(&m)
			rows = append(rows, wire.Row{Key: routes.MemberKey(m.Generation), Version: 1, Value: value})
		}
		core.Step(now, control.RowsArrived{From: 2, Rows: rows})
		var at []time.Time
		for range 400 {
			now = now.Add(control.TickInterval)
			for _, e := range driveTick(core, now) {
				if m, ok := e.(control.Move); ok {
					at = append(at, now)
					applyMove(core, now, m)
				}
			}
		}
		if len(at) < 2 {
			t.Fatalf("%d members: %d moves", tc.members, len(at))
		}
		for i := range at[1:] {
			if gap := at[i+1].Sub(at[i]); gap < tc.minGap || gap > tc.maxGap {
				t.Errorf("%d members: %v between two moves", tc.members, gap)
			}
		}
	}
}

// applyMove carries a move out.
func applyMove(core *control.Core, now time.Time, m control.Move) {
	for _, e := range core.Step(now, control.MoveReady{Move: m}) {
		w, ok := e.(control.Write)
		if !ok {
			continue
		}
		done := control.WriteDone{Write: w, Applied: true}
		for i, row := range w.Transaction.Writes {
			done.Rows = append(done.Rows, storage.Row{
				Key: row.Key, Version: w.Transaction.Conditions[i].Version + 1, Value: row.Value,
			})
		}
		core.Step(now, done)
	}
}
