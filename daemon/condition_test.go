package daemon_test

import (
	"net/netip"
	"testing"
	"time"

	"fulmarrun/clock"
	"fulmarrun/daemon"
	"fulmarrun/grants"
	"fulmarrun/wire"
)

// TestLeavingKnownEarlier tells a daemon twice that its target leaves. It has to close the
// target by when the earlier of the two answers was received, whichever it hears of first.
func TestLeavingKnownEarlier(t *testing.T) {
	const drainLimit, earlier, later = 20 * time.Second, 15 * time.Second, 5 * time.Second
	for _, ages := range [][]time.Duration{{earlier, later}, {later, earlier}, {earlier}} {
		d := startDaemon(t, daemon.WithFetchedGrants(daemon.WithDrainLimit(drainLimit)))
		beat := grants.Beat{
			Process: grants.Process{Name: "i-1", Started: time.UnixMilli(1000)}, Sequence: 1,
			Address: netip.MustParseAddrPort("127.0.0.1:9"), Service: "agenda", Slots: 4,
		}
		if _, err := d.Beat(t.Context(), clock.Now(), beat); err != nil {
			t.Fatal(err)
		}
		for _, age := range ages {
			d.AdoptCondition(&wire.TargetCondition{Process: beat.String(), Leaving: true, Age: age})
		}
		if left, leaves := d.ClosesIn(); !leaves || left > drainLimit-earlier {
			t.Errorf("told %v ago: leaving %t, closed in %v", ages, leaves, left)
		}
	}
}
