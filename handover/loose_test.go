package handover_test

import (
	"testing"

	"fulmarrun/handover"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

// looseView has members own given numbers of slots.
func looseView(t *testing.T, counts ...int) *routes.Snapshot {
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

func TestPlanLoose(t *testing.T) {
	for _, tc := range []struct {
		name   string
		counts []int
		// away are the members that may not own.
		away map[wire.Generation]bool
		// given is what each member gives away.
		given []int
	}{
		{"uneven, but not by much", []int{12, 8, 6, 6}, nil, []int{0, 0, 0, 0}},
		{"a newcomer gets half of an even share", []int{16, 16, 0}, nil, []int{2, 3, 0}},
		{"one must give all", []int{8, 8, 8}, map[wire.Generation]bool{2: true}, []int{0, 8, 0}},
		{"nobody may own", []int{8, 8}, map[wire.Generation]bool{1: true, 2: true}, []int{0, 0}},
	} {
		s := looseView(t, tc.counts...)
		eligible := func(o *routes.Owner) bool { return !tc.away[o.Generation] }
		for i, want := range tc.given {
			if got := len(handover.PlanLoose(s, "s", eligible, wire.Generation(i+1))); got != want {
				t.Errorf("%s: member %d gives %d away, want %d", tc.name, i+1, got, want)
			}
		}
	}
}
