// Package clock provides the time by which the ends of leases and grants and their ages are
// determined.
//
// Go's monotonic clock stops while the machine is suspended, so that a lease measured by it
// seems valid when others have long taken over its keys. This clock keeps running. It counts
// from the boot of the machine: its times can be compared with each other, but not with the
// wall clock.
//
// The machine can be suspended between any two instructions. Code that acts on a time must
// read the clock again after each wait and directly before each step that depends on it.
//
// # Usage
//
//	sent := clock.Now()
//	reply, err := call(ctx)
//	if clock.Since(sent) < ttl { ... }
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the boot of the machine, added to the Unix epoch. It has no
// monotonic reading. On Linux it is CLOCK_BOOTTIME.
func Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has had this clock since 2.6.39; without it no lease can be checked.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(now.Unix())
}

// Since returns the time elapsed since t, which must be a time of this clock.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time remaining until t, which must be a time of this clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }
