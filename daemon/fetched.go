package daemon

import (
	"sync"
	"time"

	"fulmarrun/clock"
	"fulmarrun/control"
	"fulmarrun/grants"
	"fulmarrun/lease"
	"fulmarrun/routes"
)

const (
	// fetchedLeaseTTL is how long the answer of a witness binds it where targets fetch
	// their grants. A grant must outlast one lost beat and one late beat.
	fetchedLeaseTTL = 3 * time.Second
	// fetchedLeaseBeat is the interval of heartbeats to the witnesses.
	fetchedLeaseBeat = 500 * time.Millisecond
	// fetchedLeaseMargin allows each of two clocks to drift by 2.5 percent of the TTL.
	fetchedLeaseMargin = 150 * time.Millisecond
	// fetchedFirstWitnessTimeout is two beats: one heartbeat, or its answer, may be lost.
	fetchedFirstWitnessTimeout = 2 * fetchedLeaseBeat
	// fetchedAssignDelay is how long the members must stay unchanged before the first
	// assignment of slots. A target sends its first beat within one second.
	fetchedAssignDelay = 2 * time.Second
	// fetchedRowsPerMove is the number of slot rows that one hand-over may take slots
	// from.
	fetchedRowsPerMove = 32
)

// fetchedGrants is the state of a target that fetches its grants.
type fetchedGrants struct {
	mu    sync.Mutex
	table *grants.Table
	// beat is the last beat that was not stale, and lastBeatAt is when it was received.
	beat       grants.Beat
	lastBeatAt time.Time
	// left is true once the current target process is known to leave for good.
	left       bool
	departures departures
	// departuresLoaded is true once what earlier processes of the daemon have recorded was read
	// from the platform.
	departuresLoaded bool
	// lastDeparture is the text of the departure that the target announced last; empty if it
	// has announced none or has taken it back.
	lastDeparture string
	// draining is true after the target process says that it drains or leaves, until it or
	// another process accepts work.
	draining   bool
	drainLimit time.Duration
	// closesAt is when a draining target receives no more work.
	closesAt time.Time
	// domainOut is true while the failure domain is out of service, domainChanges counts
	// the changes of domainOut, and domainClosed is true once the target is sent no more work
	// because of it. domainOutLimit is set by WithDomainOutLimit.
	domainOut      bool
	domainChanges  int
	domainClosed   bool
	domainOutLimit time.Duration
	tableOptions   []grants.Option
	// idle is true while the target accepts no work.
	idle bool
}

// FetchOption configures WithFetchedGrants.
type FetchOption func(*fetchedGrants)

// WithDrainLimit is a functional option that sets how long a target may still be sent
// work after it says that it drains.
func WithDrainLimit(d time.Duration) FetchOption {
	return func(f *fetchedGrants) { f.drainLimit = d }
}

// WithDomainOutLimit is a functional option that sets how long the targets of a failure
// domain may still be sent work after it is taken out of service.
func WithDomainOutLimit(d time.Duration) FetchOption {
	return func(f *fetchedGrants) { f.domainOutLimit = d }
}

// WithGrantTableOptions is a functional option that passes options to the grant table.
func WithGrantTableOptions(opts ...grants.Option) FetchOption {
	return func(f *fetchedGrants) { f.tableOptions = append(f.tableOptions, opts...) }
}

func newFetchedGrants(opts []FetchOption) *fetchedGrants {
	f := &fetchedGrants{idle: true, departures: make(departures), drainLimit: defaultDrainLimit, domainOutLimit: defaultDomainOutLimit}
	for _, opt := range opts {
		opt(f)
	}
	f.table = grants.NewTable(time.Time{}, f.tableOptions...)
	return f
}

// lastBeatTime returns when the last beat of the target was received; the zero time if
// there was none.
func (f *fetchedGrants) lastBeatTime() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastBeatAt
}

// fetchedGrantsControl returns the control options for targets that fetch their grants.
func fetchedGrantsControl() []control.Option {
	return []control.Option{
		control.WithExclusiveAddress(),
		control.WithRowsPerMove(fetchedRowsPerMove),
		control.WithAssignDelay(fetchedAssignDelay),
		control.WithFirstWitnessTimeout(fetchedFirstWitnessTimeout),
		control.WithLease(lease.WithTTL(fetchedLeaseTTL), lease.WithBeat(fetchedLeaseBeat), lease.WithMargin(fetchedLeaseMargin)),
	}
}

// resetGrantTable starts the grant table of a new generation. Grants of an earlier
// generation expire within one TTL from now. They need no wait if the target has
// restarted, since its new process holds none of them.
func (d *Daemon) resetGrantTable(targetRestarted bool) {
	f := d.fetchedGrants
	f.mu.Lock()
	defer f.mu.Unlock()
	inheritedUntil := clock.Now().Add(fetchedLeaseTTL)
	if targetRestarted {
		inheritedUntil = time.Time{}
	}
	f.table = grants.NewTable(inheritedUntil, f.tableOptions...)
	if !f.lastBeatAt.IsZero() {
		f.table.Classify(&f.beat)
	}
}

// grantOwnedSlots sets the slots that this generation owns in the snapshot as the slots
// to grant.
func (i *incarnation) grantOwnedSlots(s *routes.Snapshot) {
	count := s.SlotCount(i.self.Service)
	owned := make(map[uint32]grants.Slot)
	for h := range s.Assignments(i.self.Service) {
		if h.Owner == nil || h.Owner.Generation != i.self.Generation {
			continue
		}
		first, last := routes.Bounds(h.Slot, count)
		owned[h.Slot] = grants.Slot{Range: grants.Range{First: first, Last: last}, Epoch: h.Epoch, Token: h.Token}
	}
	f := i.d.fetchedGrants
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.SetSlots(owned)
}

func (f *fetchedGrants) isIdle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.idle
}

// isGranted reports whether the target has been granted a slot and has not rejected it
// since.
func (f *fetchedGrants) isGranted(slot uint32) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Granted(clock.Now(), slot)
}

// markRejected records that the target rejected a request because it does not hold the
// slot.
func (f *fetchedGrants) markRejected(slot uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.MarkRejected(clock.Now(), slot)
}
