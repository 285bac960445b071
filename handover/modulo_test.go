package handover_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fulmarrun/handover"
)

// TestPlanModulo checks that every assignment converges to the same one, within one slot
// of equal shares, and that nothing moves afterwards.
func TestPlanModulo(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("modulo", prop.ForAll(func(members int, raw []int, ineligibleBits uint8) string {
		ineligible := func(g int) bool { return ineligibleBits&(1<<(g%8)) != 0 }
		owners := make([]int, len(raw))
		for i := range owners {
			owners[i] = 1 + raw[i]%members
		}
		moves, after := planWith(handover.PlanModulo, members, owners, ineligible)
		return checkModulo(members, owners, after, moves, ineligible)
	}, gen.IntRange(1, 9), gen.SliceOfN(64, gen.IntRange(0, 1000)), gen.UInt8Range(0, 20)))
	properties.TestingRun(t)
}

func checkModulo(members int, owners, after []int, moves []handover.Move, ineligible func(int) bool) string {
	var receivers []int
	for g := 1; g <= members; g++ {
		if !ineligible(g) {
			receivers = append(receivers, g)
		}
	}
	if len(receivers) == 0 {
		return map[bool]string{false: "moves with nobody to take"}[len(moves) == 0]
	}
	for slot, owner := range after {
		if owner != receivers[slot%len(receivers)] {
			return fmt.Sprintf("slot %d is owned by %d: %v", slot, owner, after)
		}
	}
	now := slotCounts(members, after)
	for _, g := range receivers {
		if minimum := len(owners) / len(receivers); now[g] < minimum || now[g] > minimum+1 {
			return fmt.Sprintf("shares %v are not equal", now[1:])
		}
	}
	if again, _ := planWith(handover.PlanModulo, members, owners, ineligible); !slices.Equal(again, moves) {
		return "different plan for the same rows"
	}
	if remaining, _ := planWith(handover.PlanModulo, members, after, ineligible); len(remaining) != 0 {
		return "moves remain after the plan was applied"
	}
	return ""
}
