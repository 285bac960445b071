package handover

import (
	"cmp"
	"slices"

	"fulmarrun/routes"
	"fulmarrun/wire"
)

// looseShare is the part of an even share, as a divisor, that a member is given
// whatever its load.
const looseShare = 2

// PlanMinimal is the plan for services whose slots differ so much in load that even
// numbers of them mean little: it moves what must go, and what a member lacks to half
// of an even share. Relief does the rest.
func PlanMinimal(s *routes.Snapshot, service string, eligible func(*routes.Owner) bool, self wire.Generation) []Move {
	return planTo(setLooseGoals, s, service, eligible, self)
}

// setLooseGoals leaves everybody who may own with what it has, and shares what
// others have among those with the fewest.
func setLooseGoals(shares []*share) {
	var takers []*share
	total, free := 0, 0
	for _, sh := range shares {
		total += len(sh.slots)
		sh.goal = len(sh.slots)
		if sh.eligible {
			takers = append(takers, sh)
			continue
		}
		free += len(sh.slots)
	}
	if len(takers) == 0 {
		return
	}
	for _, sh := range shares {
		if !sh.eligible {
			sh.goal = 0
		}
	}
	for range free {
		fewest(takers).goal++
	}
	least := total / len(takers) / looseShare
	for fewest(takers).goal < least {
		fewest(takers).goal++
		most(takers).goal--
	}
}

func byGoal(a, b *share) int {
	return cmp.Or(cmp.Compare(a.goal, b.goal), cmp.Compare(a.owner.Generation, b.owner.Generation))
}

func fewest(shares []*share) *share { return slices.MinFunc(shares, byGoal) }
func most(shares []*share) *share   { return slices.MaxFunc(shares, byGoal) }
