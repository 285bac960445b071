package quarantine_test

import (
	"testing"
	"time"

	"fulmarrun/quarantine"
	"fulmarrun/wire"
)

// TestOneSuspectAtATime checks that a suspect waits for another one that is at work, also for one that
// became a suspect while it was at work, and that other requests do not wait.
func TestOneSuspectAtATime(t *testing.T) {
	l := quarantine.NewLedger()
	target := quarantine.NewTarget(l)
	enter := func(path string) <-chan struct{} {
		wait, v := target.Enter(start, fingerprintOf(path))
		if v.ShutOut() {
			t.Fatalf("%s is shut out", path)
		}
		return wait
	}
	if enter("early") != nil {
		t.Fatal("a request without a crash waits")
	}
	l.Accuse(start, "b/1", []wire.Fingerprint{fingerprintOf("early"), fingerprintOf("x"), fingerprintOf("y")}, nil)
	wait := enter("x")
	if wait == nil {
		t.Fatal("a suspect does not wait for one that is at work")
	}
	if enter("other") != nil {
		t.Fatal("a request without a crash waits for a suspect")
	}
	target.Leave(fingerprintOf("early"))
	<-wait
	if enter("x") != nil || enter("y") == nil {
		t.Fatal("not one suspect at a time")
	}
	if enter("x") == nil {
		t.Fatal("a suspect does not wait for its own copy")
	}
	l.Answered(start, fingerprintOf("x"))
	if enter("y") != nil {
		t.Fatal("a suspect waits for a request that was cleared")
	}
}

func TestEnded(t *testing.T) {
	for _, tc := range []struct {
		name string
		play func(*quarantine.Target)
		want int
	}{
		{"at work", func(t *quarantine.Target) { t.Lost(start, fingerprintOf("x"), "a/1") }, 1},
		{"of another process", func(t *quarantine.Target) { t.Lost(start, fingerprintOf("x"), "a/0") }, 0},
		{"lost long before", func(t *quarantine.Target) { t.Lost(start.Add(-time.Minute), fingerprintOf("x"), "a/1") }, 0},
		{"lost with its connection alone", func(t *quarantine.Target) { t.Lost(start, fingerprintOf("x"), "a/1"); t.Alive() }, 0},
		{"reported before", func(t *quarantine.Target) {
			t.Lost(start, fingerprintOf("x"), "a/1")
			t.Ended(start, "a/1")
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			target := quarantine.NewTarget(quarantine.NewLedger())
			tc.play(target)
			if got, _ := target.Ended(start.Add(time.Second), "a/1"); len(got) != tc.want {
				t.Errorf("got %d requests, want %d", len(got), tc.want)
			}
		})
	}
}
