package control_test

import (
	"maps"
	"testing"
	"time"

	"fulmarrun/control"
	"fulmarrun/routes"
	"fulmarrun/storage"
)

// tableCopy is the state of the table at a time.
type tableCopy struct {
	at       time.Duration
	revision uint64
	rows     map[storedKey]storage.Row
}

// keepCopy keeps the present state of the table, to which it may be restored.
func (w *simulation) keepCopy() {
	if !w.restores {
		return
	}
	w.copies = append(w.copies, tableCopy{at: w.now, revision: w.revision, rows: maps.Clone(w.rows)})
}

// restore replaces the table by its state at an earlier time. Versions are given out again
// from there.
func (w *simulation) restore(at time.Duration) {
	w.stats.Restores++
	restored := tableCopy{rows: make(map[storedKey]storage.Row)}
	for i, c := range w.copies {
		if c.at > at {
			w.copies = w.copies[:i]
			break
		}
		restored = c
	}
	w.timeline++
	w.revision, w.rows = restored.revision, maps.Clone(restored.rows)
	w.keepCopy()
}

// injectRestores takes the table away for a moment and restores it from a copy. The next
// restore may follow at once, and its copy may be older than the first.
func (w *simulation) injectRestores() {
	if !w.chaos {
		return
	}
	w.storeDown = true
	w.schedule(w.between(20*time.Millisecond, time.Second), func() {
		w.storeDown = false
		w.restore(w.now - w.between(0, 6*time.Second))
	})
	w.reschedule(1200*time.Millisecond, 5*time.Second, w.injectRestores)
}

// TestModelRestores is TestModel with a table that is restored from copies.
func TestModelRestores(t *testing.T) {
	playModel(t, func(s *setup) { s.restores = true })
}

// TestModelRestoresRegressions repeats runs with restores whose seeds have found faults.
func TestModelRestoresRegressions(t *testing.T) {
	for _, tc := range []struct {
		seed int64
		what string
	}{
		{1046, "slots that others had claimed are assigned by a member that knows no rows of slots"},
		{1187, "a write of the earlier timeline that is applied late replaces the row that was claimed by"},
		{1968, "a member is closed for some and open for others, under one version"},
		{5498, "a generation that is closed in the next timeline keeps the claims of the earlier one"},
		{6214, "the row of a member can't be brought up to date, since its base differs"},
		{9258, "a version that marks uncertain rows is also given to others"},
		{12472, "a hand-over that was given up lets requests into slots that the next one hands over"},
		{30973, "closed by witnesses that the row of the copy names, while others renew the lease"},
	} {
		s := randomSetup(tc.seed)
		s.restores = true
		if violation := newSimulation(s).run(); violation != "" {
			t.Errorf("seed %d, %s: %s", tc.seed, tc.what, violation)
		}
	}
}

// TestModelRestoresDetectsMutations breaks one rule at a time and expects a violation. The
// search starts at seed from, at which an earlier search found one.
func TestModelRestoresDetectsMutations(t *testing.T) {
	for _, tc := range []struct {
		name string
		from int64
		core control.Faults
	}{
		{name: "owners by earlier rows need no claim", core: control.Faults{Routes: routes.Faults{IgnoreTimelines: true}}},
		{name: "slots assigned before all earlier owners are settled", from: 392, core: control.Faults{RefoundUnsettled: true}},
		{name: "a generation goes on without a lease", from: 41, core: control.Faults{EnterUnleased: true}},
		{name: "rows read from the copy count as certain", from: 1187, core: control.Faults{TrustCopy: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := max(tc.from, 1); seed < max(tc.from, 1)+*limit; seed++ {
				s := randomSetup(seed)
				s.restores, s.core = true, tc.core
				if violation := newSimulation(s).run(); violation != "" {
					t.Logf("detected with seed %d: %s", seed, violation)
					return
				}
			}
			t.Errorf("not detected in %d runs", *limit)
		})
	}
}
