package handover_test

import (
	"testing"

	"fulmarrun/handover"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

// viewWithCounts returns routes in which each member owns the given number of slots.
func viewWithCounts(t *testing.T, counts ...int) *routes.Snapshot {
	t.Helper()
	view := routes.NewView()
	put := func(key string, m wire.Message) {
		value, err := wire.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := view.Put(wire.Row{Key: key, Version: 1, Value: value}); err != nil {
			t.Fatal(err)
		}
	}
	var slots []wire.Slot
	for i, n := range counts {
		g := wire.Generation(i + 1)
		put(routes.MemberKey(g), &wire.Member{Generation: g, Service: "s"})
		for range n {
			slots = append(slots, wire.Slot{Owner: g, Epoch: 1})
		}
	}
	put(routes.SlotsKey("s", 0), &wire.Slots{Service: "s", TotalSlots: uint32(len(slots)), NumericKeys: true, Slots: slots})
	return view.Snapshot()
}

func TestPlanMinimal(t *testing.T) {
	for _, tc := range []struct {
		name   string
		counts []int
		// ineligible are the members that must not own slots.
		ineligible map[wire.Generation]bool
		// moves is the number of slots that each member moves away.
		moves []int
	}{
		{"slightly unequal shares", []int{12, 8, 6, 6}, nil, []int{0, 0, 0, 0}},
		{"a new member receives half of an equal share", []int{16, 16, 0}, nil, []int{2, 3, 0}},
		{"an ineligible member moves all its slots", []int{8, 8, 8}, map[wire.Generation]bool{2: true}, []int{0, 8, 0}},
		{"no eligible member", []int{8, 8}, map[wire.Generation]bool{1: true, 2: true}, []int{0, 0}},
	} {
		s := viewWithCounts(t, tc.counts...)
		eligible := func(o *routes.Owner) bool { return !tc.ineligible[o.Generation] }
		for i, want := range tc.moves {
			if got := len(handover.PlanMinimal(s, "s", eligible, wire.Generation(i+1))); got != want {
				t.Errorf("%s: member %d moves %d slots away, want %d", tc.name, i+1, got, want)
			}
		}
	}
}
