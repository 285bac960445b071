package routes

import (
	"cmp"
	"iter"
	"maps"
	"net/netip"
	"slices"

	"fulmarrun/wire"
)

// Owner holds the fields of a member that request handling needs.
type Owner struct {
	Generation wire.Generation
	Instance   string
	Service    string
	Domain     string
	Peer       netip.AddrPort
	Caller     netip.AddrPort
	State      wire.State
	// Idle is true while the target of the member accepts no requests.
	Idle bool
}

// AcceptsWork reports whether the member may get new requests or keys; out reports
// whether a failure domain is out of service.
func (o *Owner) AcceptsWork(out func(domain string) bool) bool {
	return o.State == wire.StateActive && !o.Idle && !out(o.Domain)
}

// Route is the route to the owner of a key. Owner is nil while the key has none.
type Route struct {
	Owner *Owner
	Epoch uint64
	Slot  uint32
	// Hot is true if the key is owned separately from its slot.
	Hot bool
	// TransferID identifies the hand-over by which Owner got it; zero if there was
	// none.
	TransferID uint64
	// AssignedAt is when the owner's entry was written; zero if that is not known.
	AssignedAt wire.UnixTime
}

type slotRoute struct {
	owner    *Owner
	epoch    uint64
	transfer uint64
	since    wire.UnixTime
	token    string
	// free is true if any daemon may assign the slot by a conditional write.
	free bool
}

func (p *slotRoute) route(slot uint32, hot bool) Route {
	return Route{
		Owner: p.owner, Epoch: p.epoch, Slot: slot, Hot: hot, TransferID: p.transfer, AssignedAt: p.since,
	}
}

type table struct {
	slots   []slotRoute
	hotKeys map[string]slotRoute
	// members lists the members of the service that are not closed, by generation.
	members []*Owner
	// numericKeys is true if each slot is a range of numeric keys.
	numericKeys bool
	// unresolved is true if the owner of a slot or hot key depends on rows that this
	// view does not have.
	unresolved bool
}

// Assignment is a slot or a hot key with its owner.
type Assignment struct {
	Slot uint32
	// Key is the hot key; empty if the assignment is of a slot.
	Key   string
	Owner *Owner
	Epoch uint64
	// TransferID identifies the hand-over by which Owner got it; zero if there was
	// none.
	TransferID uint64
	// Token is the token that the previous owner's target issued for the slot.
	Token string
	Free  bool
}

// Snapshot is the immutable routing state that request goroutines read.
type Snapshot struct {
	services map[string]*table
	owners   map[wire.Generation]*Owner
	changed  chan struct{}
	// changes is the value of View.MemberChanges for this snapshot.
	changes uint64
}

func newSnapshot() *Snapshot {
	return &Snapshot{
		services: make(map[string]*table),
		owners:   make(map[wire.Generation]*Owner),
		changed:  make(chan struct{}),
	}
}

// Lookup returns the route of a key; ok is false if the service has no slots yet, or
// if its slots are ranges of numeric keys and none contains the key. It does not
// allocate.
func (s *Snapshot) Lookup(service, key string) (route Route, ok bool) {
	t := s.services[service]
	if t == nil || len(t.slots) == 0 {
		return Route{}, false
	}
	slot, ok := t.slotOf(key)
	if !ok {
		return Route{}, false
	}
	if len(t.hotKeys) > 0 {
		if p, hot := t.hotKeys[key]; hot {
			return p.route(slot, true), true
		}
	}
	p := &t.slots[slot]
	return p.route(slot, false), true
}

// slotOf returns the slot of a key; ok is false if no range contains the key.
func (t *table) slotOf(key string) (slot uint32, ok bool) {
	if t.numericKeys {
		return SlotOfNumericKey(key, uint32(len(t.slots)))
	}
	return SlotOf(key, uint32(len(t.slots))), true
}

// Members returns the members of a service that are not closed. The slice is shared
// and must not be modified.
func (s *Snapshot) Members(service string) []*Owner {
	t := s.services[service]
	if t == nil {
		return nil
	}
	return t.members
}

// Assignments iterates over the slots and hot keys of a service.
func (s *Snapshot) Assignments(service string) iter.Seq[Assignment] {
	return func(yield func(Assignment) bool) {
		t := s.services[service]
		if t == nil {
			return
		}
		for slot, p := range t.slots {
			if !yield(Assignment{Slot: uint32(slot), Owner: p.owner, Epoch: p.epoch, TransferID: p.transfer, Token: p.token, Free: p.free}) {
				return
			}
		}
		for h := range s.HotKeys(service) {
			if !yield(h) {
				return
			}
		}
	}
}

// HotKeys iterates over the hot keys of a service.
func (s *Snapshot) HotKeys(service string) iter.Seq[Assignment] {
	return func(yield func(Assignment) bool) {
		t := s.services[service]
		if t == nil {
			return
		}
		for key, p := range t.hotKeys {
			slot := SlotOf(key, uint32(len(t.slots)))
			if !yield(Assignment{Slot: slot, Key: key, Owner: p.owner, Epoch: p.epoch, TransferID: p.transfer}) {
				return
			}
		}
	}
}

