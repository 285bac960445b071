package bench_test

import (
	"fmt"
	"slices"
	"testing"

	"fulmarrun/lease"
	"fulmarrun/wire"
)

// BenchmarkDomainLoss reports what the loss of one failure domain of 160 daemons
// means for the witnesses in its region: how many of the others lose their lease,
// how many have to write new witnesses, and how many of the lost cannot be voted
// on by the witnesses that are left, with and without another region.
func BenchmarkDomainLoss(b *testing.B) {
	for _, c := range []struct{ inRegion, elsewhere int }{{2, 0}, {2, 1}, {3, 1}, {4, 1}} {
		b.Run(fmt.Sprintf("domains=%d/elsewhere=%d", c.inRegion, c.elsewhere), func(b *testing.B) {
			var leases, rewrites, stuck int
			for range b.N {
				leases, rewrites, stuck = loseDomain(c.inRegion, c.elsewhere)
			}
			b.ReportMetric(float64(leases), "leases-lost")
			b.ReportMetric(float64(rewrites), "rewrites")
			b.ReportMetric(float64(stuck), "no-votes")
		})
	}
}

func loseDomain(inRegion, elsewhere int) (leases, rewrites, stuck int) {
	const domain = 160
	domains := inRegion + elsewhere
	members := make([]wire.Member, 0, domains*domain)
	for i := range cap(members) {
		m := size{3500, 32}.member(i)
		m.Region, m.Domain = "region", fmt.Sprintf("domain-%d", i%domains)
		if i%domains >= inRegion {
			m.Region = "elsewhere"
		}
		members = append(members, m)
	}
	lost := make([]wire.Generation, 0, domain)
	for _, m := range members {
		if m.Domain == "domain-0" {
			lost = append(lost, m.Generation)
		}
	}
	for _, m := range members {
		if m.Region == "elsewhere" {
			continue
		}
		gone := 0
		for _, w := range lease.Choose(m, members, nil) {
			if slices.Contains(lost, w) {
				gone++
			}
		}
		left := lease.MaxWitnesses - gone
		needed, votes := lease.Quorum(lease.MaxWitnesses)
		switch {
		case m.Domain == "domain-0" && left < votes:
			stuck++
		case m.Domain != "domain-0" && gone > 0:
			rewrites++
			if left < needed {
				leases++
			}
		}
	}
	return leases, rewrites, stuck
}
