package routes_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fulmarrun/routes"
	"fulmarrun/wire"
)

const service = "agenda"

func memberRow(m wire.Member, version uint64) wire.Row {
	m.Service = service
	value, _ := wire.Encode(&m)
	return wire.Row{Key: routes.MemberKey(m.Generation), Version: version, Value: value}
}

func slotsRow(number, version uint64, owners ...wire.Generation) wire.Row {
	row := wire.Slots{Service: service, TotalSlots: uint32(len(owners)), Revision: number}
	for _, g := range owners {
		row.Slots = append(row.Slots, wire.Slot{Owner: g, Epoch: 5, TransferID: 9})
	}
	value, _ := wire.Encode(&row)
	return wire.Row{Key: routes.SlotsKey(service, 0), Version: version, Value: value}
}

func open(g wire.Generation) wire.Member { return wire.Member{Generation: g} }

func closedMember(g wire.Generation, revision uint64, heirs ...wire.Generation) wire.Member {
	m := wire.Member{Generation: g, State: wire.StateClosed, Heirs: heirs}
	if revision > 0 {
		m.ReleasedSlots = []wire.ReleasedSlots{{Revision: revision}}
	}
	return m
}

// TestResolve resolves a slot whose entry names generation 1 at epoch 5, in a row of
// revision 3.
func TestResolve(t *testing.T) {
	for _, tc := range []struct {
		name    string
		members []wire.Member
		owner   wire.Generation
		epoch   uint64
		known   bool
	}{
		{"open", []wire.Member{open(1)}, 1, 5, true},
		{"unknown generation", nil, 0, 5, false},
		{"closed with an heir", []wire.Member{closedMember(1, 0, 2), open(2)}, 2, 6, true},
		{"unknown heir", []wire.Member{closedMember(1, 0, 2)}, 0, 6, false},
		{"closed without heirs", []wire.Member{closedMember(1, 0)}, 0, 6, true},
		{"heir closed too", []wire.Member{closedMember(1, 0, 2), closedMember(2, 0, 3), open(3)}, 3, 7, true},
		{"released slots up to this revision", []wire.Member{closedMember(1, 3, 2), open(2)}, 2, 6, true},
		{"released slots in a later revision", []wire.Member{closedMember(1, 4, 2), open(2)}, 0, 5, false},
		{"heir released slots in a later revision", []wire.Member{closedMember(1, 0, 2), closedMember(2, 4, 3), open(3)}, 0, 6, false},
		{"open, released slots in a later revision", []wire.Member{{Generation: 1, ReleasedSlots: []wire.ReleasedSlots{{Revision: 4}}}}, 1, 5, true},
		{"cycle of two", []wire.Member{closedMember(1, 0, 2), closedMember(2, 0, 1)}, 0, 8, true},
		{"cycle after a tail", []wire.Member{closedMember(1, 0, 2), closedMember(2, 0, 3), closedMember(3, 0, 4), closedMember(4, 0, 2)}, 0, 0, true},
		{"its own heir", []wire.Member{closedMember(1, 0, 1)}, 0, 6, true},
	} {
		v := routes.NewView()
		for i, m := range tc.members {
			if isNew, err := v.Put(memberRow(m, uint64(i)+1)); !isNew || err != nil {
				t.Fatalf("%s: %t, %v", tc.name, isNew, err)
			}
		}
		_, _ = v.Put(slotsRow(3, 10, 1))
		row := v.SlotsRow(service, 0)
		r := v.Resolve(row, row.Slots.Slots[0], 0, "")
		if r.Owner != tc.owner || r.Known != tc.known || tc.epoch != 0 && r.Epoch != tc.epoch {
			t.Errorf("%s: %+v", tc.name, r)
		}
		if v.Snapshot().HasUnresolved(service) == r.Known {
			t.Errorf("%s: unresolved %t", tc.name, v.Snapshot().HasUnresolved(service))
		}
	}
}

