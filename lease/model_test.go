package lease_test

import (
	"flag"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fulmarrun/lease"
)

var maxRuns = flag.Int("lease.limit", 400, "maximum number of runs per injected fault before it counts as undetected")

var modelRuns = flag.Int("lease.seeds", 30, "number of random runs of the model")

func TestModel(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = *modelRuns
	parameters.MaxShrinkCount = 0
	properties := gopter.NewProperties(parameters)
	var total stats
	properties.Property("at most one owner", prop.ForAll(func(seed int64) string {
		w := newWorld(seed, lease.Faults{}, daemonFaults{}, nil)
		violation := w.run(recoveryPhase)
		total.add(w)
		return violation
	}, gen.Int64()))
	properties.TestingRun(t)
	t.Logf("%+v", total)
}

func (s *stats) add(w *world) {
	s.runs++
	s.steps += w.stats.steps
	s.takeovers += w.stats.takeovers
	s.marked += w.stats.marked
	s.changes += w.stats.changes
	s.moves += w.stats.moves
	s.crashes += w.stats.crashes
	s.pauses += w.stats.pauses
	s.outages += w.stats.outages
	s.unrecoverable += w.stats.unrecoverable
	if w.ownedAt == 0 {
		s.stuck++
	} else if d := w.ownedAt - faultPhase; d > s.slowest {
		s.slowest = d
	}
}

// TestModelDetectsFaults injects one fault at a time and checks that the oracle detects
// it. The search starts at firstSeed, where a search from zero detected the fault.
func TestModelDetectsFaults(t *testing.T) {
	for _, tc := range []struct {
		name         string
		firstSeed    int64
		script       *script
		lease        lease.Faults
		daemonFaults daemonFaults
	}{
		{name: "lease counted from the answer", firstSeed: 181, lease: lease.Faults{CountFromAnswer: true}},
		{name: "votes do not bind the witness", lease: lease.Faults{VotesDontBind: true}},
		{name: "only the new majority during a change", firstSeed: 47, lease: lease.Faults{OnlyNewSet: true}},
		{name: "one vote too few", firstSeed: 306, lease: lease.Faults{FewVotes: true}},
		{name: "closing not conditional on the version of the row", firstSeed: 95, lease: lease.Faults{AnyVersion: true}},
		{name: "late reply to an earlier read accepted", firstSeed: 37, daemonFaults: daemonFaults{acceptOlderRows: true}},
		{name: "time read before the heartbeat arrived", firstSeed: 30, daemonFaults: daemonFaults{readClockEarly: true}, script: shortPauseScript()},
		{name: "lease not checked again after a pause", daemonFaults: daemonFaults{cacheLeaseCheck: true}},
		{name: "closed witness counted at once", lease: lease.Faults{ClosedAtOnce: true}, script: closedWitnessScript()},
		{name: "marked answers renew the lease", lease: lease.Faults{CountMarked: true}, script: closedWitnessScript()},
		{name: "any closed witness counted", lease: lease.Faults{AnyClosed: true}, script: closedByClosedScript()},
		{name: "move not conditional on the row of the mover", daemonFaults: daemonFaults{unconditionalMoves: true}, script: lateMoveScript()},
		{name: "heir uses a slot row read before the closing", daemonFaults: daemonFaults{useStaleSlot: true}, script: unseenMoveScript()},
		{name: "no margin for clock drift", daemonFaults: daemonFaults{noMargin: true}, script: partitionScript()},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := tc.firstSeed; seed < tc.firstSeed+int64(*maxRuns); seed++ {
				if violation := newWorld(seed, tc.lease, tc.daemonFaults, tc.script).run(shortRecoveryPhase); violation != "" {
					t.Logf("%s: detected with seed %d: %s", tc.name, seed, violation)
					return
				}
			}
			t.Errorf("fault not detected in %d runs", *maxRuns)
		})
	}
}

// TestModelScripts runs the scripts without an injected fault.
func TestModelScripts(t *testing.T) {
	for i, s := range []*script{closedWitnessScript(), closedByClosedScript(), lateMoveScript(), unseenMoveScript(), partitionScript(), shortPauseScript()} {
		for seed := range int64(3) {
			w := newWorld(seed, lease.Faults{}, daemonFaults{}, s)
			if violation := w.run(shortRecoveryPhase); violation != "" {
				t.Errorf("script %d, seed %d: %s", i, seed, violation)
			}
			if w.procs[1].slotVersion == 0 {
				t.Errorf("script %d, seed %d: the key was never claimed", i, seed)
			}
		}
	}
}

// TestModelNetworkFreeze checks that a short loss of all traffic during an outage of the
// table closes no generation, and that the owner then continues without the table.
func TestModelNetworkFreeze(t *testing.T) {
	for seed := range int64(3) {
		w := newWorld(seed, lease.Faults{}, daemonFaults{}, networkFreezeScript())
		expired := false
		w.schedule(5*time.Second, func() { expired = !w.procs[0].owns() })
		if violation := w.run(shortRecoveryPhase); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
		if !expired || !w.procs[0].owns() || w.lastGeneration != daemons || w.stats.takeovers > 0 {
			t.Errorf("seed %d: lease expired %v, owns again %v, %d takeovers", seed, expired, w.procs[0].owns(), w.stats.takeovers)
		}
	}
}

// TestModelColdStart checks that a new set of daemons gets an owner, and that it would
// get none if a witness needed a valid lease of its own to renew others.
func TestModelColdStart(t *testing.T) {
	for _, requireValidLease := range []bool{false, true} {
		w := newWorld(1, lease.Faults{}, daemonFaults{requireValidLease: requireValidLease}, nil)
		w.randomFaults = false
		w.runUntil(faultPhase + shortRecoveryPhase)
		if owned := w.ownedAt > 0; owned == requireValidLease {
			t.Errorf("witnesses need a valid lease: %v, but owned: %v", requireValidLease, owned)
		}
	}
}
