package control_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"fulmarrun/control"
	"fulmarrun/handover"
	"fulmarrun/lease"
	"fulmarrun/routes"
)

var (
	seeds  = flag.Int("control.seeds", 10, "number of random runs of the model")
	limit  = flag.Int64("control.limit", 400, "runs after which a mutation counts as not detected")
	losses = flag.Int("control.losses", 4, "number of runs of each kind of loss")
	from   = flag.Int64("control.from", 1, "first seed of the model")
)

func (s *stats) add(o stats) {
	s.Runs++
	s.Steps += o.Steps
	s.Takeovers += o.Takeovers
	s.Moves += o.Moves
	s.Crashes += o.Crashes
	s.Pauses += o.Pauses
	s.Outages += o.Outages
	s.Leaves += o.Leaves
	s.DomainOuts += o.DomainOuts
	s.Displaced += o.Displaced
	s.Restores += o.Restores
	s.Requests += o.Requests
	s.Writes += o.Writes
	s.Reads += o.Reads
	s.Staged += o.Staged
	s.Settled = append(s.Settled, o.Settled...)
}

// randomSetup derives the parameters of a run from its seed.
func randomSetup(seed int64) setup {
	s := setup{seed: seed, daemons: 5 + int(seed%3)*2, domains: 3}
	if seed%4 == 0 {
		s.retain = 2 * time.Second
	}
	return s
}

func TestModel(t *testing.T) { playModel(t, func(*setup) {}) }

// playModel plays the runs that the flags name, each with an altered setup.
func playModel(t *testing.T, alter func(s *setup)) {
	t.Helper()
	var total stats
	for seed := *from; seed < *from+int64(*seeds); seed++ {
		s := randomSetup(seed)
		alter(&s)
		w := newSimulation(s)
		if seed == *trace {
			w.traceTo(func(line string) { t.Log(line) })
		}
		if violation := w.run(); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
		total.add(w.stats)
	}
	slices.Sort(total.Settled)
	if n := len(total.Settled); n > 0 {
		t.Logf("settled after: median %v, 99%% %v, most %v", total.Settled[n/2], total.Settled[n*99/100], total.Settled[n-1])
	}
	total.Settled = nil
	t.Logf("%+v", total)
}

// TestModelRegressions repeats runs whose seeds have found faults.
func TestModelRegressions(t *testing.T) {
	for _, tc := range []struct {
		seed int64
		what string
	}{
		{1176, "rows of closed witnesses deleted while an open generation names them"},
		{1640, "rows of closed witnesses deleted, found with an earlier version of the code"},
		{1260, "a process that runs beside its successor joins after it and ends, and its row stays open"},
	} {
		if violation := newSimulation(randomSetup(tc.seed)).run(); violation != "" {
			t.Errorf("seed %d, %s: %s", tc.seed, tc.what, violation)
		}
	}
}

// TestModelModulo checks the invariants with the baseline plan.
func TestModelModulo(t *testing.T) {
	for seed := *from; seed < *from+int64(*seeds)/3; seed++ {
		s := randomSetup(seed)
		s.plan = handover.PlanModulo
		w := newSimulation(s)
		if violation := w.run(); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
		t.Logf("seed %d: %d moves", seed, w.stats.Moves)
	}
}

// TestModelDetectsMutations breaks one rule at a time and expects the simulation to
// report a violation. The search starts at seed from, which is the seed at which an
// earlier search, started at a lower seed, found the violation.
func TestModelDetectsMutations(t *testing.T) {
	for _, tc := range []struct {
		name        string
		from        int64
		core        control.Faults
		lease       lease.Faults
		shellFaults shellFaults
	}{
		{name: "slots resolved to heirs from a row older than the last hand-over", from: 362, core: control.Faults{Routes: routes.Faults{IgnoreReleases: true}}},
		{name: "move not conditional on the previous owner's row", from: 173, core: control.Faults{UnguardedMove: true}},
		{name: "predecessor closed at once", core: control.Faults{NoPredecessorWait: true}},
		{name: "records of another hand-over accepted", from: 98, shellFaults: shellFaults{anyTransfer: true}},
		{name: "served before the records are in place", shellFaults: shellFaults{publishFirst: true}},
		{name: "served while it is handed over", shellFaults: shellFaults{serveFrozen: true}},
		{name: "lease counted from the answer", lease: lease.Faults{CountFromAnswer: true}},
		{name: "votes are not binding", lease: lease.Faults{VotesDontBind: true}},
		{name: "only the new majority during a change", lease: lease.Faults{OnlyNewSet: true}},
		{name: "closing not conditional on the row as read", lease: lease.Faults{AnyVersion: true}},
		{name: "closed witness counted at once", from: 459, lease: lease.Faults{ClosedAtOnce: true}},
		{name: "marked answers renew the lease", from: 278, lease: lease.Faults{CountMarked: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := max(tc.from, 1); seed < max(tc.from, 1)+*limit; seed++ {
				s := randomSetup(seed)
				s.core, s.lease, s.shellFaults = tc.core, tc.lease, tc.shellFaults
				if violation := newSimulation(s).run(); violation != "" {
					t.Logf("detected with seed %d: %s", seed, violation)
					return
				}
			}
			t.Errorf("not detected in %d runs", *limit)
		})
	}
}

