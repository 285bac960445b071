package routes

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"fulmarrun/wire"
)

// BucketCount is the number of buckets in which two daemons compare their rows.
const BucketCount = 64

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
	buckets [BucketCount]uint64
	members map[wire.Generation]*MemberRow
	// ordered are the members by generation.
	ordered []*MemberRow
	// changes counts the changes of who is a member and in which state.
	changes  uint64
	services map[string]*service
	config   wire.Current
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

// Put takes in a row and reports whether it was news. A row that is not newer
// than the one known is dropped.
func (v *View) Put(row wire.Row) (bool, error) {
	old, known := v.rows[row.Key]
	if known && row.Version <= old.row.Version {
		return false, nil
	}
	if err := v.parse(row); err != nil {
		return false, fmt.Errorf("row %q: %w", row.Key, err)
	}
	e := entry{row: row, digest: rowDigest(row)}
	bucket := bucketOf(row.Key)
	v.buckets[bucket] ^= old.digest ^ e.digest
	v.rows[row.Key] = e
	return true, nil
}

func (v *View) parse(row wire.Row) error {
	switch {
	case isMemberKey(row.Key):
		return v.parseMember(row)
	case isSlotsKey(row.Key):
		return v.parseSlots(row)
	case row.Key == ConfigKey:
		var c wire.Current
		if err := wire.Decode(row.Value, &c); err != nil {
			return err
		}
		v.config = c
		return nil
	default:
		return ErrUnknownRow
	}
}

func (v *View) parseMember(row wire.Row) error {
	if row.Deleted {
		if g, ok := memberOf(row.Key); ok && v.members[g] != nil {
			v.replaceMember(v.members[g], nil)
		}
		return nil
	}
	m := &MemberRow{Version: row.Version}
	if err := wire.Decode(row.Value, &m.Member); err != nil {
		return err
	}
	v.replaceMember(v.members[m.Generation], m)
	return nil
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

func (v *View) parseSlots(row wire.Row) error {
	s := &SlotsRow{Version: row.Version}
	if err := wire.Decode(row.Value, &s.Slots); err != nil {
		return err
	}
	v.touch(s.Service).rows[s.First] = s
	return nil
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
func (v *View) Config() wire.Current { return v.config }

// Row returns the row with the given key.
func (v *View) Row(key string) (wire.Row, bool) {
	e, ok := v.rows[key]
	return e.row, ok
}

// Member returns the row of a generation, or nil.
func (v *View) Member(g wire.Generation) *MemberRow { return v.members[g] }

// Members returns all member rows, closed ones too, by generation. The slice is
// shared: it must not be changed and holds until the next Put.
func (v *View) Members() []*MemberRow { return v.ordered }

// Changes counts how often it has changed who is a member, or in which state.
func (v *View) Changes() uint64 { return v.changes }

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
	// Transfer names the hand-over that gave it to Owner; zero if there was none.
	Transfer uint64
	// Since is when the entry was written for Owner; zero if Owner inherits it from
	// a closed generation that the entry still names.
	Since wire.Moment
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
	owner, epoch, transfer, since := entry.Owner, entry.Epoch, entry.Transfer, entry.Since
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
			return Resolution{Owner: owner, Epoch: epoch, Transfer: transfer, Since: since, Known: true}
		}
		if givenNumber(m, row.First) > row.Number && !v.faults.IgnoreGiven {
			return Resolution{Epoch: epoch}
		}
		owner, epoch, transfer, since = Heir(m.Heirs, slot, hot), epoch+1, 0, 0
		if owner == mark {
			return Resolution{Epoch: epoch, Known: true}
		}
		if steps++; steps == limit {
			mark, steps, limit = owner, 0, 2*limit
		}
	}
}

func givenNumber(m *MemberRow, first uint32) uint64 {
	for _, g := range m.Given {
		if g.First == first {
			return g.Number
		}
	}
	return 0
}

// Buckets returns one digest for each bucket of rows.
func (v *View) Buckets() []uint64 { return slices.Clone(v.buckets[:]) }

// Differing returns the buckets that differ from those given.
func (v *View) Differing(other []uint64) []uint32 {
	var out []uint32
	for i, b := range v.buckets {
		if i >= len(other) || other[i] != b {
			out = append(out, uint32(i))
		}
	}
	return out
}

// Versions lists what is known in the named buckets.
func (v *View) Versions(buckets []uint32) []wire.Version {
	var out []wire.Version
	for key, e := range v.rows {
		if slices.Contains(buckets, uint32(bucketOf(key))) {
			out = append(out, wire.Version{Key: key, Version: e.row.Version})
		}
	}
	return out
}

// Newer returns the rows in the named buckets that are newer than those listed.
func (v *View) Newer(buckets []uint32, have []wire.Version) []wire.Row {
	known := make(map[string]uint64, len(have))
	for _, h := range have {
		known[h.Key] = h.Version
	}
	var out []wire.Row
	for key, e := range v.rows {
		if slices.Contains(buckets, uint32(bucketOf(key))) && e.row.Version > known[key] {
			out = append(out, e.row)
		}
	}
	slices.SortFunc(out, func(a, b wire.Row) int { return strings.Compare(a.Key, b.Key) })
	return out
}

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % BucketCount) }

func rowDigest(row wire.Row) uint64 { return Mix(xxhash.Sum64String(row.Key), row.Version) }
