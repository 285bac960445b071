package handover

import (
	"cmp"
	"slices"

	"fulmarrun/routes"
	"fulmarrun/wire"
)

// PlanFunc returns the moves that self, as an owner, should make. It must be deterministic
// for a snapshot, and must return only moves of slots and keys that self owns.
type PlanFunc func(s *routes.Snapshot, service string, eligible func(*routes.Owner) bool, self wire.Generation) []Move

// PlanModulo is the baseline to compare Plan with: slot i is assigned to the (i mod n)-th
// of the n eligible members, ordered by instance. It moves most slots whenever n changes.
func PlanModulo(s *routes.Snapshot, service string, eligible func(*routes.Owner) bool, self wire.Generation) []Move {
	shares := memberShares(s, service, eligible)
	receivers := eligibleByInstance(shares)
	selfIndex := slices.IndexFunc(shares, func(sh *share) bool { return sh.owner.Generation == self })
	if selfIndex < 0 || len(receivers) == 0 {
		return nil
	}
	var moves []Move
	for _, slot := range shares[selfIndex].slots {
		to := receivers[int(slot)%len(receivers)].owner.Generation
		if to != self {
			moves = append(moves, Move{Service: service, Slot: slot, To: to})
		}
	}
	return append(moves, keyMoves(service, shares, self)...)
}

func eligibleByInstance(shares []*share) []*share {
	var receivers []*share
	for _, sh := range shares {
		if sh.eligible {
			receivers = append(receivers, sh)
		}
	}
	slices.SortFunc(receivers, func(a, b *share) int {
		return cmp.Or(cmp.Compare(a.owner.Instance, b.owner.Instance), cmp.Compare(a.owner.Generation, b.owner.Generation))
	})
	return receivers
}