// SameService reports whether a service has the same members and slots in another
// snapshot of the same view.
func (s *Snapshot) SameService(other *Snapshot, service string) bool {
	return other != nil && s.services[service] == other.services[service]
}

// HasUnresolved reports whether the owner of a slot or hot key of a service depends
// on rows that this view does not have.
func (s *Snapshot) HasUnresolved(service string) bool {
	t := s.services[service]
	return t != nil && t.unresolved
}

// Services returns the sorted names of all services that have rows.
func (s *Snapshot) Services() []string { return slices.Sorted(maps.Keys(s.services)) }

// SlotCount returns the number of slots of a service; zero before its first row.
func (s *Snapshot) SlotCount(service string) uint32 {
	t := s.services[service]
	if t == nil {
		return 0
	}
	return uint32(len(t.slots))
}

// Owner returns the member of a generation, or nil if it is unknown or closed.
func (s *Snapshot) Owner(g wire.Generation) *Owner { return s.owners[g] }

// MemberCount returns the number of members that are not closed.
func (s *Snapshot) MemberCount() int { return len(s.owners) }

// SameOwners reports whether both snapshots have the same members in the same
// states.
func (s *Snapshot) SameOwners(other *Snapshot) bool {
	return other != nil && s.changes == other.changes
}

// Changed returns a channel that is closed when a newer snapshot has replaced this
// one.
func (s *Snapshot) Changed() <-chan struct{} { return s.changed }

// Retire closes the channel of Changed. The publisher calls it after it has published
// the newer snapshot.
func (s *Snapshot) Retire() { close(s.changed) }

// Snapshot returns a snapshot of the view. It returns the same one until something
// changes.
func (v *View) Snapshot() *Snapshot {
	if !v.dirty {
		return v.snapshot
	}
	next := newSnapshot()
	next.owners, next.changes = v.owners(), v.changes
	for name, s := range v.services {
		old := v.snapshot.services[name]
		if s.dirty || old == nil {
			next.services[name] = v.resolveService(s, next.owners)
			s.dirty = false
			continue
		}
		next.services[name] = old
	}
	v.snapshot, v.dirty = next, false
	return next
}

// owners returns the open members. It reuses the map of the previous snapshot if no
// member has changed.
func (v *View) owners() map[wire.Generation]*Owner {
	if v.snapshot.changes == v.changes {
		return v.snapshot.owners
	}
	owners := make(map[wire.Generation]*Owner, len(v.snapshot.owners)+1)
	for _, m := range v.ordered {
		if isOpen(m) {
			owners[m.Generation] = v.owner(m)
		}
	}
	return owners
}

func ownerOf(m *MemberRow) Owner {
	return Owner{
		Generation: m.Generation, Instance: m.Instance, Service: m.Service, Domain: m.Domain,
		Peer: m.Peer, Caller: m.Caller, State: m.State, Idle: m.Idle,
	}
}

// owner returns the Owner of a member. It reuses the one of the previous snapshot if
// it is equal, because unchanged tables refer to it.
func (v *View) owner(m *MemberRow) *Owner {
	if old := v.snapshot.owners[m.Generation]; old != nil && *old == ownerOf(m) {
		return old
	}
	fresh := ownerOf(m)
	return &fresh
}

func (v *View) resolveService(s *service, owners map[wire.Generation]*Owner) *table {
	t := &table{}
	for _, m := range s.open {
		t.members = append(t.members, owners[m.Generation])
	}
	// The first row is written before all others and determines the number of slots.
	if s.rows[0] == nil {
		return t
	}
	t.slots, t.numericKeys = make([]slotRoute, s.rows[0].TotalSlots), s.rows[0].NumericKeys
	for first, row := range s.rows {
		for i, entry := range row.Slots.Slots {
			slot := first + uint32(i)
			if slot >= uint32(len(t.slots)) {
				break
			}
			r := v.Resolve(row, entry, slot, "")
			t.slots[slot] = slotRoute{owner: owners[r.Owner], epoch: r.Epoch, transfer: r.TransferID, since: r.AssignedAt, token: r.Token, free: r.Free()}
			t.unresolved = t.unresolved || !r.Known
		}
		for _, h := range row.HotKeys {
			r := v.Resolve(row, h.Slot, 0, h.Key)
			if t.hotKeys == nil {
				t.hotKeys = make(map[string]slotRoute)
			}
			t.unresolved = t.unresolved || !r.Known
			t.hotKeys[h.Key] = slotRoute{owner: owners[r.Owner], epoch: r.Epoch, transfer: r.TransferID, since: r.AssignedAt}
		}
	}
	return t
}

// AllMembers returns the members of all services that are not closed, by generation.
func (s *Snapshot) AllMembers() []*Owner {
	return slices.SortedFunc(maps.Values(s.owners), func(a, b *Owner) int {
		return cmp.Compare(a.Generation, b.Generation)
	})
}
