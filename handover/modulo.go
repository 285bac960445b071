package handover

import (
	"cmp"
	"slices"

	"fulmarrun/routes"
	"fulmarrun/wire"
)

// PlanFunc returns the moves that self, as an owner, should make. It must return
// the same for the same snapshot, and only moves of what self owns.
type PlanFunc func(s *routes.Snapshot, service string, eligible func(*routes.Owner) bool, self wire.Generation) []Move

// PlanModulo is the baseline for Plan: slot i belongs to the i mod n-th of the n
// eligible members, by instance. It costs the move of most slots whenever n changes.
func PlanModulo(s *routes.Snapshot, service string, eligible func(*routes.Owner) bool, self wire.Generation) []Move {
	shares := survey(s, service, eligible)
	takers := takersByInstance(shares)
	own := slices.IndexFunc(shares, func(sh *share) bool { return sh.owner.Generation == self })
	if own < 0 || len(takers) == 0 {
		return nil
	}
	var moves []Move
	for _, slot := range shares[own].slots {
		to := takers[int(slot)%len(takers)].owner.Generation
		if to != self {
			moves = append(moves, Move{Service: service, Slot: slot, To: to})
		}
	}
	return append(moves, keyMoves(service, shares, self)...)
}

func takersByInstance(shares []*share) []*share {
	var takers []*share
	for _, sh := range shares {
		if sh.eligible {
			takers = append(takers, sh)
		}
	}
	slices.SortFunc(takers, func(a, b *share) int {
		return cmp.Or(cmp.Compare(a.owner.Instance, b.owner.Instance), cmp.Compare(a.owner.Generation, b.owner.Generation))
	})
	return takers
}
