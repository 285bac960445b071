package daemon

import (
	"sync"
	"time"

	"fulmarrun/clock"
	"fulmarrun/control"
	"fulmarrun/holds"
	"fulmarrun/lease"
	"fulmarrun/routes"
)

const (
	// fetchTTL is how long an answer binds a witness where targets fetch their
	// grants: a grant has to outlast a beat that is missed, and a beat that is late.
	fetchTTL = 3 * time.Second
	// fetchBeat is the time between two heartbeats to the witnesses.
	fetchBeat = 500 * time.Millisecond
	// fetchMargin allows each of two clocks to drift by 2.5 percent of the TTL.
	fetchMargin = 150 * time.Millisecond
	// fetchGather is how long members must be unchanged before slots are assigned
	// for the first time; a target's first beat comes within one second.
	fetchGather = 2 * time.Second
	// fetchRows is how many rows of slots one hand-over may take from.
	fetchRows = 32
)

// fetched is what the daemon knows of a target that fetches its grants.
type fetched struct {
	mu   sync.Mutex
	book *holds.GrantTable
	// beat is the last that was current, and heard is when it was received.
	beat  holds.Beat
	heard time.Time
	// gone is true once the target has said that it leaves for good, and left names the
	// last life that has, which an earlier process may have been told.
	gone bool
	left string
	// draining is true from the moment that the target said that it drains or
	// leaves, until it or another life takes work.
	draining   bool
	drainLimit time.Duration
	// out is true while the failure domain is out of service, outTurn counts how often
	// that has changed, and shut is true once the target is given nothing more for it.
	out         bool
	outTurn     int
	shut        bool
	outLimit    time.Duration
	bookOptions []holds.Option
	// idle is true while the target takes no work.
	idle bool
}

// FetchOption configures WithFetchedGrants.
type FetchOption func(*fetched)

// WithDrainLimit is a functional option that sets how long after a target has said
// that it drains it may still be given work.
func WithDrainLimit(d time.Duration) FetchOption {
	return func(f *fetched) { f.drainLimit = d }
}

// WithDomainOutLimit is a functional option that sets how long after a failure domain is taken
// out of service its targets may still be given work.
func WithDomainOutLimit(d time.Duration) FetchOption {
	return func(f *fetched) { f.outLimit = d }
}

// WithGrantTableOptions is a functional option that passes options to the grants.
func WithGrantTableOptions(opts ...holds.Option) FetchOption {
	return func(f *fetched) { f.bookOptions = append(f.bookOptions, opts...) }
}

func newFetched(opts []FetchOption) *fetched {
	f := &fetched{idle: true, drainLimit: defaultDrainLimit, outLimit: defaultOutLimit}
	for _, opt := range opts {
		opt(f)
	}
	f.book = holds.NewGrantTable(time.Time{}, f.bookOptions...)
	return f
}

// lastHeard returns when the target was last heard of; the zero time if never.
func (f *fetched) lastHeard() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heard
}

// fetchControl returns the options of the control state.
func fetchControl() []control.Option {
	return []control.Option{
		control.WithExclusiveAddress(),
		control.WithRowsPerMove(fetchRows),
		control.WithAssignDelay(fetchGather),
		control.WithLease(lease.WithTTL(fetchTTL), lease.WithBeat(fetchBeat), lease.WithMargin(fetchMargin)),
	}
}

// newBook starts the grants of a generation. What an earlier one granted has run
// out one TTL from now, unless the target has started anew since.
func (d *Daemon) newBook(reborn bool) {
	f := d.fetched
	f.mu.Lock()
	defer f.mu.Unlock()
	inherited := clock.Now().Add(fetchTTL)
	if reborn {
		inherited = time.Time{}
	}
	f.book = holds.NewGrantTable(inherited, f.bookOptions...)
	if !f.heard.IsZero() {
		f.book.Classify(&f.beat)
	}
}

// ownRanges has the target granted the slots of the snapshot.
func (i *incarnation) ownRanges(s *routes.Snapshot) {
	count := s.SlotCount(i.self.Service)
	owned := make(map[uint32]holds.Slot)
	for h := range s.Assignments(i.self.Service) {
		if h.Owner == nil || h.Owner.Generation != i.self.Generation {
			continue
		}
		first, last := routes.Bounds(h.Slot, count)
		owned[h.Slot] = holds.Slot{Range: holds.Range{First: first, Last: last}, Epoch: h.Epoch, Token: h.Token}
	}
	f := i.d.fetched
	f.mu.Lock()
	defer f.mu.Unlock()
	f.book.SetSlots(owned)
}

func (f *fetched) isIdle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.idle
}

// granted tells whether the target has been told to hold a slot.
func (f *fetched) granted(slot uint32) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.Granted(clock.Now(), slot)
}

// refute notes that the target denies to hold a slot.
func (f *fetched) refute(slot uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.book.MarkRejected(clock.Now(), slot)
}
