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

// viewOf returns the routes of members that own the slots as listed; a slot of owner zero
// is free.
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

// planEven applies the moves of all members by Plan, and returns them and the resulting
// owner of each slot.
func planEven(members int, owners []int, ineligible func(int) bool) (moves []handover.Move, after []int) {
	return planWith(handover.Plan, members, owners, ineligible)
}

func planWith(plan handover.PlanFunc, members int, owners []int, ineligible func(int) bool) (moves []handover.Move, after []int) {
	s := viewOf(members, owners).Snapshot()
	eligible := func(o *routes.Owner) bool { return !ineligible(int(o.Generation)) }
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

func slotCounts(members int, owners []int) []int {
	ineligible := make([]int, members+1)
	for _, o := range owners {
		ineligible[o]++
	}
	return ineligible
}

func TestPlanTable(t *testing.T) {
	for _, tc := range []struct {
		name       string
		members    int
		owners     []int
		ineligible []int
		moves      int
	}{
		{"balanced", 2, []int{1, 1, 2, 2}, nil, 0},
		{"as balanced as possible", 3, []int{1, 1, 2, 3}, nil, 0},
		{"a new member", 3, []int{1, 1, 1, 2, 2, 2, 1, 2}, nil, 2},
		{"one member is ineligible", 3, []int{1, 1, 2, 2, 3, 3, 1, 2}, []int{3}, 2},
		{"all members are ineligible", 2, []int{1, 1, 1, 2}, []int{1, 2}, 0},
		{"free slots are not moved", 2, []int{0, 0, 1, 2}, nil, 0},
		{"one owns all", 4, []int{2, 2, 2, 2, 2, 2, 2, 2}, nil, 6},
	} {
		moves, _ := planEven(tc.members, tc.owners, func(g int) bool { return slices.Contains(tc.ineligible, g) })
		if len(moves) != tc.moves {
			t.Errorf("%s: %d moves, want %d: %v", tc.name, len(moves), tc.moves, moves)
		}
	}
}

// TestPlan checks that every assignment converges to equal shares by the minimum number of
// moves, with each member planning by itself, and that nothing moves afterwards.
func TestPlan(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("shares", prop.ForAll(func(members int, raw []int, ineligibleBits uint8) string {
		owners := make([]int, 64)
		for i := range owners {
			owners[i] = raw[i] % (members + 1)
		}
		ineligible := func(g int) bool { return ineligibleBits&(1<<(g%8)) != 0 }
		moves, after := planEven(members, owners, ineligible)
		return checkPlan(members, owners, after, moves, ineligible)
	}, gen.IntRange(1, 9), gen.SliceOfN(64, gen.IntRange(0, 1000)), gen.UInt8Range(0, 20)))
	properties.TestingRun(t)
}

func checkPlan(members int, owners, after []int, moves []handover.Move, ineligible func(int) bool) string {
	if after == nil {
		return "a member moves a slot that it does not own"
	}
	receivers, owned := 0, 0
	before, now := slotCounts(members, owners), slotCounts(members, after)
	for g := 1; g <= members; g++ {
		owned += before[g]
		if !ineligible(g) {
			receivers++
		}
	}
	if receivers == 0 {
		return map[bool]string{false: "moves with nobody to take"}[len(moves) == 0]
	}
	minimum, remainder := owned/receivers, owned%receivers
	needed, above := 0, 0
	for g := 1; g <= members; g++ {
		switch {
		case ineligible(g) && now[g] != 0:
			return "an ineligible member keeps slots"
		case !ineligible(g) && (now[g] < minimum || now[g] > minimum+1):
			return fmt.Sprintf("shares %v are not equal", now[1:])
		}
		if ineligible(g) {
			needed += before[g]
			continue
		}
		needed += max(0, before[g]-minimum-1)
		if before[g] > minimum {
			above++
		}
	}
	needed += max(0, above-remainder)
	if len(moves) != needed {
		return fmt.Sprintf("%d moves, but %d are needed", len(moves), needed)
	}
	if again, _ := planEven(members, after, ineligible); len(again) != 0 {
		return "moves remain after the plan was applied"
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