// TestViews checks that two views converge when they exchange the rows that differ.
// Each view gets a random part of the same rows in random order.
func TestViews(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("converge", prop.ForAll(func(seed uint64) string {
		rng := rand.New(rand.NewPCG(seed, 1))
		rows := make([]wire.Row, 0, 60)
		for version := range uint64(60) {
			m := open(wire.Generation(1 + rng.IntN(12)))
			m.State = wire.State(rng.IntN(3))
			row := memberRow(m, version+1)
			if rng.IntN(8) == 0 {
				row.Deleted, row.Value = true, nil
			}
			rows = append(rows, row)
		}
		a, b := partialView(rng, rows), partialView(rng, rows)
		exchange(a, b)
		if groups, _ := a.DifferingGroups(b.GroupDigests()); len(groups) != 0 {
			return "digests differ"
		}
		return compareViews(a, b)
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// partialView returns a view with a random part of rows, put in random order. It
// checks that Put stores only newer rows.
func partialView(rng *rand.Rand, rows []wire.Row) *routes.View {
	v := routes.NewView()
	for _, i := range rng.Perm(len(rows)) {
		if rng.IntN(3) == 0 {
			continue
		}
		before, known := v.Row(rows[i].Key)
		isNew, err := v.Put(rows[i])
		if err != nil || isNew != (!known || before.Version < rows[i].Version) {
			panic(fmt.Sprintf("put version %d over %d: %t, %v", rows[i].Version, before.Version, isNew, err))
		}
	}
	return v
}

// exchange sends each of two views the rows that are newer in the other, as peers do.
func exchange(a, b *routes.View) {
	groups, digests := b.DifferingGroups(a.GroupDigests())
	buckets := a.DifferingBuckets(groups, digests)
	newer, older := b.CompareVersions(buckets, a.Versions(buckets))
	sendUpdates(b, a, newer)
	sendUpdates(a, b, older)
}

func sendUpdates(from, to *routes.View, have []wire.Version) {
	rows, deltas := from.UpdatesSince(have)
	for _, d := range deltas {
		_, _, _ = to.Patch(d)
	}
	for _, row := range rows {
		_, _ = to.Put(row)
	}
}

func compareViews(a, b *routes.View) string {
	if len(a.Members()) != len(b.Members()) {
		return fmt.Sprintf("%d and %d members", len(a.Members()), len(b.Members()))
	}
	open := 0
	for i, m := range a.Members() {
		if n := b.Members()[i]; m.Version != n.Version || m.Generation != n.Generation {
			return fmt.Sprintf("%+v and %+v", m, n)
		}
		if m.State != wire.StateClosed {
			open++
		}
	}
	if sa, sb := a.Snapshot(), b.Snapshot(); len(sa.AllMembers()) != open || len(sa.Members(service)) != open || len(sb.AllMembers()) != open {
		return fmt.Sprintf("%d open members, %d in the snapshot", open, len(sa.AllMembers()))
	}
	return ""
}

func TestSnapshotReused(t *testing.T) {
	v := routes.NewView()
	_, _ = v.Put(memberRow(open(1), 1))
	_, _ = v.Put(slotsRow(1, 2, 1, 1))
	before := v.Snapshot()
	changed := open(1)
	changed.Witnesses = []wire.Generation{2}
	_, _ = v.Put(memberRow(changed, 3))
	if v.Snapshot() != before || v.Member(1).Version != 3 {
		t.Error("a change of witnesses made a new snapshot, or was lost")
	}
	_, _ = v.Put(memberRow(closedMember(1, 0), 4))
	if after := v.Snapshot(); after == before || after.Owner(1) != nil || after.SameService(before, service) {
		t.Error("a closed member is still in the snapshot")
	}
}

func populatedView(members, slots int) *routes.View {
	v := routes.NewView()
	for g := range members {
		_, _ = v.Put(memberRow(open(wire.Generation(g+1)), 1))
	}
	for first := 0; first < slots; first += routes.SlotsPerRow {
		row := wire.Slots{Service: service, TotalSlots: uint32(slots), FirstSlot: uint32(first)}
		for i := range routes.SlotsPerRow {
			row.Slots = append(row.Slots, wire.Slot{Owner: wire.Generation((first+i)*members/slots + 1), Epoch: 1})
		}
		value, _ := wire.Encode(&row)
		_, _ = v.Put(wire.Row{Key: routes.SlotsKey(service, row.FirstSlot), Version: 1, Value: value})
	}
	return v
}

func TestLookupAllocates(t *testing.T) {
	s := populatedView(10, 1024).Snapshot()
	if n := testing.AllocsPerRun(100, func() { s.Lookup(service, "visit-17") }); n != 0 {
		t.Errorf("got %v allocations per Lookup, want 0", n)
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, slots := range []int{1024, 65536} {
		b.Run(fmt.Sprint(slots), func(b *testing.B) {
			s := populatedView(100, slots).Snapshot()
			b.ReportAllocs()
			for b.Loop() {
				s.Lookup(service, "visit-17")
			}
		})
	}
}

// BenchmarkPut measures Put of a newer row of slots and the snapshot after it.
func BenchmarkPut(b *testing.B) {
	for _, tc := range []struct{ members, slots int }{{10, 1024}, {100, 8192}, {3500, 8192}, {100, 65536}} {
		b.Run(fmt.Sprintf("%d members, %d slots", tc.members, tc.slots), func(b *testing.B) {
			v := populatedView(tc.members, tc.slots)
			row, _ := v.Row(routes.SlotsKey(service, 0))
			b.ReportAllocs()
			for b.Loop() {
				row.Version++
				_, _ = v.Put(row)
				v.Snapshot()
			}
		})
	}
}
