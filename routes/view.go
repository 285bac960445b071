package routes

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"fulmarrun/storage"
	"fulmarrun/wire"
)

// Errors of rows that can't be merged.
var (
	// ErrUnknownRow is returned for a row of an unknown kind.
	ErrUnknownRow = errors.New("row of unknown kind")
	// ErrMisplacedRow is returned for a row whose key is not that of its content.
	ErrMisplacedRow = errors.New("row under the key of another one")
	// ErrSlotCount is returned for a row of slots with more slots than its service can have.
	ErrSlotCount = errors.New("slots out of range")
)

// maxSlots is the maximum number of slots of a service, as in the schema of package config.
const maxSlots = 1 << 20

// MemberRow is a member with the version of its row.
type MemberRow struct {
	wire.Member
	Version uint64
}

// SlotsRow is a row of slots with its version.
type SlotsRow struct {
	wire.Slots
	Version uint64
}

type entry struct {
	row    wire.Row
	digest uint64
}

// View is one daemon's copy of the table. Only the control goroutine may use it.
type View struct {
	rows    map[string]entry
	buckets [bucketCount]bucket
	history history
	members map[wire.Generation]*MemberRow
	// ordered lists the members by generation.
	ordered []*MemberRow
	// changes counts the changes of the set of members and of their states.
	changes  uint64
	services map[string]*service
	config   wire.CurrentConfig
	// claims are the claims of generations of this daemon.
	claims   map[wire.Generation]claim
	snapshot *Snapshot
	dirty    bool
	faults   Faults
}

type service struct {
	rows map[uint32]*SlotsRow
	// open lists the members that are not closed, by generation.
	open  []*MemberRow
	dirty bool
}

// NewView returns a view without rows.
func NewView(opts ...Option) *View {
	v := &View{
		rows:     make(map[string]entry),
		members:  make(map[wire.Generation]*MemberRow),
		services: make(map[string]*service),
		claims:   make(map[wire.Generation]claim),
		snapshot: newSnapshot(),
	}
	for _, opt := range opts {
		opt(v)
	}
	return v
}

// RowChange describes how a stored row differs from the previous copy.
type RowChange struct {
	// BaseVersion is the version of the previous copy; zero if there was none.
	BaseVersion uint64
	// OnlyHandover is true if the only changes are slots that an owner has handed over.
	// The daemons involved notify each other; the others may learn of it later.
	OnlyHandover bool
}

// Put stores a row if it is newer than the copy of the view, and reports whether it
// was.
func (v *View) Put(row wire.Row) (bool, error) {
	_, isNew, err := v.Apply(row)
	return isNew, err
}

// Apply is like Put and also returns what has changed.
func (v *View) Apply(row wire.Row) (RowChange, bool, error) {
	old, known := v.rows[row.Key]
	if known && row.Version <= old.row.Version {
		return RowChange{}, false, nil
	}
	if !known || old.row.Deleted || row.Deleted || storage.IsReserved(old.row.Version) {
		// Other daemons may have another row under a reserved version, so it is no base.
		return v.store(row, nil)
	}
	d := diff(old.row, row)
	return v.store(row, &d)
}

// Patch applies a delta to a row. It returns ErrWrongBase if the copy of the view is
// older than the delta's version and is not its base.
func (v *View) Patch(d wire.Delta) (RowChange, bool, error) {
	old, known := v.rows[d.Key]
	if known && d.Version <= old.row.Version {
		return RowChange{}, false, nil
	}
	if (!known || old.row.Version != d.BaseVersion || old.row.Deleted) && !v.faults.SkipBaseCheck {
		return RowChange{}, false, fmt.Errorf("row %q: %w", d.Key, ErrWrongBase)
	}
	row, err := patch(old.row, d, v.faults.SkipBaseCheck)
	if err != nil {
		return RowChange{}, false, fmt.Errorf("row %q: %w", d.Key, err)
	}
	return v.store(row, &d)
}

// store replaces the copy of a row by a newer version; d, if not nil, is the delta
// between them.
func (v *View) store(row wire.Row, d *wire.Delta) (RowChange, bool, error) {
	old, known := v.rows[row.Key]
	change := RowChange{BaseVersion: old.row.Version}
	var err error
	if change.OnlyHandover, err = v.parse(row); err != nil {
		return RowChange{}, false, fmt.Errorf("row %q: %w", row.Key, err)
	}
	e := entry{row: row, digest: rowDigest(row)}
	b := &v.buckets[bucketOf(row.Key)]
	b.digest ^= old.digest ^ e.digest
	if !known {
		b.keys = append(b.keys, row.Key)
	}
	v.rows[row.Key] = e
	if d != nil {
		v.history.add(*d)
	}
	return change, true, nil
}

