package routes_test

import (
	"math"
	"testing"

	"fulmarrun/routes"
	"fulmarrun/wire"
)

// TestOddRows merges rows that another writer has left in the tables. They must change nothing:
// a view that panics, or that needs gigabytes, ends each daemon that reads the row.
func TestOddRows(t *testing.T) {
	slots := func(change func(*wire.Slots)) wire.Row {
		row := &wire.Slots{Service: service, TotalSlots: 2, Revision: 9, Slots: []wire.Slot{{Owner: 2, Epoch: 9}, {Owner: 2, Epoch: 9}}}
		change(row)
		value, _ := wire.Encode(row)
		return wire.Row{Key: routes.SlotsKey(service, 0), Version: 9, Value: value}
	}
	for _, tc := range []struct {
		name string
		row  wire.Row
	}{
		{"more slots than memory", slots(func(s *wire.Slots) { s.TotalSlots = math.MaxUint32 })},
		{"no slots", slots(func(s *wire.Slots) { s.TotalSlots, s.Slots = 0, nil })},
		{"more entries than slots", slots(func(s *wire.Slots) { s.TotalSlots = 1 })},
		{"first slot beyond the last", slots(func(s *wire.Slots) { s.FirstSlot = 1 << 31 })},
		{"first slot within a row", slots(func(s *wire.Slots) { s.FirstSlot = 1 })},
		{"slots of another service", slots(func(s *wire.Slots) { s.Service = "other" })},
		{"member under the key of another", func() wire.Row {
			row := memberRow(closedMember(1, 0), 9)
			row.Key = routes.MemberKey(7)
			return row
		}()},
		{"member without a generation", memberRow(open(0), 9)},
		{"key that is no generation", wire.Row{Key: routes.MemberPrefix + "i-7f3a91c2", Version: 9, Value: memberRow(open(1), 9).Value}},
		{"unknown table", wire.Row{Key: "servers/i-7f3a91c2", Version: 9, Value: []byte{0xc0}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			v := routes.NewView()
			for _, row := range []wire.Row{memberRow(open(1), 1), memberRow(open(2), 2), slotsRow(1, 3, 1, 1)} {
				if _, err := v.Put(row); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := v.Put(tc.row); err == nil {
				t.Error("the row was merged")
			}
			route, ok := v.Snapshot().Lookup(service, "key")
			if !ok || route.Owner == nil || route.Owner.Generation != 1 || route.Epoch != 5 {
				t.Errorf("route %+v, known: %t", route, ok)
			}
		})
	}
}
