package handover

import (
	"cmp"
	"slices"

	"fulmarrun/routes"
	"fulmarrun/wire"
)

// minimumDivisor divides an equal share of the slots to give the minimum that every
// eligible member receives regardless of load.
const minimumDivisor = 2

// PlanMinimal is the plan for services whose slots differ so much in load that equal
// counts don't balance it: it moves the slots of ineligible members, and raises every
// eligible member to half of an equal share. PlanRelief balances the rest.
func PlanMinimal(s *routes.Snapshot, service string, eligible func(*routes.Owner) bool, self wire.Generation) []Move {
	return planWithGoals(setMinimalGoals, s, service, eligible, self)
}

// setMinimalGoals keeps the slots of eligible members, distributes those of ineligible
// members to the members with the fewest, and then raises all to the minimum.
func setMinimalGoals(shares []*share) {
	var receivers []*share
	total, surrendered := 0, 0
	for _, sh := range shares {
		total += len(sh.slots)
		sh.goal = len(sh.slots)
		if sh.eligible {
			receivers = append(receivers, sh)
			continue
		}
		surrendered += len(sh.slots)
	}
	if len(receivers) == 0 {
		return
	}
	for _, sh := range shares {
		if !sh.eligible {
			sh.goal = 0
		}
	}
	for range surrendered {
		minGoal(receivers).goal++
	}
	minimum := total / len(receivers) / minimumDivisor
	for minGoal(receivers).goal < minimum {
		minGoal(receivers).goal++
		maxGoal(receivers).goal--
	}
}

func compareGoals(a, b *share) int {
	return cmp.Or(cmp.Compare(a.goal, b.goal), cmp.Compare(a.owner.Generation, b.owner.Generation))
}

func minGoal(shares []*share) *share { return slices.MinFunc(shares, compareGoals) }
func maxGoal(shares []*share) *share { return slices.MaxFunc(shares, compareGoals) }
