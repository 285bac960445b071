package routes_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"

	"fulmarrun/routes"
	"fulmarrun/wire"
)

func encoded(row *wire.Slots, version uint64) wire.Row {
	value, _ := wire.Encode(row)
	return wire.Row{Key: routes.SlotsKey(service, row.FirstSlot), Version: version, Value: value}
}

func slots() wire.Slots {
	row := wire.Slots{Service: service, TotalSlots: 32, Revision: 127, Change: "0198f000-0000-7000-8000-000000000000"}
	for i := range uint64(32) {
		row.Slots = append(row.Slots, wire.Slot{
			Owner: wire.Generation(routes.Mix(i, 1)), Epoch: 300 + i, TransferID: routes.Mix(i, 2), AssignedAt: 1_700_000_000,
		})
	}
	for i := range 3 {
		row.HotKeys = append(row.HotKeys, wire.HotKey{Key: fmt.Sprintf("key-%d", i), Slot: row.Slots[i]})
	}
	return row
}

// delta returns the delta that a view sends for the change from before to after.
func delta(t *testing.T, before, after wire.Row) wire.Delta {
	t.Helper()
	v := routes.NewView()
	_, _ = v.Put(before)
	_, _ = v.Put(after)
	_, deltas := v.UpdatesSince([]wire.Version{{Key: before.Key, Version: before.Version}})
	if len(deltas) != 1 {
		t.Fatalf("got %d deltas, want 1", len(deltas))
	}
	return deltas[0]
}

func TestDelta(t *testing.T) {
	for _, tc := range []struct {
		name         string
		alter        func(row *wire.Slots)
		maxBytes     int
		onlyHandover bool
	}{
		{"nothing", func(*wire.Slots) {}, 48, true},
		{"revision only, longer encoding", func(row *wire.Slots) { row.Revision++ }, 55, true},
		{"slot handed over", func(row *wire.Slots) {
			row.Slots[31] = wire.Slot{Owner: 1 << 60, Epoch: 302, TransferID: 1 << 59, AssignedAt: 1_700_000_099}
		}, 90, true},
		{"slot assigned", func(row *wire.Slots) { row.Slots[0] = wire.Slot{Owner: 1 << 60, Epoch: 302} }, 90, false},
		{"hot key added", func(row *wire.Slots) {
			row.HotKeys = append(row.HotKeys, wire.HotKey{Key: "key-9", Slot: row.Slots[9]})
		}, 95, true},
		{"hot key assigned", func(row *wire.Slots) { row.HotKeys[1].Owner, row.HotKeys[1].TransferID = 5, 0 }, 80, false},
		{"hot key removed", func(row *wire.Slots) { row.HotKeys = append(row.HotKeys[:1], row.HotKeys[2:]...) }, 60, true},
	} {
		first, next := slots(), slots()
		tc.alter(&next)
		before, after := encoded(&first, 1<<32), encoded(&next, 1<<32+1)
		d := delta(t, before, after)
		if size, _ := wire.Encode(&d); len(size) > tc.maxBytes {
			t.Errorf("%s: %d bytes", tc.name, len(size))
		}
		v := routes.NewView()
		_, _ = v.Put(before)
		change, isNew, err := v.Patch(d)
		if err != nil || !isNew || change != (routes.RowChange{BaseVersion: 1 << 32, OnlyHandover: tc.onlyHandover}) {
			t.Errorf("%s: %+v, %t, %v", tc.name, change, isNew, err)
		}
		if got, _ := v.Row(before.Key); got.Version != after.Version || !bytes.Equal(got.Value, after.Value) {
			t.Errorf("%s: Patch does not produce the new row", tc.name)
		}
	}
}

// TestPatchRefuses applies a delta from version 102 to 103 to views with another version,
// and invalid deltas to version 102.
func TestPatchRefuses(t *testing.T) {
	rows := make([]wire.Row, 5)
	for i := range rows {
		row := slots()
		row.Revision = uint64(i)
		rows[i] = encoded(&row, 100+uint64(i))
	}
	key := rows[0].Key
	deleted := wire.Row{Key: key, Version: 102, Deleted: true}
	good := delta(t, rows[2], rows[3])
	forged, long := good, good
	forged.Checksum++
	long.Edits = []wire.Edit{{Keep: 1 << 31, Drop: 1 << 31}}
	for _, tc := range []struct {
		name  string
		held  []wire.Row
		delta wire.Delta
		want  error
	}{
		{"nothing held", nil, good, routes.ErrWrongBase},
		{"an older one", rows[1:2], good, routes.ErrWrongBase},
		{"deleted", []wire.Row{deleted}, good, routes.ErrWrongBase},
		{"the same", rows[3:4], good, nil},
		{"a newer one", rows[4:5], good, nil},
		{"another checksum", rows[2:3], forged, routes.ErrInvalidDelta},
		{"beyond the value", rows[2:3], long, routes.ErrInvalidDelta},
	} {
		v := routes.NewView()
		for _, row := range tc.held {
			_, _ = v.Put(row)
		}
		before, _ := v.Row(key)
		_, isNew, err := v.Patch(tc.delta)
		if isNew || !errors.Is(err, tc.want) {
			t.Errorf("%s: new %t, %v", tc.name, isNew, err)
		}
		if after, _ := v.Row(key); after.Version != before.Version || !bytes.Equal(after.Value, before.Value) {
			t.Errorf("%s: the rejected delta changed the row", tc.name)
		}
	}
}

