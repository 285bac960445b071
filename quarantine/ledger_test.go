package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fulmarrun/quarantine"
	"fulmarrun/wire"
)

var start = time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)

func fingerprintOf(path string) wire.Fingerprint { return quarantine.NewFingerprint([]byte(path)) }

// event is one thing that a ledger learns about the request "x".
type event struct {
	at time.Duration
	// process is the process that ends with the request at work; empty if a target answers it.
	process string
}

func play(events []event) *quarantine.Ledger {
	l := quarantine.NewLedger()
	for _, e := range events {
		if e.process == "" {
			l.Answered(start.Add(e.at), fingerprintOf("x"))
			continue
		}
		l.Accuse(start.Add(e.at), e.process, []wire.Fingerprint{fingerprintOf("x")}, nil)
	}
	return l
}

func TestVerdict(t *testing.T) {
	const second, minute = time.Second, time.Minute
	three := []event{{0, "a/1"}, {second, "b/1"}, {2 * second, "c/1"}}
	four := append(append([]event{}, three...), event{6 * minute, "a/2"})
	for _, tc := range []struct {
		name    string
		events  []event
		at      time.Duration
		crashes int
		until   time.Duration
	}{
		{"nothing known", nil, 0, 0, 0},
		{"two processes", three[:2], 2 * second, 2, 0},
		{"three processes", three, 3 * second, 3, 5*minute + 2*second},
		{"one process, reported three times", []event{{0, "a/1"}, {second, "a/1"}, {2 * second, "a/1"}}, 3 * second, 1, 0},
		{"answered in between", []event{{0, "a/1"}, {second, "b/1"}, {2 * second, ""}, {13 * second, "c/1"}}, 14 * second, 1, 0},
		{"answered just before, as a popular request is", append([]event{{-second, ""}}, three...), 3 * second, 0, 0},
		{"answered long before", append([]event{{-time.Hour, ""}}, three...), 3 * second, 3, 5*minute + 2*second},
		{"answered while shut out", append(append([]event{}, three...), event{3 * second, ""}), 4 * second, 0, 0},
		{"the term is over", three, 5*minute + 2*second, 3, 0},
		{"one more crash after the term", four, 7 * minute, 4, 16 * minute},
		{"forgotten", three, 15*minute + 3*second, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := play(tc.events)
			l.Expire(start.Add(tc.at))
			v := l.Verdict(start.Add(tc.at), fingerprintOf("x"))
			var until time.Time
			if tc.until > 0 {
				until = start.Add(tc.until)
			}
			if v.Crashes != tc.crashes || !v.Until.Equal(until) {
				t.Errorf("got %d crashes and %v, want %d and %v", v.Crashes, v.Until, tc.crashes, until)
			}
			if anyShutOut := l.AnyShutOut(start.Add(tc.at)); anyShutOut != v.ShutOut() {
				t.Errorf("any request shut out: %t", anyShutOut)
			}
		})
	}
}

func TestFingerprintDelimitsParts(t *testing.T) {
	if quarantine.NewFingerprint([]byte("ab"), []byte("c")) == quarantine.NewFingerprint([]byte("a"), []byte("bc")) {
		t.Error("two requests have the same fingerprint")
	}
}

// TestLedgerBounds checks that neither many suspects nor odd messages make a ledger grow, and that the
// request that is shut out is dropped last.
func TestLedgerBounds(t *testing.T) {
	l := quarantine.NewLedger(quarantine.WithCapacity(10))
	for _, process := range []string{"a/1", "b/1", "c/1"} {
		l.Accuse(start, process, []wire.Fingerprint{fingerprintOf("x")}, nil)
	}
	for i := range 1000 {
		l.Accuse(start.Add(time.Second), "a/2", []wire.Fingerprint{fingerprintOf(fmt.Sprint(i))}, nil)
		l.Accuse(start, fmt.Sprint("d/", i), []wire.Fingerprint{fingerprintOf("x")}, nil)
	}
	l.Merge(start, []wire.Suspect{
		{Fingerprint: fingerprintOf("long"), Crashes: []wire.Crash{{Process: string(make([]byte, 1<<16)), At: start}}},
		{Fingerprint: fingerprintOf("old"), Crashes: []wire.Crash{{Process: "a/1", At: start.Add(-24 * time.Hour)}}},
		{Fingerprint: fingerprintOf("none")},
	})
	suspects := l.Suspects(start)
	if len(suspects) != 10 || suspects[0].Fingerprint != fingerprintOf("x") || len(suspects[0].Crashes) > 8 {
		t.Errorf("got %d suspects, the first with %d crashes", len(suspects), len(suspects[0].Crashes))
	}
	future := quarantine.NewLedger()
	for _, process := range []string{"a/1", "b/1", "c/1"} {
		future.Merge(start, []wire.Suspect{{Fingerprint: fingerprintOf("x"), Crashes: []wire.Crash{{Process: process, At: start.Add(1000 * time.Hour)}}}})
	}
	if v := future.Verdict(start, fingerprintOf("x")); v.Until.After(start.Add(5 * time.Minute)) {
		t.Errorf("a time in the future shuts out until %v", v.Until)
	}
	if future.Expire(start.Add(16 * time.Minute)); !future.Empty() {
		t.Error("a time in the future is remembered")
	}
}

// TestMergeOrder checks that ledgers that have learned the same, in any order and any number of times,
// know the same, and that merging then changes nothing.
func TestMergeOrder(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(39)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("order does not matter", prop.ForAll(func(seed uint64) bool {
		rng := rand.New(rand.NewPCG(seed, 1))
		const learned = 30
		facts := make([]wire.Suspect, 0, learned)
		for range learned {
			facts = append(facts, wire.Suspect{
				Fingerprint: fingerprintOf(fmt.Sprint(rng.IntN(5))),
				Crashes:     []wire.Crash{{Process: fmt.Sprint(rng.IntN(4)), At: start, Cleared: rng.IntN(4) == 0}},
			})
		}
		one, other := quarantine.NewLedger(), quarantine.NewLedger()
		one.Merge(start, facts)
		for _, i := range rng.Perm(2 * len(facts)) {
			other.Merge(start, facts[i%len(facts):i%len(facts)+1])
		}
		return one.Digest() == other.Digest() && len(one.Merge(start, other.Suspects(start))) == 0
	}, gen.UInt64()))
	properties.TestingRun(t)
}
