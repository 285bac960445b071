package handover_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fulmarrun/handover"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

const service = "agenda"

// viewOf returns the routes of members that own the slots as listed; a slot of
// owner zero is free.
func viewOf(members int, owners []int) *routes.View {
	v := routes.NewView()
	version := uint64(0)
	put := func(key string, value []byte, _ error) {
		version++
		_, _ = v.Put(wire.Row{Key: key, Version: version, Value: value})
	}
	for i := range members {
		m := wire.Member{Generation: wire.Generation(i + 1), Service: service, Instance: fmt.Sprint(i)}
		value, err := wire.Encode(&m)
		put(routes.MemberKey(m.Generation), value, err)
	}
	for first := 0; first < len(owners); first += routes.SlotsPerRow {
		row := wire.Slots{Service: service, TotalSlots: uint32(len(owners)), FirstSlot: uint32(first)}
		for _, o := range owners[first:min(first+routes.SlotsPerRow, len(owners))] {
			row.Slots = append(row.Slots, wire.Slot{Owner: wire.Generation(o), Epoch: 1})
		}
		value, err := wire.Encode(&row)
		put(routes.SlotsKey(service, uint32(first)), value, err)
	}
	return v
}

// planAll returns the moves of all members and what each owns after them.
func planAll(members int, owners []int, out func(int) bool) (moves []handover.Move, after []int) {
	return planWith(handover.Plan, members, owners, out)
}

func planWith(plan handover.PlanFunc, members int, owners []int, out func(int) bool) (moves []handover.Move, after []int) {
	s := viewOf(members, owners).Snapshot()
	eligible := func(o *routes.Owner) bool { return !out(int(o.Generation)) }
	after = slices.Clone(owners)
	for g := 1; g <= members; g++ {
		for _, m := range plan(s, service, eligible, wire.Generation(g)) {
			if after[m.Slot] != g {
				return nil, nil
			}
			after[m.Slot] = int(m.To)
			moves = append(moves, m)
		}
	}
	return moves, after
}

func shares(members int, owners []int) []int {
	out := make([]int, members+1)
	for _, o := range owners {
		out[o]++
	}
	return out
}

func TestPlanTable(t *testing.T) {
	for _, tc := range []struct {
		name    string
		members int
		owners  []int
		out     []int
		moves   int
	}{
		{"balanced", 2, []int{1, 1, 2, 2}, nil, 0},
		{"as balanced as can be", 3, []int{1, 1, 2, 3}, nil, 0},
		{"a new member", 3, []int{1, 1, 1, 2, 2, 2, 1, 2}, nil, 2},
		{"one is out", 3, []int{1, 1, 2, 2, 3, 3, 1, 2}, []int{3}, 2},
		{"all are out", 2, []int{1, 1, 1, 2}, []int{1, 2}, 0},
		{"free slots are nobody's", 2, []int{0, 0, 1, 2}, nil, 0},
		{"one owns all", 4, []int{2, 2, 2, 2, 2, 2, 2, 2}, nil, 6},
	} {
		moves, _ := planAll(tc.members, tc.owners, func(g int) bool { return slices.Contains(tc.out, g) })
		if len(moves) != tc.moves {
			t.Errorf("%s: %d moves, want %d: %v", tc.name, len(moves), tc.moves, moves)
		}
	}
}

// TestPlan checks that any assignment ends in equal shares by no more moves than
// needed, whoever works it out, and that nothing moves after that.
func TestPlan(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("shares", prop.ForAll(func(members int, raw []int, gone uint8) string {
		owners := make([]int, 64)
		for i := range owners {
			owners[i] = raw[i] % (members + 1)
		}
		out := func(g int) bool { return gone&(1<<(g%8)) != 0 }
		moves, after := planAll(members, owners, out)
		return judgePlan(members, owners, after, moves, out)
	}, gen.IntRange(1, 9), gen.SliceOfN(64, gen.IntRange(0, 1000)), gen.UInt8Range(0, 20)))
	properties.TestingRun(t)
}

func judgePlan(members int, owners, after []int, moves []handover.Move, out func(int) bool) string {
	if after == nil {
		return "a member gives what it does not own"
	}
	takers, owned := 0, 0
	before, now := shares(members, owners), shares(members, after)
	for g := 1; g <= members; g++ {
		owned += before[g]
		if !out(g) {
			takers++
		}
	}
	if takers == 0 {
		return map[bool]string{false: "moves with nobody to take"}[len(moves) == 0]
	}
	least, spare := owned/takers, owned%takers
	needed, over := 0, 0
	for g := 1; g <= members; g++ {
		switch {
		case out(g) && now[g] != 0:
			return "one that is out keeps slots"
		case !out(g) && (now[g] < least || now[g] > least+1):
			return fmt.Sprintf("shares %v", now[1:])
		}
		if out(g) {
			needed += before[g]
			continue
		}
		needed += max(0, before[g]-least-1)
		if before[g] > least {
			over++
		}
	}
	needed += max(0, over-spare)
	if len(moves) != needed {
		return fmt.Sprintf("%d moves where %d are needed", len(moves), needed)
	}
	if again, _ := planAll(members, after, out); len(again) != 0 {
		return "moves after the plan is done"
	}
	return ""
}

func BenchmarkPlan(b *testing.B) {
	for _, tc := range []struct{ members, slots int }{{10, 1024}, {100, 8192}, {100, 65536}} {
		b.Run(fmt.Sprintf("%d members, %d slots", tc.members, tc.slots), func(b *testing.B) {
			owners := make([]int, tc.slots)
			for i := range owners {
				owners[i] = 1 + i*tc.members/tc.slots
			}
			s := viewOf(tc.members, owners).Snapshot()
			eligible := func(*routes.Owner) bool { return true }
			b.ReportAllocs()
			for b.Loop() {
				handover.Plan(s, service, eligible, 1)
			}
		})
	}
}