// history returns the successive versions of a row of slots in the table.
func history(rng *rand.Rand, length int) []wire.Row {
	row := slots()
	row.Revision = 200
	out := make([]wire.Row, 0, length)
	for version := range uint64(length) {
		row.Revision++
		row.Change = fmt.Sprintf("%016x", rng.Uint64())
		for range 1 + rng.IntN(3) {
			row.Slots[rng.IntN(32)] = wire.Slot{
				Owner: wire.Generation(rng.Uint64()), Epoch: 300 + rng.Uint64N(1<<12), TransferID: rng.Uint64(), AssignedAt: 1_700_000_000,
			}
		}
		switch at := rng.IntN(len(row.HotKeys) + 1); {
		case rng.IntN(3) > 0:
		case at == len(row.HotKeys):
			row.HotKeys = append(row.HotKeys, wire.HotKey{Key: fmt.Sprintf("key-%d", rng.IntN(100)), Slot: row.Slots[at]})
		default:
			row.HotKeys = append(row.HotKeys[:at:at], row.HotKeys[at+1:]...)
		}
		out = append(out, encoded(&row, 3*version+1))
	}
	return out
}

// runDeltas passes a history, with some versions missing, to one view, and its deltas
// to another view with losses, duplicates and in any order. Then both compare their
// rows once.
func runDeltas(seed uint64, faults routes.Faults) string {
	rng := rand.New(rand.NewPCG(seed, 1))
	rows := history(rng, 12)
	from, to := routes.NewView(), routes.NewView(routes.WithFaults(faults))
	_, _ = from.Put(rows[0])
	if rng.IntN(4) > 0 {
		_, _ = to.Put(rows[0])
	}
	var sent []wire.Delta
	for _, row := range rows[1:] {
		base, _ := from.Row(row.Key)
		if rng.IntN(5) == 0 {
			continue
		}
		_, _ = from.Put(row)
		_, deltas := from.UpdatesSince([]wire.Version{{Key: row.Key, Version: base.Version}})
		for range rng.IntN(3) {
			sent = append(sent, deltas...)
		}
	}
	if rng.IntN(2) == 0 {
		rng.Shuffle(len(sent), func(i, j int) { sent[i], sent[j] = sent[j], sent[i] })
	}
	for _, d := range sent {
		before, _ := to.Row(d.Key)
		_, _, _ = to.Patch(d)
		if after, _ := to.Row(d.Key); after.Version < before.Version {
			return "Patch replaced the row by an older version"
		}
		if problem := checkHistorical(to, rows); problem != "" {
			return problem
		}
	}
	exchange(to, from)
	got, _ := to.Row(rows[0].Key)
	want, _ := from.Row(rows[0].Key)
	if got.Version != want.Version || !bytes.Equal(got.Value, want.Value) {
		return fmt.Sprintf("version %d after the comparison, not %d", got.Version, want.Version)
	}
	return ""
}

func checkHistorical(v *routes.View, rows []wire.Row) string {
	held, known := v.Row(rows[0].Key)
	for _, row := range rows {
		if row.Version == held.Version && bytes.Equal(row.Value, held.Value) {
			return ""
		}
	}
	if !known {
		return ""
	}
	return fmt.Sprintf("version %d differs from the row in the table", held.Version)
}

func TestDeltas(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("a view holds only rows of the table, and the newest after one comparison", prop.ForAll(
		func(seed uint64) string { return runDeltas(seed, routes.Faults{}) }, gen.UInt64(),
	))
	properties.TestingRun(t)
	for seed := uint64(1); runDeltas(seed, routes.Faults{SkipBaseCheck: true}) == ""; seed++ {
		if seed == 100 {
			t.Fatal("the test does not detect deltas applied to a wrong base")
		}
	}
}

func FuzzPatch(f *testing.F) {
	row := slots()
	base := encoded(&row, 1)
	f.Add(uint32(0), uint32(4), []byte("x"), uint32(3))
	f.Fuzz(func(t *testing.T, keep, drop uint32, put []byte, sum uint32) {
		v := routes.NewView()
		_, _ = v.Put(base)
		_, isNew, err := v.Patch(wire.Delta{
			Key: base.Key, BaseVersion: 1, Version: 2, Checksum: sum, Edits: []wire.Edit{{Keep: keep, Drop: drop, Insert: put}, {Insert: put}},
		})
		if held, _ := v.Row(base.Key); isNew != (err == nil) || isNew != (held.Version == 2) {
			t.Errorf("new %t, version %d, %v", isNew, held.Version, err)
		}
	})
}

func BenchmarkDiff(b *testing.B) {
	v := routes.NewView()
	row := slots()
	version := uint64(1)
	for b.Loop() {
		row.Slots[version%32].Owner++
		row.Change = fmt.Sprintf("%016x-%016x", routes.Mix(version, 1), routes.Mix(version, 2))
		version++
		_, _ = v.Put(encoded(&row, version))
	}
}
