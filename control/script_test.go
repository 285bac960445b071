package control_test

import (
	"testing"
	"time"

	"fulmarrun/control"
	"fulmarrun/wire"
)

// TestScripts plays what a fault was once found in.
func TestScripts(t *testing.T) {
	for _, tc := range []struct {
		name  string
		act   func(w *world)
		limit time.Duration
		check func(w *world) string
	}{
		{"an old process sees its successor while its lease lives", func(w *world) {
			old := w.procs[0]
			w.ghosts = append(w.ghosts, old)
			w.start(0)
			w.after(200*time.Millisecond, func() {
				old.load(func(rows []wire.Row) control.Message { return control.RowsArrived{Rows: rows} })
			})
		}, 6 * time.Second, func(w *world) string {
			if w.procs[0].dead {
				return "the successor was closed"
			}
			return ""
		}},
		{"all daemons restart at their addresses", func(w *world) {
			for i, p := range w.procs {
				p.dead = true
				w.after(w.between(100*time.Millisecond, 500*time.Millisecond), func() { w.start(i) })
			}
		}, 9 * time.Second, nil},
		{"one is heard and hears nothing", func(w *world) {
			for i := range w.procs {
				w.cut[[2]int{i, 0}] = i != 0
			}
		}, 9 * time.Second, nil},
		{"one hears nothing and has the table", func(w *world) {
			for i := range w.procs {
				w.cut[[2]int{i, 0}], w.cut[[2]int{0, i}] = i != 0, i != 0
			}
		}, 9 * time.Second, nil},
		{"one dies as soon as its move is written", func(w *world) {
			p := w.procs[2]
			w.onMove = func() { p.dead = true }
			p.post(control.LeaveRequested{Reason: "planned"})
		}, 5 * time.Second, func(w *world) string {
			if w.stats.Moves == 0 {
				return "nothing was moved"
			}
			return ""
		}},
	} {
		for seed := int64(1); seed <= 2; seed++ {
			w := quiet(seed, 7, control.Faults{})
			w.ends = true
			tc.act(w)
			w.until(w.now + 1100*time.Millisecond)
			took := w.untilSettled(t, tc.limit)
			w.until(w.now + 4*time.Second)
			w.untilSettled(t, time.Second)
			t.Logf("%s, seed %d: settled after %v", tc.name, seed, took+1100*time.Millisecond)
			if tc.check != nil && tc.check(w) != "" {
				t.Errorf("%s, seed %d: %s", tc.name, seed, tc.check(w))
			}
		}
	}
}