// parse decodes a row into the view; onlyHandover is that of RowChange.
func (v *View) parse(row wire.Row) (onlyHandover bool, err error) {
	switch {
	case isMemberKey(row.Key):
		return v.parseMember(row)
	case isSlotsKey(row.Key):
		return v.parseSlots(row)
	case row.Key == ConfigKey:
		var c wire.CurrentConfig
		if err := wire.Decode(row.Value, &c); err != nil {
			return false, err
		}
		v.config = c
		return false, nil
	default:
		return false, ErrUnknownRow
	}
}

func (v *View) parseMember(row wire.Row) (onlyHandover bool, err error) {
	if row.Deleted {
		if g, ok := memberOf(row.Key); ok && v.members[g] != nil {
			v.replaceMember(v.members[g], nil)
		}
		return false, nil
	}
	m := &MemberRow{Version: row.Version}
	if err := wire.Decode(row.Value, &m.Member); err != nil {
		return false, err
	}
	if m.Generation == 0 || row.Key != MemberKey(m.Generation) {
		return false, fmt.Errorf("generation %v: %w", m.Generation, ErrMisplacedRow)
	}
	old := v.members[m.Generation]
	v.replaceMember(old, m)
	return old != nil && onlyReleasedSlots(old, m), nil
}

// onlyReleasedSlots reports whether an open member has changed in nothing but the
// slots that it has handed over.
func onlyReleasedSlots(old, next *MemberRow) bool {
	return isOpen(old) && ownerOf(old) == ownerOf(next) && slices.Equal(old.Witnesses, next.Witnesses)
}

// replaceMember replaces old by next; either may be nil. A change that does not affect
// routes, such as of the witnesses of an open member, makes no new snapshot.
func (v *View) replaceMember(old, next *MemberRow) {
	if next == nil {
		delete(v.members, old.Generation)
		v.ordered = removeMember(v.ordered, old)
	} else {
		v.members[next.Generation] = next
		v.ordered = putMember(v.ordered, next)
	}
	if old != nil && next != nil && isOpen(old) && isOpen(next) && ownerOf(old) == ownerOf(next) &&
		storage.TimelineOf(old.Version) == storage.TimelineOf(next.Version) {
		s := v.services[next.Service]
		s.open = putMember(s.open, next)
		return
	}
	v.changes++
	if old != nil {
		s := v.markDirty(old.Service)
		s.open = removeMember(s.open, old)
	}
	if next == nil {
		return
	}
	if s := v.markDirty(next.Service); isOpen(next) {
		s.open = putMember(s.open, next)
	}
}

func isOpen(m *MemberRow) bool { return m.State != wire.StateClosed }

func compareGeneration(m *MemberRow, g wire.Generation) int { return cmp.Compare(m.Generation, g) }

// putMember inserts m into members, which are ordered by generation, or replaces the
// member of the same generation.
func putMember(members []*MemberRow, m *MemberRow) []*MemberRow {
	i, found := slices.BinarySearchFunc(members, m.Generation, compareGeneration)
	if found {
		members[i] = m
		return members
	}
	return slices.Insert(members, i, m)
}

// removeMember removes the member of the same generation as m from the ordered
// members.
func removeMember(members []*MemberRow, m *MemberRow) []*MemberRow {
	i, found := slices.BinarySearchFunc(members, m.Generation, compareGeneration)
	if !found {
		return members
	}
	return slices.Delete(members, i, i+1)
}

func (v *View) parseSlots(row wire.Row) (onlyHandover bool, err error) {
	s := &SlotsRow{Version: row.Version}
	if err := wire.Decode(row.Value, &s.Slots); err != nil {
		return false, err
	}
	if row.Key != SlotsKey(s.Service, s.FirstSlot) || s.FirstSlot != FirstSlotOf(s.FirstSlot) {
		return false, fmt.Errorf("service %q, first slot %d: %w", s.Service, s.FirstSlot, ErrMisplacedRow)
	}
	if s.TotalSlots > maxSlots || s.FirstSlot >= s.TotalSlots || len(s.Slots.Slots) > int(s.TotalSlots-s.FirstSlot) {
		return false, fmt.Errorf("%d slots from %d of %d: %w", len(s.Slots.Slots), s.FirstSlot, s.TotalSlots, ErrSlotCount)
	}
	rows := v.markDirty(s.Service).rows
	old := rows[s.FirstSlot]
	rows[s.FirstSlot] = s
	return old != nil && onlyHandedOver(old, s), nil
}

