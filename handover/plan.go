package handover

import (
	"cmp"
	"slices"

	"fulmarrun/routes"
	"fulmarrun/wire"
)

// Move transfers one slot, or one hot key, to another generation.
type Move struct {
	Service string
	Slot    uint32
	// Key is the hot key; empty for a whole slot.
	Key string
	// Split is true if the key is still part of its slot and is to be split off.
	Split bool
	// Rejoin is true if the key is to be merged back into its slot.
	Rejoin bool
	// Epoch is the epoch of the current owner.
	Epoch uint64
	To    wire.Generation
	// Token is the token that the target issued when it released the slot.
	Token string
}

// share is what one member owns, and the number of slots it should own (goal).
type share struct {
	owner    *routes.Owner
	eligible bool
	slots    []uint32
	keys     []string
	goal     int
}

// Plan returns the moves that self, as an owner, should make so that each eligible member
// owns an equal share of the service's slots. It makes the minimum number of moves, and
// is deterministic for a snapshot.
func Plan(s *routes.Snapshot, service string, eligible func(*routes.Owner) bool, self wire.Generation) []Move {
	return planWithGoals(setEvenGoals, s, service, eligible, self)
}

// planWithGoals returns the moves of self by which all members reach the number of slots
// that setGoals sets.
func planWithGoals(setGoals func([]*share), s *routes.Snapshot, service string,
	eligible func(*routes.Owner) bool, self wire.Generation,
) []Move {
	shares := memberShares(s, service, eligible)
	setGoals(shares)
	moves := slotMoves(service, shares, self)
	return append(moves, keyMoves(service, shares, self)...)
}

func memberShares(s *routes.Snapshot, service string, eligible func(*routes.Owner) bool) []*share {
	byGeneration := make(map[wire.Generation]*share)
	members := s.Members(service)
	shares := make([]*share, 0, len(members))
	for _, m := range members {
		sh := &share{owner: m, eligible: eligible(m)}
		byGeneration[m.Generation] = sh
		shares = append(shares, sh)
	}
	for h := range s.Assignments(service) {
		if h.Owner == nil {
			continue
		}
		sh := byGeneration[h.Owner.Generation]
		if sh == nil {
			continue
		}
		if h.Key == "" {
			sh.slots = append(sh.slots, h.Slot)
		} else {
			sh.keys = append(sh.keys, h.Key)
		}
	}
	return shares
}

// setEvenGoals assigns the remainder of the division to the members with the most slots,
// which requires the fewest moves.
func setEvenGoals(shares []*share) {
	total := 0
	var receivers []*share
	for _, sh := range shares {
		total += len(sh.slots)
		if sh.eligible {
			receivers = append(receivers, sh)
		}
	}
	if len(receivers) == 0 {
		for _, sh := range shares {
			sh.goal = len(sh.slots)
		}
		return
	}
	slices.SortStableFunc(receivers, func(a, b *share) int {
		return cmp.Or(cmp.Compare(len(b.slots), len(a.slots)), cmp.Compare(a.owner.Generation, b.owner.Generation))
	})
	base, remainder := total/len(receivers), total%len(receivers)
	for i, sh := range receivers {
		sh.goal = base
		if i < remainder {
			sh.goal++
		}
	}
}

// slotMoves matches all surplus slots with all missing ones in a fixed order and returns
// the moves of self.
func slotMoves(service string, shares []*share, self wire.Generation) []Move {
	var missing []wire.Generation
	surplusBefore, surplus := 0, 0
	var ownSurplus []uint32
	for _, sh := range shares {
		for range sh.goal - len(sh.slots) {
			missing = append(missing, sh.owner.Generation)
		}
		memberSurplus := max(0, len(sh.slots)-sh.goal)
		if sh.owner.Generation == self {
			surplusBefore, ownSurplus = surplus, sh.slots[len(sh.slots)-memberSurplus:]
		}
		surplus += memberSurplus
	}
	var moves []Move
	for i, slot := range ownSurplus {
		if surplusBefore+i >= len(missing) {
			break
		}
		moves = append(moves, Move{Service: service, Slot: slot, To: missing[surplusBefore+i]})
	}
	return moves
}

// keyMoves moves the hot keys of an ineligible self to the eligible members with the
// fewest hot keys.
func keyMoves(service string, shares []*share, self wire.Generation) []Move {
	var receivers []*share
	var ownShare *share
	for _, sh := range shares {
		if sh.eligible {
			receivers = append(receivers, sh)
		}
		if sh.owner.Generation == self {
			ownShare = sh
		}
	}
	if ownShare == nil || ownShare.eligible || len(receivers) == 0 {
		return nil
	}
	slices.SortFunc(receivers, func(a, b *share) int { return cmp.Compare(len(a.keys), len(b.keys)) })
	slices.Sort(ownShare.keys)
	var moves []Move
	for i, key := range ownShare.keys {
		to := receivers[i%len(receivers)].owner.Generation
		moves = append(moves, Move{Service: service, Key: key, To: to})
	}
	return moves
}
