package control_test

import (
	"testing"
	"time"

	"fulmarrun/control"
	"fulmarrun/wire"
)

// TestScripts repeats scenarios in which faults were found.
func TestScripts(t *testing.T) {
	for _, tc := range []struct {
		name  string
		act   func(w *simulation)
		limit time.Duration
		check func(w *simulation) string
	}{
		{"an old process sees its successor while its lease is valid", func(w *simulation) {
			old := w.procs[0]
			w.displaced = append(w.displaced, old)
			w.start(0)
			w.schedule(200*time.Millisecond, func() {
				old.load(func(rows []wire.Row, timeline uint64) control.Message {
					return control.RowsArrived{Rows: rows, Timeline: timeline}
				})
			})
		}, 6 * time.Second, func(w *simulation) string {
			if w.procs[0].dead {
				return "the successor was closed"
			}
			return ""
		}},
		{"all daemons restart at their addresses", func(w *simulation) {
			for i, p := range w.procs {
				p.dead = true
				w.schedule(w.between(100*time.Millisecond, 500*time.Millisecond), func() { w.start(i) })
			}
		}, 9 * time.Second, nil},
		{"one daemon can send but not receive", func(w *simulation) {
			for i := range w.procs {
				w.cut[[2]int{i, 0}] = i != 0
			}
		}, 9 * time.Second, nil},
		{"one daemon reaches only the table", func(w *simulation) {
			for i := range w.procs {
				w.cut[[2]int{i, 0}], w.cut[[2]int{0, i}] = i != 0, i != 0
			}
		}, 9 * time.Second, nil},
		{"one daemon crashes as soon as its move is written", func(w *simulation) {
			p := w.procs[2]
			w.onMove = func() { p.dead = true }
			p.post(control.LeaveRequested{Reason: "planned"})
		}, 5 * time.Second, func(w *simulation) string {
			if w.stats.Moves == 0 {
				return "nothing was moved"
			}
			return ""
		}},
	} {
		for seed := int64(1); seed <= 2; seed++ {
			w := quiet(seed, 7, control.Faults{})
			w.noRestart = true
			tc.act(w)
			w.runUntil(w.now + 1100*time.Millisecond)
			took := w.untilSettled(t, tc.limit)
			w.runUntil(w.now + 4*time.Second)
			w.untilSettled(t, time.Second)
			t.Logf("%s, seed %d: settled after %v", tc.name, seed, took+1100*time.Millisecond)
			if tc.check != nil && tc.check(w) != "" {
				t.Errorf("%s, seed %d: %s", tc.name, seed, tc.check(w))
			}
		}
	}
}
