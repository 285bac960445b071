package routes

import (
	"fmt"
	"maps"
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
	rows     map[string]entry
	buckets  [BucketCount]uint64
	members  map[wire.Generation]*MemberRow
	services map[string]*service
	config   wire.Current
	snapshot *Snapshot
	dirty    bool
}

type service struct {
	rows  map[uint32]*SlotsRow
	dirty bool
}

// NewView returns a view that knows nothing.
func NewView() *View {
	return &View{
		rows:     make(map[string]entry),
		members:  make(map[wire.Generation]*MemberRow),
		services: make(map[string]*service),
		snapshot: newSnapshot(),
	}
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
	v.dirty = true
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
		for g, m := range v.members {
			if MemberKey(g) == row.Key {
				delete(v.members, g)
				v.touch(m.Service)
			}
		}
		return nil
	}
	m := &MemberRow{Version: row.Version}
	if err := wire.Decode(row.Value, &m.Member); err != nil {
		return err
	}
	v.members[m.Generation] = m
	v.touch(m.Service)
	return nil
}

func (v *View) parseSlots(row wire.Row) error {
	s := &SlotsRow{Version: row.Version}
	if err := wire.Decode(row.Value, &s.Slots); err != nil {
		return err
	}
	v.touch(s.Service)
	v.services[s.Service].rows[s.First] = s
	return nil
}

func (v *View) touch(name string) {
	s := v.services[name]
	if s == nil {
		s = &service{rows: make(map[uint32]*SlotsRow)}
		v.services[name] = s
	}
	s.dirty = true
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

// Members returns all member rows, closed ones too, by generation.
func (v *View) Members() []*MemberRow {
	all := slices.Collect(maps.Values(v.members))
	slices.SortFunc(all, func(a, b *MemberRow) int {
		if a.Generation < b.Generation {
			return -1
		}
		return 1
	})
	return all
}

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
	// Known is false if the chain leads to a generation whose row is not known
	// here; the slot is then neither owned nor free as far as this view goes.
	Known bool
}

// Free tells whether any conditional write may assign the slot.
func (r Resolution) Free() bool { return r.Known && r.Owner == 0 }

// Resolve tells who owns a slot, or a hot key, of a row, following the chain of
// heirs from its entry. A row that is older than what a closed generation on the
// chain has given away of it says nothing about that generation's slots.
func (v *View) Resolve(row *SlotsRow, entry wire.Slot, slot uint32, hot string) Resolution {
	owner, epoch, transfer := entry.Owner, entry.Epoch, entry.Transfer
	for range len(v.members) + 1 {
		if owner == 0 {
			return Resolution{Epoch: epoch, Known: true}
		}
		m := v.members[owner]
		if m == nil {
			return Resolution{Epoch: epoch}
		}
		if m.State != wire.StateClosed {
			return Resolution{Owner: owner, Epoch: epoch, Transfer: transfer, Known: true}
		}
		if givenNumber(m, row.First) > row.Number {
			return Resolution{Epoch: epoch}
		}
		owner, epoch, transfer = Heir(m.Heirs, slot, hot), epoch+1, 0
	}
	return Resolution{Epoch: epoch}
}

func givenNumber(m *MemberRow, first uint32) uint64 {
	for _, g := range m.Given {
		if g.First == first {
			return g.Number
		}
	}
	return 0
}

// Digest summarizes all rows in one number.
func (v *View) Digest() uint64 {
	var d uint64
	for i, b := range v.buckets {
		d ^= Mix(b, uint64(i)+1)
	}
	return d
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
