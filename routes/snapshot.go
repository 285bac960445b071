package routes

import (
	"cmp"
	"iter"
	"maps"
	"net/netip"
	"slices"

	"fulmarrun/wire"
)

// Owner is the part of a member that traffic needs.
type Owner struct {
	Generation wire.Generation
	Instance   string
	Service    string
	Domain     string
	Peer       netip.AddrPort
	Caller     netip.AddrPort
	State      wire.State
	// Idle is true while its target takes no work.
	Idle bool
}

// AcceptsWork reports whether the member may be given new work or keys; out tells which
// failure domains are out of service.
func (o *Owner) AcceptsWork(out func(domain string) bool) bool {
	return o.State == wire.StateActive && !o.Idle && !out(o.Domain)
}

// Route tells who owns a key. Owner is nil while nobody does.
type Route struct {
	Owner *Owner
	Epoch uint64
	Slot  uint32
	// Hot is true if the key is apart from its slot.
	Hot bool
	// TransferID names the hand-over that gave it to Owner; zero if there was none.
	TransferID uint64
	// AssignedAt is when the owner's entry was written; zero if that is not known here.
	AssignedAt wire.UnixTime
}

type place struct {
	owner    *Owner
	epoch    uint64
	transfer uint64
	since    wire.UnixTime
	token    string
	// free is true if any conditional write may assign the slot.
	free bool
}

func (p *place) route(slot uint32, hot bool) Route {
	return Route{
		Owner: p.owner, Epoch: p.epoch, Slot: slot, Hot: hot, TransferID: p.transfer, AssignedAt: p.since,
	}
}

type table struct {
	slots []place
	hot   map[string]place
	// members are those of the service that are not closed, by generation.
	members []*Owner
	// ranged is true if slots are ranges of keys.
	ranged bool
	// gaps is true if a slot or hot key leads to rows that are not known here.
	gaps bool
}

// Assignment is a slot, or a hot key, with its route.
type Assignment struct {
	Slot uint32
	// Key is the hot key; empty for a whole slot.
	Key   string
	Owner *Owner
	Epoch uint64
	// TransferID names the hand-over that gave it to Owner; zero if there was none.
	TransferID uint64
	// Token is what the target of the last owner gave out for the slot.
	Token string
	Free  bool
}

// Snapshot is what traffic goroutines read. It never changes.
type Snapshot struct {
	services map[string]*table
	owners   map[wire.Generation]*Owner
	changed  chan struct{}
	// changes is the view's count of changes of members.
	changes uint64
}

func newSnapshot() *Snapshot {
	return &Snapshot{
		services: make(map[string]*table),
		owners:   make(map[wire.Generation]*Owner),
		changed:  make(chan struct{}),
	}
}

// Lookup returns the route of a key; ok is false if the service has no slots
// yet, or if they are ranges and the key is in none. It does not allocate.
func (s *Snapshot) Lookup(service, key string) (route Route, ok bool) {
	t := s.services[service]
	if t == nil || len(t.slots) == 0 {
		return Route{}, false
	}
	slot, ok := t.slotOf(key)
	if !ok {
		return Route{}, false
	}
	if len(t.hot) > 0 {
		if p, hot := t.hot[key]; hot {
			return p.route(slot, true), true
		}
	}
	p := &t.slots[slot]
	return p.route(slot, false), true
}

// slotOf returns the slot of a key; ok is false for one that is in no range.
func (t *table) slotOf(key string) (slot uint32, ok bool) {
	if t.ranged {
		return SlotOfNumericKey(key, uint32(len(t.slots)))
	}
	return SlotOf(key, uint32(len(t.slots))), true
}

// Members returns the members of a service that are not closed. The slice is
// shared and must not be changed.
func (s *Snapshot) Members(service string) []*Owner {
	t := s.services[service]
	if t == nil {
		return nil
	}
	return t.members
}

// Assignments calls yield for each slot and each hot key of a service.
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

// HotKeys calls yield for each hot key of a service.
func (s *Snapshot) HotKeys(service string) iter.Seq[Assignment] {
	return func(yield func(Assignment) bool) {
		t := s.services[service]
		if t == nil {
			return
		}
		for key, p := range t.hot {
			slot := SlotOf(key, uint32(len(t.slots)))
			if !yield(Assignment{Slot: slot, Key: key, Owner: p.owner, Epoch: p.epoch, TransferID: p.transfer}) {
				return
			}
		}
	}
}

// SameService tells whether a service has the same members and slots in another
// snapshot of the same view.
func (s *Snapshot) SameService(other *Snapshot, service string) bool {
	return other != nil && s.services[service] == other.services[service]
}

// HasUnresolved tells whether a slot or hot key of a service leads to rows that are not
// known here.
func (s *Snapshot) HasUnresolved(service string) bool {
	t := s.services[service]
	return t != nil && t.gaps
}

// Services returns the names of all services that have rows.
func (s *Snapshot) Services() []string { return slices.Sorted(maps.Keys(s.services)) }

// SlotCount returns the number of slots of a service; zero before its first row.
func (s *Snapshot) SlotCount(service string) uint32 {
	t := s.services[service]
	if t == nil {
		return 0
	}
	return uint32(len(t.slots))
}

// Owner returns an open generation, or nil.
func (s *Snapshot) Owner(g wire.Generation) *Owner { return s.owners[g] }

// MemberCount returns how many members are not closed.
func (s *Snapshot) MemberCount() int { return len(s.owners) }

// SameOwners reports whether both have the same members in the same states.
func (s *Snapshot) SameOwners(other *Snapshot) bool {
	return other != nil && s.changes == other.changes
}

// Changed is closed when a newer snapshot has taken the place of this one.
func (s *Snapshot) Changed() <-chan struct{} { return s.changed }

// Retire closes Changed. The publisher calls it after the newer one is in place.
func (s *Snapshot) Retire() { close(s.changed) }

// Snapshot returns the state of the view for traffic. It returns the same one
// again while nothing has changed.
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

// owners returns the open members; the map of the snapshot before if none has
// changed since.
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

// owner reuses the record of the snapshot before, so that tables which did not
// change go on sharing it.
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
	// The first row is written before all others and fixes the number of slots.
	if s.rows[0] == nil {
		return t
	}
	t.slots, t.ranged = make([]place, s.rows[0].TotalSlots), s.rows[0].NumericKeys
	for first, row := range s.rows {
		for i, entry := range row.Slots.Slots {
			slot := first + uint32(i)
			if slot >= uint32(len(t.slots)) {
				break
			}
			r := v.Resolve(row, entry, slot, "")
			t.slots[slot] = place{owner: owners[r.Owner], epoch: r.Epoch, transfer: r.TransferID, since: r.AssignedAt, token: r.Token, free: r.Free()}
			t.gaps = t.gaps || !r.Known
		}
		for _, h := range row.HotKeys {
			r := v.Resolve(row, h.Slot, 0, h.Key)
			if t.hot == nil {
				t.hot = make(map[string]place)
			}
			t.gaps = t.gaps || !r.Known
			t.hot[h.Key] = place{owner: owners[r.Owner], epoch: r.Epoch, transfer: r.TransferID, since: r.AssignedAt}
		}
	}
	return t
}

// AllMembers returns every member that is not closed, by generation.
func (s *Snapshot) AllMembers() []*Owner {
	return slices.SortedFunc(maps.Values(s.owners), func(a, b *Owner) int {
		return cmp.Compare(a.Generation, b.Generation)
	})
}
