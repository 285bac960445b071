package daemon_test

import (
	"net/netip"
	"testing"
	"time"

	"fulmarrun/clock"
	"fulmarrun/daemon"
	"fulmarrun/grants"
)

// TestDepartureText checks that a departure is the same once it has been stored and read.
func TestDepartureText(t *testing.T) {
	for _, text := range []string{"i-1/1000", "i-1/1000<", "i-1/1000+20", "a/b</-5+7"} {
		if got, ok := daemon.ReparseDeparture(text); !ok || got != text {
			t.Errorf("%q: read as %q, %t", text, got, ok)
		}
	}
	for _, text := range []string{"", "i-1", "i-1/soon", "i-1/1000+", "i-1/1000+-1", "i-1/<1000", "i-1/1000+20<"} {
		if got, ok := daemon.ReparseDeparture(text); ok && got != text {
			t.Errorf("%q: read as %q", text, got)
		}
	}
}

// TestReturnedTargetShutOut lets a target come back after it has left or drained. What is
// remembered of its departure concerns only what had left.
func TestReturnedTargetShutOut(t *testing.T) {
	start := time.UnixMilli(time.Now().UnixMilli()).Add(-time.Minute)
	process := func(name string, age time.Duration) grants.Process {
		return grants.Process{Name: name, Started: start.Add(age)}
	}
	type step struct {
		process  grants.Process
		sequence uint64
		draining bool
		leaves   bool
		closed   bool
	}
	for _, tc := range []struct {
		name  string
		steps []step
	}{
		{"drain taken back", []step{
			{process: process("i-1", 0), sequence: 1},
			{process: process("i-1", 0), sequence: 2, draining: true, closed: true},
			{process: process("i-1", 0), sequence: 3},
			{process: process("i-1", 0), sequence: 4, draining: true, closed: true},
		}},
		{"leave not taken back", []step{
			{process: process("i-1", 0), sequence: 1},
			{process: process("i-1", 0), leaves: true, closed: true},
			{process: process("i-1", 0), sequence: 2, draining: true, closed: true},
			{process: process("i-1", 0), sequence: 3, closed: true},
		}},
		{"next process under the name", []step{
			{process: process("i-1", 0), sequence: 1},
			{process: process("i-1", 0), leaves: true, closed: true},
			{process: process("i-1", time.Second), sequence: 1},
		}},
		{"named before it is met, and next process", []step{
			{process: grants.Process{Name: "i-1"}, leaves: true},
			{process: process("i-1", 0), sequence: 1, closed: true},
			{process: process("i-1", time.Second), sequence: 1},
		}},
		{"next process right after it was named", []step{
			{process: grants.Process{Name: "i-1"}, leaves: true},
			{process: grants.Process{Name: "i-1", Started: time.Now().Add(time.Second)}, sequence: 1},
		}},
		{"named after it was replaced", []step{
			{process: process("i-1", 0), sequence: 1},
			{process: process("i-2", time.Second), sequence: 1},
			{process: grants.Process{Name: "i-1"}, leaves: true},
			{process: process("i-2", time.Second), sequence: 2},
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := startDaemon(t, daemon.WithFetchedGrants())
			d.LoadDepartures()
			for i, s := range tc.steps {
				if s.leaves {
					if err := d.TargetDeparted(t.Context(), s.process); err != nil {
						t.Errorf("step %d: %v", i, err)
					}
				} else {
					beat := grants.Beat{
						Process: s.process, Sequence: s.sequence, Draining: s.draining,
						Address: netip.MustParseAddrPort("127.0.0.1:9"), Service: "agenda", Slots: 4,
					}
					if _, err := d.Beat(t.Context(), clock.Now(), beat); err != nil {
						t.Errorf("step %d: %v", i, err)
					}
				}
				if _, closed := d.ClosesIn(); closed != s.closed {
					t.Errorf("step %d: closed %t", i, closed)
				}
			}
		})
	}
}

// TestDepartureAfterClockSetBack starts a target again under its name after it has left, with a
// clock that was set back meanwhile, at a daemon that has started anew.
func TestDepartureAfterClockSetBack(t *testing.T) {
	d := startDaemon(t, daemon.WithFetchedGrants())
	d.LoadDepartures("i-1/1000", "i-1/1000+20")
	for _, tc := range []struct {
		started int64
		closed  bool
	}{{900, false}, {1000, true}, {1001, false}} {
		beat := grants.Beat{
			Process: grants.Process{Name: "i-1", Started: time.UnixMilli(tc.started)}, Sequence: 30,
			Address: netip.MustParseAddrPort("127.0.0.1:9"), Service: "agenda", Slots: 4,
		}
		if _, err := d.Beat(t.Context(), clock.Now(), beat); err != nil {
			t.Error(err)
		}
		if _, closed := d.ClosesIn(); closed != tc.closed {
			t.Errorf("started at %d: closed %t", tc.started, closed)
		}
	}
}
