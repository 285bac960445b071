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

// TestPlanModulo checks that any assignment ends in the same one, within one slot
// of equal shares, and that nothing moves after that.
func TestPlanModulo(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("modulo", prop.ForAll(func(members int, raw []int, gone uint8) string {
		out := func(g int) bool { return gone&(1<<(g%8)) != 0 }
		owners := make([]int, len(raw))
		for i := range owners {
			owners[i] = 1 + raw[i]%members
		}
		moves, after := planWith(handover.PlanModulo, members, owners, out)
		return judgeModulo(members, owners, after, moves, out)
	}, gen.IntRange(1, 9), gen.SliceOfN(64, gen.IntRange(0, 1000)), gen.UInt8Range(0, 20)))
	properties.TestingRun(t)
}

func judgeModulo(members int, owners, after []int, moves []handover.Move, out func(int) bool) string {
	var takers []int
	for g := 1; g <= members; g++ {
		if !out(g) {
			takers = append(takers, g)
		}
	}
	if len(takers) == 0 {
		return map[bool]string{false: "moves with nobody to take"}[len(moves) == 0]
	}
	for slot, owner := range after {
		if owner != takers[slot%len(takers)] {
			return fmt.Sprintf("slot %d is owned by %d: %v", slot, owner, after)
		}
	}
	now := shares(members, after)
	for _, g := range takers {
		if least := len(owners) / len(takers); now[g] < least || now[g] > least+1 {
			return fmt.Sprintf("shares %v", now[1:])
		}
	}
	if again, _ := planWith(handover.PlanModulo, members, owners, out); !slices.Equal(again, moves) {
		return "another plan for the same rows"
	}
	if rest, _ := planWith(handover.PlanModulo, members, after, out); len(rest) != 0 {
		return "moves after the plan is done"
	}
	return ""
}
