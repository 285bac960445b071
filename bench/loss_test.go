package bench_test

import (
	"fmt"
	"slices"
	"testing"

	"fulmarrun/lease"
	"fulmarrun/wire"
)

// BenchmarkDomainLoss reports how the loss of one failure domain of 160 daemons affects
// the witnesses in its region, with and without another region: how many of the other
// daemons lose their lease, how many must write new witnesses, and how many of the lost
// daemons have too few remaining witnesses to vote on the end of their lease.
func BenchmarkDomainLoss(b *testing.B) {
	for _, c := range []struct{ inRegion, elsewhere int }{{2, 0}, {2, 1}, {3, 1}, {4, 1}} {
		b.Run(fmt.Sprintf("domains=%d/elsewhere=%d", c.inRegion, c.elsewhere), func(b *testing.B) {
			var leasesLost, rewrites, noVotes int
			for range b.N {
				leasesLost, rewrites, noVotes = countDomainLoss(c.inRegion, c.elsewhere)
			}
			b.ReportMetric(float64(leasesLost), "leases-lost")
			b.ReportMetric(float64(rewrites), "rewrites")
			b.ReportMetric(float64(noVotes), "no-votes")
		})
	}
}

func countDomainLoss(inRegion, elsewhere int) (leasesLost, rewrites, noVotes int) {
	const domainSize = 160
	domains := inRegion + elsewhere
	members := make([]wire.Member, 0, domains*domainSize)
	for i := range cap(members) {
		m := deploymentSize{3500, 32}.member(i)
		m.Region, m.Domain = "region", fmt.Sprintf("domain-%d", i%domains)
		if i%domains >= inRegion {
			m.Region = "elsewhere"
		}
		members = append(members, m)
	}
	lostMembers := make([]wire.Generation, 0, domainSize)
	for _, m := range members {
		if m.Domain == "domain-0" {
			lostMembers = append(lostMembers, m.Generation)
		}
	}
	for _, m := range members {
		if m.Region == "elsewhere" {
			continue
		}
		lostWitnesses := 0
		for _, w := range lease.Choose(m, members, nil) {
			if slices.Contains(lostMembers, w) {
				lostWitnesses++
			}
		}
		remaining := lease.MaxWitnesses - lostWitnesses
		renewals, votes := lease.Quorum(lease.MaxWitnesses)
		switch {
		case m.Domain == "domain-0" && remaining < votes:
			noVotes++
		case m.Domain != "domain-0" && lostWitnesses > 0:
			rewrites++
			if remaining < renewals {
				leasesLost++
			}
		}
	}
	return leasesLost, rewrites, noVotes
}
