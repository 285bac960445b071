package handover

import (
	"cmp"
	"slices"

	"fulmarrun/routes"
	"fulmarrun/wire"
)

// Move gives one slot, or one hot key, to another generation.
type Move struct {
	Service string
	Slot    uint32
	// Key is the hot key; empty for a whole slot.
	Key string
	// Split is true if the key is still part of its slot.
	Split bool
	// Rejoin is true if the key goes back to its slot.
	Rejoin bool
	// Epoch is the one under which the giver owns it.
	Epoch uint64
	To    wire.Generation
	// Token is what the target gave out when it released the slot.
	Token string
}

// share is what one member owns and should own.
type share struct {
	owner    *routes.Owner
	eligible bool
	slots    []uint32
	keys     []string
	goal     int
}

// Plan returns the moves that self, as an owner, should make so that each
// eligible member owns an equal share of the service. It moves no more slots
// than that needs, and returns the same for the same snapshot.
func Plan(s *routes.Snapshot, service string, eligible func(*routes.Owner) bool, self wire.Generation) []Move {
	return planTo(setGoals, s, service, eligible, self)
}

// planTo returns the moves of self by which each member comes to own as many slots as
// its goal.
func planTo(setGoals func([]*share), s *routes.Snapshot, service string,
	eligible func(*routes.Owner) bool, self wire.Generation,
) []Move {
	shares := survey(s, service, eligible)
	setGoals(shares)
	moves := slotMoves(service, shares, self)
	return append(moves, keyMoves(service, shares, self)...)
}

func survey(s *routes.Snapshot, service string, eligible func(*routes.Owner) bool) []*share {
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

// setGoals lets the fullest members have the slots that do not divide evenly,
// since that moves the fewest.
func setGoals(shares []*share) {
	total := 0
	var takers []*share
	for _, sh := range shares {
		total += len(sh.slots)
		if sh.eligible {
			takers = append(takers, sh)
		}
	}
	if len(takers) == 0 {
		for _, sh := range shares {
			sh.goal = len(sh.slots)
		}
		return
	}
	slices.SortStableFunc(takers, func(a, b *share) int {
		return cmp.Or(cmp.Compare(len(b.slots), len(a.slots)), cmp.Compare(a.owner.Generation, b.owner.Generation))
	})
	base, extra := total/len(takers), total%len(takers)
	for i, sh := range takers {
		sh.goal = base
		if i < extra {
			sh.goal++
		}
	}
}

// slotMoves matches all surplus slots with all missing ones in a fixed order and
// returns those of self.
func slotMoves(service string, shares []*share, self wire.Generation) []Move {
	var missing []wire.Generation
	before, surplus := 0, 0
	var own []uint32
	for _, sh := range shares {
		for range sh.goal - len(sh.slots) {
			missing = append(missing, sh.owner.Generation)
		}
		over := max(0, len(sh.slots)-sh.goal)
		if sh.owner.Generation == self {
			before, own = surplus, sh.slots[len(sh.slots)-over:]
		}
		surplus += over
	}
	var moves []Move
	for i, slot := range own {
		if before+i >= len(missing) {
			break
		}
		moves = append(moves, Move{Service: service, Slot: slot, To: missing[before+i]})
	}
	return moves
}

// keyMoves sends the hot keys of an ineligible self to those with the fewest.
func keyMoves(service string, shares []*share, self wire.Generation) []Move {
	var takers []*share
	var own *share
	for _, sh := range shares {
		if sh.eligible {
			takers = append(takers, sh)
		}
		if sh.owner.Generation == self {
			own = sh
		}
	}
	if own == nil || own.eligible || len(takers) == 0 {
		return nil
	}
	slices.SortFunc(takers, func(a, b *share) int { return cmp.Compare(len(a.keys), len(b.keys)) })
	slices.Sort(own.keys)
	var moves []Move
	for i, key := range own.keys {
		to := takers[i%len(takers)].owner.Generation
		moves = append(moves, Move{Service: service, Key: key, To: to})
	}
	return moves
}
