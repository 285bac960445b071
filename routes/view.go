package routes

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"fulmarrun/wire"
)

// ErrUnknownRow is returned for a row that is of no kind known here.
var ErrUnknownRow = errors.New("row of unknown kind")

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

// View is everything that one daemon knows of the table. It belongs to the
// control goroutine.
type View struct {
	rows    map[string]entry
	buckets [bucketCount]bucket
	history history
	members map[wire.Generation]*MemberRow
	// ordered are the members by generation.
	ordered []*MemberRow
	// changes counts the changes of who is a member and in which state.
	changes  uint64
	services map[string]*service
	config   wire.CurrentConfig
	snapshot *Snapshot
	dirty    bool
	faults   Faults
}

type service struct {
	rows map[uint32]*SlotsRow
	// open are the members that are not closed, by generation.
	open  []*MemberRow
	dirty bool
}

// NewView returns a view that knows nothing.
func NewView(opts ...Option) *View {
	v := &View{
		rows:     make(map[string]entry),
		members:  make(map[wire.Generation]*MemberRow),
		services: make(map[string]*service),
		snapshot: newSnapshot(),
	}
	for _, opt := range opts {
		opt(v)
	}
	return v
}

// RowChange tells what a row that was taken in has changed.
type RowChange struct {
	// BaseVersion is the version that the row had before; zero if it was not known.
	BaseVersion uint64
	// OnlyHandover is true if nothing has changed but what an owner has given to
	// others: those tell each other, and the rest may learn of it later.
	OnlyHandover bool
}

// Put takes in a row and reports whether it was news. A row that is not newer
// than the one known is dropped.
func (v *View) Put(row wire.Row) (bool, error) {
	_, isNew, err := v.Apply(row)
	return isNew, err
}

// Apply is Put, and tells what has changed.
func (v *View) Apply(row wire.Row) (RowChange, bool, error) {
	old, known := v.rows[row.Key]
	if known && row.Version <= old.row.Version {
		return RowChange{}, false, nil
	}
	if !known || old.row.Deleted || row.Deleted {
		return v.take(row, nil)
	}
	d := diff(old.row, row)
	return v.take(row, &d)
}

// Patch takes in what has changed in a row. It is ErrWrongBase if the version that is
// known here is older than the delta's and not its base.
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
	return v.take(row, &d)
}

