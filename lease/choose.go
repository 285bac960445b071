package lease

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fulmarrun/wire"
)

// MinRegionCandidates is the minimum number of candidates in a member's own region
// at which it needs no witnesses from other regions.
const MinRegionCandidates = 2

// The ranks of a candidate's failure domain, best first. The member's own domain
// ranks before a second witness in another domain, so that the loss of one of three
// domains neither ends a valid lease nor prevents a takeover. One witness in another
// region substitutes for the third domain; a second one would end the lease when
// the regions are partitioned from each other.
const (
	rankNewDomain = iota
	rankOwnDomain
	rankRemoteRegion
	rankRepeatedDomain
	rankRepeatedOwnDomain
	rankSecondRemote
	rankRepeatedRemoteDomain
)

// candidate is a member that may become a witness.
type candidate struct {
	member wire.Member
	kept   bool
	score  uint64
	rank   int
}

// Choose returns up to three witnesses for self: active members of its region, in
// different failure domains where possible. It includes one member of another
// region if the own region has exactly one other domain, and more only if the own
// region has fewer than two candidates. Rendezvous hashing spreads the choice over
// the members; among equally ranked candidates, current witnesses (keep) are preferred.
func Choose(self wire.Member, members []wire.Member, keep []wire.Generation) []wire.Generation {
	remaining := candidates(self, members, keep)
	var chosenMembers []wire.Member
	var chosen []wire.Generation
	for len(chosen) < MaxWitnesses && len(remaining) > 0 {
		for i := range remaining {
			remaining[i].rank = rank(self, remaining[i].member, chosenMembers)
		}
		i := bestIndex(self, remaining)
		chosenMembers = append(chosenMembers, remaining[i].member)
		chosen = append(chosen, remaining[i].member.Generation)
		remaining = slices.Delete(remaining, i, i+1)
	}
	return chosen
}

// candidates returns the members that are eligible as witnesses of self.
func candidates(self wire.Member, members []wire.Member, keep []wire.Generation) []candidate {
	var local, remote []candidate
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
			local = append(local, c)
		} else {
			remote = append(remote, c)
		}
	}
	if len(local) >= MinRegionCandidates && otherDomains(self, local) != 1 {
		return local
	}
	return append(local, remote...)
}

// otherDomains counts the failure domains of the local candidates, excluding that
// of self. It stops counting at two.
func otherDomains(self wire.Member, local []candidate) int {
	var first wire.Member
	count := 0
	for _, c := range local {
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

// bestIndex returns the index of the candidate to choose next.
func bestIndex(self wire.Member, candidates []candidate) int {
	index := 0
	for i := range candidates {
		if compare(self, candidates[i], candidates[index]) < 0 {
			index = i
		}
	}
	return index
}

// compare orders candidates, best first.
func compare(self wire.Member, a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
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

// rank rates the member's failure domain in relation to that of self and to those
// of the witnesses chosen so far.
func rank(self, m wire.Member, chosen []wire.Member) int {
	if m.Region != self.Region {
		return remoteRank(self, m, chosen)
	}
	inOwnDomain := sameDomain(self, m)
	repeated := slices.ContainsFunc(chosen, func(u wire.Member) bool { return sameDomain(u, m) })
	switch {
	case inOwnDomain && repeated:
		return rankRepeatedOwnDomain
	case inOwnDomain:
		return rankOwnDomain
	case repeated:
		return rankRepeatedDomain
	default:
		return rankNewDomain
	}
}

func remoteRank(self, m wire.Member, chosen []wire.Member) int {
	switch {
	case slices.ContainsFunc(chosen, func(u wire.Member) bool { return sameDomain(u, m) }):
		return rankRepeatedRemoteDomain
	case slices.ContainsFunc(chosen, func(u wire.Member) bool { return u.Region != self.Region }):
		return rankSecondRemote
	default:
		return rankRemoteRegion
	}
}

// PlacementScore rates the failure domains of self's witnesses, higher is better:
// each additional domain of its own region adds to the score. One witness in another
// region is better than none, and more are worse, since they end the lease when the
// regions are partitioned from each other.
func PlacementScore(self wire.Member, witnesses []wire.Member) int {
	score, remote := 0, 0
	for i, w := range witnesses {
		switch {
		case w.Region != self.Region:
			remote++
		case sameDomain(self, w):
		case !slices.ContainsFunc(witnesses[:i], func(u wire.Member) bool { return sameDomain(u, w) }):
			score += 2
		}
	}
	switch remote {
	case 0:
	case 1:
		score++
	default:
		score -= 2 * remote
	}
	return score
}

func sameDomain(a, b wire.Member) bool {
	return a.Region == b.Region && a.Domain == b.Domain
}

// score returns the rendezvous hash of a pair of generations.
func score(self, other wire.Generation) uint64 {
	var buf [16]byte
	binary.BigEndian.PutUint64(buf[:8], uint64(self))
	binary.BigEndian.PutUint64(buf[8:], uint64(other))
	return xxhash.Sum64(buf[:])
}
