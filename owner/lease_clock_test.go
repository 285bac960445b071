package owner_test

import (
	"testing"
	"time"

	"fulmarrun/admission"
	"fulmarrun/clock"
	"fulmarrun/handover"
	"fulmarrun/owner"
)

// TestLeaseEndsWhileSuspended moves the clock that goes on during a suspension,
// while Go's monotonic clock stands still.
func TestLeaseEndsWhileSuspended(t *testing.T) {
	suspended := time.Duration(0)
	s := owner.NewServer(admission.NewGate(), handover.NewUnits(), handover.NewHotKeys(),
		owner.WithClock(func() time.Time { return clock.Now().Add(suspended) }))
	s.SetLease(clock.Now().Add(time.Hour))
	if !s.HasLease() {
		t.Fatal("the lease does not hold at first")
	}
	suspended = 2 * time.Hour
	if s.HasLease() {
		t.Error("the lease of one hour holds after two hours of suspension")
	}
}