// take puts a row that is newer in the place of the one known; d, if any, is the
// change from that.
func (v *View) take(row wire.Row, d *wire.Delta) (RowChange, bool, error) {
	old, known := v.rows[row.Key]
	news := RowChange{BaseVersion: old.row.Version}
	var err error
	if news.OnlyHandover, err = v.parse(row); err != nil {
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
	return news, true, nil
}

// parse takes in what a row says; handOver is that of News.
func (v *View) parse(row wire.Row) (handOver bool, err error) {
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

func (v *View) parseMember(row wire.Row) (handOver bool, err error) {
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
	old := v.members[m.Generation]
	v.replaceMember(old, m)
	return old != nil && onlyGave(old, m), nil
}

// onlyGave tells whether an open member has at most given slots away.
func onlyGave(old, next *MemberRow) bool {
	return isOpen(old) && ownerOf(old) == ownerOf(next) && slices.Equal(old.Witnesses, next.Witnesses)
}

// replaceMember puts next in the place of old; either may be nil. What routes do
// not depend on, such as the witnesses of an open member, makes no new snapshot.
func (v *View) replaceMember(old, next *MemberRow) {
	if next == nil {
		delete(v.members, old.Generation)
		v.ordered = without(v.ordered, old)
	} else {
		v.members[next.Generation] = next
		v.ordered = with(v.ordered, next)
	}
	if old != nil && next != nil && isOpen(old) && isOpen(next) && ownerOf(old) == ownerOf(next) {
		s := v.services[next.Service]
		s.open = with(s.open, next)
		return
	}
	v.changes++
	if old != nil {
		s := v.touch(old.Service)
		s.open = without(s.open, old)
	}
	if next == nil {
		return
	}
	if s := v.touch(next.Service); isOpen(next) {
		s.open = with(s.open, next)
	}
}

func isOpen(m *MemberRow) bool { return m.State != wire.StateClosed }

func byGeneration(m *MemberRow, g wire.Generation) int { return cmp.Compare(m.Generation, g) }

// with returns the ordered members with m in the place of its generation.
func with(members []*MemberRow, m *MemberRow) []*MemberRow {
	i, found := slices.BinarySearchFunc(members, m.Generation, byGeneration)
	if found {
		members[i] = m
		return members
	}
	return slices.Insert(members, i, m)
}

// without returns the ordered members without the generation of m.
func without(members []*MemberRow, m *MemberRow) []*MemberRow {
	i, found := slices.BinarySearchFunc(members, m.Generation, byGeneration)
	if !found {
		return members
	}
	return slices.Delete(members, i, i+1)
}

func (v *View) parseSlots(row wire.Row) (handOver bool, err error) {
	s := &SlotsRow{Version: row.Version}
	if err := wire.Decode(row.Value, &s.Slots); err != nil {
		return false, err
	}
	rows := v.touch(s.Service).rows
	old := rows[s.FirstSlot]
	rows[s.FirstSlot] = s
	return old != nil && onlyHandOvers(old, s), nil
}

// onlyHandOvers tells whether all that is new in a row of slots was handed over
// by its owner.
func onlyHandOvers(old, next *SlotsRow) bool {
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

func (v *View) touch(name string) *service {
	s := v.services[name]
	if s == nil {
		s = &service{rows: make(map[uint32]*SlotsRow)}
		v.services[name] = s
	}
	s.dirty, v.dirty = true, true
	return s
}

// Config returns the configuration row; its Number is zero before the first.
func (v *View) Config() wire.CurrentConfig { return v.config }

// Row returns the row with the given key.
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

// Members returns all member rows, closed ones too, by generation. The slice is
// shared: it must not be changed and holds until the next Put.
func (v *View) Members() []*MemberRow { return v.ordered }

// MemberChanges counts how often it has changed who is a member, or in which state.
func (v *View) MemberChanges() uint64 { return v.changes }

// SlotsRow returns the row of slots that starts at first, or nil.
func (v *View) SlotsRow(serviceName string, first uint32) *SlotsRow {
	s := v.services[serviceName]
	if s == nil {
		return nil
	}
	return s.rows[first]
}

// Resolution is who owns a slot or a hot key.
type Resolution struct {
	// Owner is zero if there is none.
	Owner wire.Generation
	Epoch uint64
	// TransferID names the hand-over that gave it to Owner; zero if there was none.
	TransferID uint64
	// AssignedAt is when the entry was written for Owner; zero if Owner inherits it from
	// a closed generation that the entry still names.
	AssignedAt wire.UnixTime
	// Token is that of the entry; empty if Owner inherits it.
	Token string
	// Known is false if the chain leads to a generation whose row is not known
	// here; the slot is then neither owned nor free as far as this view goes.
	Known bool
}

// Free tells whether any conditional write may assign the slot.
func (r Resolution) Free() bool { return r.Known && r.Owner == 0 }

// Resolve tells who owns a slot, or a hot key, of a row, following the chain of
// heirs from its entry. A row that is older than what a closed generation on the
// chain has given away of it says nothing about that generation's slots.
// A circle of closed generations, each of which took another for open, has no
// heir at its end, so that its slots are free.
func (v *View) Resolve(row *SlotsRow, entry wire.Slot, slot uint32, hot string) Resolution {
	owner, epoch, transfer, since, token := entry.Owner, entry.Epoch, entry.TransferID, entry.AssignedAt, entry.Token
	// Brent's algorithm finds a circle: mark moves to the present generation
	// whenever the steps since have doubled.
	mark, steps, limit := owner, 0, 1
	for {
		if owner == 0 {
			return Resolution{Epoch: epoch, Known: true}
		}
		m := v.members[owner]
		if m == nil {
			return Resolution{Epoch: epoch}
		}
		if m.State != wire.StateClosed {
			return Resolution{Owner: owner, Epoch: epoch, TransferID: transfer, AssignedAt: since, Token: token, Known: true}
		}
		if givenNumber(m, row.FirstSlot) > row.Revision && !v.faults.IgnoreReleases {
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

func givenNumber(m *MemberRow, first uint32) uint64 {
	for _, g := range m.ReleasedSlots {
		if g.FirstSlot == first {
			return g.Revision
		}
	}
	return 0
}
