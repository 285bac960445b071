package lease_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"fulmarrun/lease"
	"fulmarrun/wire"
)

// parseMembers returns members for specs like "eu.a" (region and domain), with
// generations numbered from one; the suffix "-" marks a leaving member.
func parseMembers(specs string) []wire.Member {
	fields := strings.Fields(specs)
	members := make([]wire.Member, 0, len(fields))
	for i, word := range fields {
		region, domain, _ := strings.Cut(strings.TrimSuffix(word, "-"), ".")
		m := wire.Member{
			Instance: fmt.Sprintf("i%d", i+1), Generation: wire.Generation(i + 1),
			Region: region, Domain: domain,
		}
		if strings.HasSuffix(word, "-") {
			m.State = wire.StateLeaving
		}
		members = append(members, m)
	}
	return members
}

func TestChoose(t *testing.T) {
	for _, tc := range []struct {
		name    string
		members string // the first one chooses its witnesses
		keep    []wire.Generation
		domains string // sorted domains of the chosen witnesses
		chosen  []wire.Generation
	}{
		{name: "alone", members: "eu.a"},
		{name: "pair", members: "eu.a eu.a", domains: "eu.a"},
		{name: "only leaving members", members: "eu.a eu.b- eu.c-"},
		{name: "four domains", members: "eu.a eu.a eu.b eu.c eu.d", domains: "eu.b eu.c eu.d"},
		{name: "own domain before a second in another", members: "eu.a eu.a eu.a eu.b eu.b eu.c eu.c", domains: "eu.a eu.b eu.c"},
		{name: "two domains", members: "eu.a eu.a eu.a eu.b eu.b eu.b", domains: "eu.a eu.b eu.b"},
		{name: "two domains and another region", members: "eu.a eu.a eu.b eu.b us.a us.b", domains: "eu.a eu.b us.a"},
		{name: "alone in one of two domains", members: "eu.a eu.b eu.b us.a us.a", domains: "eu.b eu.b us.a"},
		{name: "three domains and another region", members: "eu.a eu.a eu.b eu.c us.a", domains: "eu.a eu.b eu.c"},
		{name: "one domain", members: "eu.a eu.a eu.a eu.a eu.a", domains: "eu.a eu.a eu.a"},
		{name: "other regions complete the set", members: "eu.a eu.a us.a us.b", domains: "eu.a us.a us.b"},
		{name: "two in the region suffice", members: "eu.a eu.a eu.a us.a us.b", domains: "eu.a eu.a"},
		{name: "current witnesses kept among equals", members: "eu.a eu.b eu.b eu.b eu.b eu.c eu.d", keep: []wire.Generation{4}, domains: "eu.b eu.c eu.d", chosen: []wire.Generation{4}},
		{name: "current witness of lower rank replaced", members: "eu.a eu.a eu.b eu.c eu.d", keep: []wire.Generation{2}, domains: "eu.b eu.c eu.d"},
	} {
		members := parseMembers(tc.members)
		chosen := lease.Choose(members[0], members, tc.keep)
		domains := make([]string, 0, len(chosen))
		for _, g := range chosen {
			domains = append(domains, members[g-1].Region+"."+members[g-1].Domain)
		}
		slices.Sort(domains)
		if got := strings.Join(domains, " "); got != tc.domains {
			t.Errorf("%s: domains %q, want %q", tc.name, got, tc.domains)
		}
		for _, g := range tc.chosen {
			if !slices.Contains(chosen, g) {
				t.Errorf("%s: chose %v without %d", tc.name, chosen, g)
			}
		}
	}
}

// TestChooseSpread checks that no member is a witness for many times its share of
// holders, and that losing one member changes only the choices that included it.
func TestChooseSpread(t *testing.T) {
	members := parseMembers(strings.Repeat("eu.a eu.b eu.c eu.d ", 50))
	load := make(map[wire.Generation]int)
	chosen := make(map[wire.Generation][]wire.Generation)
	for _, m := range members {
		chosen[m.Generation] = lease.Choose(m, members, nil)
		for _, g := range chosen[m.Generation] {
			load[g]++
		}
	}
	for g, n := range load {
		if n > 4*lease.MaxWitnesses {
			t.Errorf("generation %d is a witness of %d holders", g, n)
		}
	}
	lost := members[7].Generation
	remaining := slices.DeleteFunc(slices.Clone(members), func(m wire.Member) bool { return m.Generation == lost })
	for _, m := range remaining {
		if slices.Contains(chosen[m.Generation], lost) {
			continue
		}
		if again := lease.Choose(m, remaining, chosen[m.Generation]); !slices.Equal(again, chosen[m.Generation]) {
			t.Errorf("generation %d chose %v, then %v", m.Generation, chosen[m.Generation], again)
		}
	}
}