// onlyHandedOver reports whether all changed entries of a row of slots were handed
// over by their owners.
func onlyHandedOver(old, next *SlotsRow) bool {
	if len(old.Slots.Slots) != len(next.Slots.Slots) {
		return false
	}
	for i, s := range next.Slots.Slots {
		if s != old.Slots.Slots[i] && s.TransferID == 0 {
			return false
		}
	}
	for _, h := range next.HotKeys {
		if h.TransferID == 0 && !slices.Contains(old.HotKeys, h) {
			return false
		}
	}
	return true
}

func (v *View) markDirty(name string) *service {
	s := v.services[name]
	if s == nil {
		s = &service{rows: make(map[uint32]*SlotsRow)}
		v.services[name] = s
	}
	s.dirty, v.dirty = true, true
	return s
}

// Config returns the configuration row; its Number is zero before there is one.
func (v *View) Config() wire.CurrentConfig { return v.config }

// Row returns the row with the given key, and whether the view has it.
func (v *View) Row(key string) (wire.Row, bool) {
	e, ok := v.rows[key]
	return e.row, ok
}

// Member returns the row of a generation, or nil.
func (v *View) Member(g wire.Generation) *MemberRow { return v.members[g] }

// MemberOf returns the member whose row has the given key, or nil.
func (v *View) MemberOf(key string) *MemberRow {
	g, ok := memberOf(key)
	if !ok || !isMemberKey(key) {
		return nil
	}
	return v.members[g]
}

// Members returns all member rows, including closed ones, by generation. The slice is
// shared: it must not be modified and is valid until the next Put.
func (v *View) Members() []*MemberRow { return v.ordered }

// MemberChanges returns how often the set of members or the state of a member has
// changed.
func (v *View) MemberChanges() uint64 { return v.changes }

// SlotsRow returns the row of slots that starts at first, or nil.
func (v *View) SlotsRow(serviceName string, first uint32) *SlotsRow {
	s := v.services[serviceName]
	if s == nil {
		return nil
	}
	return s.rows[first]
}

// Resolution is the owner of a slot or a hot key, as far as the rows of the view determine it.
type Resolution struct {
	// Owner is zero if there is no owner or it is unknown.
	Owner wire.Generation
	Epoch uint64
	// TransferID identifies the hand-over by which Owner got it; zero if there was
	// none.
	TransferID uint64
	// AssignedAt is when the entry was written for Owner; zero if Owner inherited it
	// from a closed generation that the entry still names.
	AssignedAt wire.UnixTime
	// Token is the token that the previous owner's target issued when it released the
	// slot, as stored in the slot's entry; empty if Owner inherited the slot.
	Token string
	// Known is false if the chain of heirs depends on a row that the view does not
	// have. The view then cannot determine whether the slot is owned or free.
	Known bool
}

// Free reports whether any daemon may assign the slot by a conditional write.
func (r Resolution) Free() bool { return r.Known && r.Owner == 0 }

// Resolve returns the owner of a slot, or of a hot key, of a row. It follows the chain
// of heirs from the entry. In a row of an earlier timeline, a member of a later one owns only
// what it has claimed. If a closed generation on the chain has handed over slots
// in a later revision of the row, the row cannot determine the owner. A cycle of
// closed generations, each of which took another to be open, has no heir at its end,
// so its slots are free.
func (v *View) Resolve(row *SlotsRow, entry wire.Slot, slot uint32, hot string) Resolution {
	owner, epoch, transfer, since, token := entry.Owner, entry.Epoch, entry.TransferID, entry.AssignedAt, entry.Token
	// Brent's algorithm detects a cycle: mark moves to the current generation each
	// time the number of steps since the last move has doubled.
	mark, steps, limit := owner, 0, 1
	for {
		if owner == 0 {
			return Resolution{Epoch: epoch, Known: true}
		}
		m := v.members[owner]
		if m == nil {
			return Resolution{Epoch: epoch}
		}
		if owns, earlier := v.ownsByEarlierRow(m, row, slot, hot); earlier && !owns && !v.faults.IgnoreTimelines {
			return Resolution{Epoch: epoch}
		}
		if m.State != wire.StateClosed {
			return Resolution{Owner: owner, Epoch: epoch, TransferID: transfer, AssignedAt: since, Token: token, Known: true}
		}
		if releasedRevision(m, row.FirstSlot) > row.Revision && !v.faults.IgnoreReleases {
			return Resolution{Epoch: epoch}
		}
		owner, epoch, transfer, since, token = Heir(m.Heirs, slot, hot), epoch+1, 0, 0, ""
		if owner == mark {
			return Resolution{Epoch: epoch, Known: true}
		}
		if steps++; steps == limit {
			mark, steps, limit = owner, 0, 2*limit
		}
	}
}

func releasedRevision(m *MemberRow, first uint32) uint64 {
	for _, g := range m.ReleasedSlots {
		if g.FirstSlot == first {
			return g.Revision
		}
	}
	return 0
}
