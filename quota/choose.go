package quota

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fulmarrun/routes"
	"fulmarrun/wire"
)

// maxLenders is the number of lenders of a team: with three, one can be lost without refusals
// at the usual demand, which is below two thirds of the limit.
const maxLenders = 3

// Member is an open member of the deployment, as a possible lender.
type Member struct {
	Generation wire.Generation
	Domain     string
	Peer       netip.AddrPort
}

// ranked is a member, by its index, with its rendezvous hash.
type ranked struct {
	index  int
	weight uint64
}

// choose returns the indices of the lenders of a team among the members that eligible accepts:
// first the best of each failure domain, then the best of the rest.
func choose(team string, members []Member, eligible func(index int) bool) []int {
	seed := xxhash.Sum64String(team)
	var bestOfDomain []ranked // few entries: there are few failure domains
	var best []ranked
	for i := range members {
		if !eligible(i) {
			continue
		}
		r := ranked{index: i, weight: routes.Mix(seed, uint64(members[i].Generation))}
		if len(best) < maxLenders || r.weight > best[maxLenders-1].weight {
			best = insertRanked(best, r)
		}
		bestOfDomain = putBest(bestOfDomain, members, r)
	}
	slices.SortFunc(bestOfDomain, compareRanked)
	chosen := make([]int, 0, maxLenders)
	for _, r := range append(bestOfDomain, best...) {
		if len(chosen) < maxLenders && !slices.Contains(chosen, r.index) {
			chosen = append(chosen, r.index)
		}
	}
	return chosen
}

// insertRanked inserts r into the list of the best members.
func insertRanked(best []ranked, r ranked) []ranked {
	at, _ := slices.BinarySearchFunc(best, r, compareRanked)
	best = slices.Insert(best, at, r)
	return best[:min(len(best), maxLenders)]
}

// putBest records r if it is the best member of its failure domain.
func putBest(bestOfDomain []ranked, members []Member, r ranked) []ranked {
	for i := range bestOfDomain {
		if members[bestOfDomain[i].index].Domain == members[r.index].Domain {
			if r.weight > bestOfDomain[i].weight {
				bestOfDomain[i] = r
			}
			return bestOfDomain
		}
	}
	return append(bestOfDomain, r)
}

// compareRanked orders members by their rendezvous hash, highest first.
func compareRanked(a, b ranked) int { return cmp.Compare(b.weight, a.weight) }