// quiet returns a run without random faults, in which all daemons have started.
func quiet(seed int64, daemons int, core control.Faults) *simulation {
	w := newSimulation(setup{seed: seed, daemons: daemons, domains: 3, quiet: true, core: core})
	w.runUntil(8 * time.Second)
	return w
}

// untilSettled runs the simulation until all slots are served, and returns how long
// that took.
func (w *simulation) untilSettled(t *testing.T, limit time.Duration) time.Duration {
	t.Helper()
	start := w.now
	for w.now < start+limit && w.violation == "" {
		if w.settled() {
			return w.now - start
		}
		w.runUntil(w.now + 10*time.Millisecond)
	}
	t.Errorf("seed %d: not settled within %v: %s %s", w.seed, limit, w.unsettledReason(), w.violation)
	return limit
}

// TestLoss stops daemons at once and measures how long their slots have no owner.
func TestLoss(t *testing.T) {
	for _, tc := range []struct {
		name         string
		remoteDomain bool
		lose         func(w *simulation) func(p *process) bool
	}{
		{"one daemon", false, func(w *simulation) func(p *process) bool {
			i := w.rng.IntN(len(w.procs))
			return func(p *process) bool { return p.index == i }
		}},
		{"one failure domain of three", false, func(w *simulation) func(p *process) bool {
			domain := w.domain(w.rng.IntN(3))
			return func(p *process) bool { return p.self.Domain == domain }
		}},
		{"one failure domain of a region's two", true, func(w *simulation) func(p *process) bool {
			domain := w.domain(w.rng.IntN(2))
			return func(p *process) bool { return p.self.Domain == domain }
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var took []time.Duration
			for seed := int64(1); seed <= int64(*losses); seed++ {
				w := newSimulation(setup{seed: seed, daemons: 9, domains: 3, remoteDomain: tc.remoteDomain, quiet: true})
				w.runUntil(8*time.Second + w.between(0, time.Second))
				lost := tc.lose(w)
				if *trace == seed {
					w.trace = func(format string, args ...any) { fmt.Printf("%v "+format+"\n", append([]any{w.now}, args...)...) }
				}
				for _, p := range w.procs {
					p.dead = p.dead || lost(p)
				}
				took = append(took, w.untilSettled(t, 2*time.Second))
			}
			slices.Sort(took)
			t.Logf("without an owner: median %v, 99%% %v, most %v", took[len(took)/2], took[len(took)*99/100], took[len(took)-1])
		})
	}
}

