package grants

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Process identifies one process of a target, from its start to its end.
type Process struct {
	Name string
	// Started is the start time by the target's own wall clock.
	Started time.Time
}

// String returns the identifier of the process that is stored in rows.
func (l Process) String() string { return fmt.Sprintf("%s/%d", l.Name, l.Started.UnixMilli()) }

// ParseProcess parses an identifier that Process.String has returned.
func ParseProcess(text string) (p Process, ok bool) {
	slash := strings.LastIndexByte(text, '/')
	if slash < 0 {
		return Process{}, false
	}
	started, err := strconv.ParseInt(text[slash+1:], 10, 64)
	if err != nil {
		return Process{}, false
	}
	return Process{Name: text[:slash], Started: time.UnixMilli(started)}, true
}

// Range is an interval of keys, including both ends.
type Range struct {
	First uint32
	Last  uint32
}

func (r Range) contains(other Range) bool { return r.First <= other.First && other.Last <= r.Last }

func (r Range) overlaps(other Range) bool { return r.First <= other.Last && other.First <= r.Last }

// Release is a range that a target has released, with the token that lets the next holder
// of the range start with a warm state.
type Release struct {
	Range
	Token string
}

// Beat is the heartbeat that a target sends about once per second.
type Beat struct {
	Process
	Address netip.AddrPort
	Service string
	Domain  string
	// Sequence increases with each beat of a process.
	Sequence uint64
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Draining is true once the target is about to stop.
	Draining bool
	// Cold is how much longer the target is expected to be slow after its start.
	Cold time.Duration
	// Held are the ranges that the target holds or still processes requests of.
	Held []Range
	// Released are the ranges that it has released since its last answered beat.
	Released []Release
}

// Grant is a range that a target may serve, with the fence of its epoch.
type Grant struct {
	Range
	Fence uint64
	// Token is the token issued by the previous holder of the range; empty if there is none or
	// the target already holds the range.
	Token string
}

// Answer is the answer to a beat. It lists all ranges that the target may hold.
type Answer struct {
	// ListsGrants is false if the answer carries no list of grants, and so renews none.
	ListsGrants bool
	Grants      []Grant
	// For is the validity of the grants, counted from when the target sent the beat.
	For time.Duration
	// Omitted is the number of owned slots that are not granted for lack of space.
	Omitted int
}
