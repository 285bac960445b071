package holds

import (
	"fmt"
	"net/netip"
	"time"
)

// Process names one run of a target, from its start to its end.
type Process struct {
	Name string
	// Started is when it started, by its own wall clock.
	Started time.Time
}

// String returns the name by which a row tells of this life.
func (l Process) String() string { return fmt.Sprintf("%s/%d", l.Name, l.Started.UnixMilli()) }

// Range is an interval of keys, both ends included.
type Range struct {
	First uint32
	Last  uint32
}

func (r Range) covers(other Range) bool { return r.First <= other.First && other.Last <= r.Last }

func (r Range) meets(other Range) bool { return r.First <= other.Last && other.First <= r.Last }

// Release is a range that a target has given up, with the token by which the next
// target to hold it starts warm.
type Release struct {
	Range
	Token string
}

// Beat is what a target says of itself about once a second.
type Beat struct {
	Process
	Address netip.AddrPort
	Service string
	Domain  string
	// Sequence rises with each beat of a life.
	Sequence uint64
	// Slots is how many requests it runs at once.
	Slots int
	// Draining is true once it is about to stop.
	Draining bool
	// Cold is how much longer it is slow after its start.
	Cold time.Duration
	// Holds are the ranges that it holds or still works on.
	Holds []Range
	// Released are those that it has given up since its last answered beat.
	Released []Release
}

// Grant is a range that a target is to hold under a fence.
type Grant struct {
	Range
	Fence uint64
	// Token is that of the range's last holder; empty if there is none or the
	// target holds the range already.
	Token string
}

// Answer is all that a target is to hold.
type Answer struct {
	// ListsGrants is false if the answer says nothing of holds, which renews nothing.
	ListsGrants bool
	Grants      []Grant
	// For counts from when the beat was sent.
	For time.Duration
	// Omitted is how many slots are owned and not granted, as there is no room for them.
	Omitted int
}