// TestRegionsCut disconnects a region with two failure domains from the other
// region. Both must continue to serve with few writes, and the daemons must have
// witnesses in the other region again after the links have recovered.
func TestRegionsCut(t *testing.T) {
	const daemons, cut, recovery = 9, 2 * time.Minute, 70 * time.Second
	w := newSimulation(setup{seed: 1, daemons: daemons, domains: 3, remoteDomain: true, quiet: true})
	w.runUntil(8 * time.Second)
	remoteWitnesses := func() (n int) {
		for _, p := range w.alive() {
			for _, g := range p.core.Self().Witnesses {
				if m := w.view().Member(g); m != nil && p.self.Region == "r" && m.Region != "r" {
					n++
				}
			}
		}
		return n
	}
	before := remoteWitnesses()
	writesBefore := w.stats.Writes
	for i := range daemons {
		for j := range daemons {
			w.cut[[2]int{i, j}] = w.region(i) != w.region(j)
		}
	}
	for end := w.now + cut; w.now < end; w.runUntil(w.now + 50*time.Millisecond) {
		if !w.settled() {
			t.Fatalf("at %v: %s", w.now, w.unsettledReason())
		}
	}
	t.Logf("%d writes by %d daemons in %v", w.stats.Writes-writesBefore, daemons, cut)
	if most := daemons * 2 * int(cut/time.Minute+1); w.stats.Writes-writesBefore > most {
		t.Errorf("%d writes while the regions were disconnected, more than %d", w.stats.Writes-writesBefore, most)
	}
	clear(w.cut)
	w.runUntil(w.now + recovery)
	if w.stats.Takeovers != 0 || w.violation != "" || !w.settled() || remoteWitnesses() != before || before != 6 {
		t.Errorf("%d takeovers, %s, %d witnesses in the other region before, %d after", w.stats.Takeovers, w.violation, before, remoteWitnesses())
	}
}

// TestChurn counts the slots that are handed over when daemons join or leave and
// when a failure domain is taken out or put back.
func TestChurn(t *testing.T) {
	owners := func(w *simulation) map[uint32]string {
		out := make(map[uint32]string)
		for _, p := range w.alive() {
			for slot := range p.serving() {
				out[slot] = p.self.Instance
			}
		}
		return out
	}
	for _, tc := range []struct {
		name  string
		start int
		act   func(w *simulation)
		back  bool
		needs func(before map[uint32]string) int
	}{
		{"nothing", 8, func(*simulation) {}, false, func(map[uint32]string) int { return 0 }},
		{"join of a ninth", 8, func(w *simulation) {
			w.procs = append(w.procs, nil)
			w.start(8)
		}, false, func(map[uint32]string) int { return slotCount / 9 }},
		{"leave", 8, func(w *simulation) {
			w.procs[3].post(control.LeaveRequested{Reason: "planned"})
		}, false, func(before map[uint32]string) int { return countOwned(before, "3") }},
		{
			"domain out", 9, func(w *simulation) { w.setDomainOut(true, "a") }, false,
			func(before map[uint32]string) int {
				return countOwned(before, "0") + countOwned(before, "3") + countOwned(before, "6")
			},
		},
		{
			"domain back", 9, func(w *simulation) { w.setDomainOut(false, "a") }, true,
			func(map[uint32]string) int { return slotCount / 9 * 3 },
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := quiet(7, tc.start, control.Faults{})
			if tc.back {
				w.setDomainOut(true, "a")
				w.runUntil(w.now + 6*time.Second)
			}
			w.noRestart = true
			before := owners(w)
			moves, takeovers := w.stats.Moves, w.stats.Takeovers
			tc.act(w)
			w.runUntil(w.now + 8*time.Second)
			needed, made := tc.needs(before), w.stats.Moves-moves
			t.Logf("%d slots had to move, %d moved", needed, made)
			if w.violation != "" || made != needed || w.stats.Takeovers != takeovers || len(owners(w)) != slotCount {
				t.Errorf("%d slots moved, %d had to; %d takeovers; %s", made, needed, w.stats.Takeovers-takeovers, w.violation)
			}
		})
	}
}

func countOwned(owners map[uint32]string, instance string) int {
	n := 0
	for _, o := range owners {
		if o == instance {
			n++
		}
	}
	return n
}

// TestConcurrentJoin starts daemons that have all read the table before any of them
// has written to it. Without another read after the join, they don't learn of one
// another.
func TestConcurrentJoin(t *testing.T) {
	for _, tc := range []struct {
		name    string
		faults  control.Faults
		settles bool
	}{
		{"rows read again", control.Faults{}, true},
		{"rows not read again after joining", control.Faults{NoReload: true}, false},
	} {
		w := newSimulation(setup{seed: 1, daemons: 4, domains: 3, quiet: true, core: tc.faults})
		w.queue = nil
		for i := range w.procs {
			w.start(i)
		}
		w.runUntil(8 * time.Second)
		if w.settled() != tc.settles {
			t.Errorf("%s: %s", tc.name, w.unsettledReason())
		}
	}
}
