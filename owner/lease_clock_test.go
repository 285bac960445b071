package owner_test

import (
	"testing"
	"time"

	"fulmarrun/admission"
	"fulmarrun/clock"
	"fulmarrun/handover"
	"fulmarrun/owner"
)

// TestLeaseEndsWhileSuspended checks that the lease expires by the clock that
// continues while the machine is suspended. Go's monotonic clock stops then.
func TestLeaseEndsWhileSuspended(t *testing.T) {
	suspended := time.Duration(0)
	s := owner.NewServer(admission.NewGate(), handover.NewUnits(), handover.NewHotKeys(),
		owner.WithClock(func() time.Time { return clock.Now().Add(suspended) }))
	s.SetLease(clock.Now().Add(time.Hour))
	if !s.HasLease() {
		t.Fatal("the lease is not valid before the suspension")
	}
	suspended = 2 * time.Hour
	if s.HasLease() {
		t.Error("a lease of one hour is still valid after a suspension of two hours")
	}
}
