package lease

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fulmarrun/wire"
)

// MinRegionCandidates is the number of candidates in its own region from which on a
// member can do without witnesses from other regions.
const MinRegionCandidates = 2

// The places of a candidate's failure domain, best first. The own domain comes
// before a second witness in another one, so that the loss of one of three
// domains neither ends a living lease nor prevents a takeover. One witness in
// another region stands in for the third domain; a second one would end the lease
// when regions lose each other.
const (
	placeFresh = iota
	placeOwn
	placeFar
	placeUsed
	placeOwnUsed
	placeFarAgain
	placeFarUsed
)

// candidate is a member that may become a witness.
type candidate struct {
	member wire.Member
	kept   bool
	score  uint64
	place  int
}

// Choose returns up to three witnesses for self: active members of its region
// in different failure domains where there are any. Of other regions there is one
// if its own region has just one other domain, and more only if it has fewer than
// two candidates. The choice is spread over members by rendezvous hashing; among
// equals, members of keep stay.
func Choose(self wire.Member, members []wire.Member, keep []wire.Generation) []wire.Generation {
	rest := candidates(self, members, keep)
	var used []wire.Member
	var chosen []wire.Generation
	for len(chosen) < MaxWitnesses && len(rest) > 0 {
		for i := range rest {
			rest[i].place = place(self, rest[i].member, used)
		}
		i := best(self, rest)
		used = append(used, rest[i].member)
		chosen = append(chosen, rest[i].member.Generation)
		rest = slices.Delete(rest, i, i+1)
	}
	return chosen
}

// candidates returns the members that may be witnesses of self.
func candidates(self wire.Member, members []wire.Member, keep []wire.Generation) []candidate {
	var near, far []candidate
	for _, m := range members {
		if m.State != wire.StateActive || m.Generation == self.Generation || m.Instance == self.Instance {
			continue
		}
		c := candidate{
			member: m,
			kept:   slices.Contains(keep, m.Generation),
			score:  score(self.Generation, m.Generation),
		}
		if m.Region == self.Region {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	if len(near) >= MinRegionCandidates && otherDomains(self, near) != 1 {
		return near
	}
	return append(near, far...)
}

// otherDomains counts the failure domains of candidates of the own region, but
// for the own one. It looks no further than two.
func otherDomains(self wire.Member, near []candidate) int {
	var first wire.Member
	count := 0
	for _, c := range near {
		if sameDomain(self, c.member) || count > 0 && sameDomain(first, c.member) {
			continue
		}
		if count++; count > 1 {
			break
		}
		first = c.member
	}
	return count
}

// best returns the index of the candidate to choose next.
func best(self wire.Member, rest []candidate) int {
	at := 0
	for i := range rest {
		if compare(self, rest[i], rest[at]) < 0 {
			at = i
		}
	}
	return at
}

// compare orders candidates, best first.
func compare(self wire.Member, a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.place, b.place),
		falseFirst(!a.kept, !b.kept),
		cmp.Compare(b.score, a.score),
		cmp.Compare(a.member.Generation, b.member.Generation),
	)
}

func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// place tells how the member's failure domain relates to self's and to those
// of the witnesses chosen so far.
func place(self, m wire.Member, used []wire.Member) int {
	if m.Region != self.Region {
		return farPlace(self, m, used)
	}
	own := sameDomain(self, m)
	taken := slices.ContainsFunc(used, func(u wire.Member) bool { return sameDomain(u, m) })
	switch {
	case own && taken:
		return placeOwnUsed
	case own:
		return placeOwn
	case taken:
		return placeUsed
	default:
		return placeFresh
	}
}

func farPlace(self, m wire.Member, used []wire.Member) int {
	switch {
	case slices.ContainsFunc(used, func(u wire.Member) bool { return sameDomain(u, m) }):
		return placeFarUsed
	case slices.ContainsFunc(used, func(u wire.Member) bool { return u.Region != self.Region }):
		return placeFarAgain
	default:
		return placeFar
	}
}

// PlacementScore rates where witnesses of self are: the more failure domains of its
// region there are besides its own, the better. One witness in another region is
// better than none, and more are worse, since they end the lease when regions lose
// each other.
func PlacementScore(self wire.Member, witnesses []wire.Member) int {
	rating, far := 0, 0
	for i, w := range witnesses {
		switch {
		case w.Region != self.Region:
			far++
		case sameDomain(self, w):
		case !slices.ContainsFunc(witnesses[:i], func(u wire.Member) bool { return sameDomain(u, w) }):
			rating += 2
		}
	}
	switch far {
	case 0:
	case 1:
		rating++
	default:
		rating -= 2 * far
	}
	return rating
}

func sameDomain(a, b wire.Member) bool {
	return a.Region == b.Region && a.Domain == b.Domain
}

// score is the rendezvous hash of a pair of generations.
func score(self, other wire.Generation) uint64 {
	var buf [16]byte
	binary.BigEndian.PutUint64(buf[:8], uint64(self))
	binary.BigEndian.PutUint64(buf[8:], uint64(other))
	return xxhash.Sum64(buf[:])
}
