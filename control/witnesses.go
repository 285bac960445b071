package control

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"fulmarrun/lease"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

// avoidSilent is how long one that did not answer is not chosen as a witness.
const avoidSilent = 10 * time.Second

// avoidRegion is how long no witness is chosen in another region after one there
// did not answer.
const avoidRegion = time.Minute

// witnessState is what a Core knows of those who may be its witnesses.
type witnessState struct {
	// silent are those who did not answer as witnesses, and since when.
	silent map[wire.Generation]time.Time
	// silentRegions are the other regions in which witnesses did not answer, and
	// since when.
	silentRegions map[string]time.Time
	// placedOf is View.Changes when the places of the witnesses were last compared
	// with those of all members.
	placedOf uint64
}

func newWitnessState() witnessState {
	return witnessState{silent: make(map[wire.Generation]time.Time), silentRegions: make(map[string]time.Time)}
}

// witnessCandidates returns the members that may be witnesses. Of several at one
// address, only the last to join can answer.
func (c *Core) witnessCandidates() []wire.Member {
	latest := make(map[netip.AddrPort]*routes.MemberRow)
	for _, m := range c.view.Members() {
		if old := latest[m.Peer]; c.isOther(m) && (old == nil || old.Joined.Before(m.Joined)) {
			latest[m.Peer] = m
		}
	}
	var near, far []wire.Member
	for _, m := range c.view.Members() {
		switch {
		case latest[m.Peer] != m || !c.mayWitness(m):
		case m.Region == c.self.Region:
			near = append(near, m.Member)
		default:
			far = append(far, m.Member)
		}
	}
	if len(near) >= lease.MinRegionCandidates {
		far = slices.DeleteFunc(far, func(m wire.Member) bool {
			_, silent := c.silentRegions[m.Region]
			return silent
		})
	}
	return append(near, far...)
}

func (c *Core) mayWitness(m *routes.MemberRow) bool {
	if m.State != wire.StateActive || m.Instance == c.self.Instance {
		return false
	}
	_, silent := c.silent[m.Generation]
	return !silent
}

// noteSilent remembers for a while which witnesses did not answer, and in which
// other regions they are: if regions have lost each other, the next one there
// would not answer either.
func (c *Core) noteSilent(now time.Time) {
	before := len(c.silent) + len(c.silentRegions)
	maps.DeleteFunc(c.silent, func(_ wire.Generation, since time.Time) bool {
		return now.Sub(since) > avoidSilent
	})
	maps.DeleteFunc(c.silentRegions, func(_ string, since time.Time) bool {
		return now.Sub(since) > avoidRegion
	})
	if len(c.silent)+len(c.silentRegions) < before {
		c.placedOf = 0
	}
	for _, g := range c.holder.Unresponsive(now) {
		c.silent[g] = now
		if m := c.view.Member(g); m != nil && m.Region != c.self.Region {
			c.silentRegions[m.Region] = now
		}
	}
}

// wantWitnesses returns a better set of witnesses and why; no reason means that
// the present set is to stay. One that has left waits only for those who name it,
// so that it is dropped also if none can take its place; but if self leaves too,
// all may be leaving and need one another.
func (c *Core) wantWitnesses(now time.Time) (want []wire.Generation, why string) {
	c.noteSilent(now)
	var keep []wire.Generation
	gone := 0
	for _, g := range c.self.Witnesses {
		m := c.view.Member(g)
		if m == nil || m.State == wire.StateClosed || m.State == wire.StateLeft && c.leaving == "" {
			gone++
		} else if c.mayWitness(m) {
			keep = append(keep, g)
		}
	}
	if len(keep) == lease.MaxWitnesses && c.wellPlaced(keep) {
		return nil, ""
	}
	want = lease.Choose(c.self, c.witnessCandidates(), keep)
	better := c.placement(want) > c.placement(c.self.Witnesses)
	switch {
	case better && len(want) > 1:
		return want, "witnesses in better places are there"
	case len(want) < len(c.self.Witnesses)-gone, len(want) == 0 && c.haveLeft() && !c.released:
		// One that is merely silent stays until there is another in its place:
		// without witnesses, nobody could tell that this daemon is lost. Those
		// that have left stay until no request needs the lease.
		return nil, ""
	case len(keep) < len(c.self.Witnesses) && !slices.Equal(want, c.self.Witnesses):
		return want, "a witness is gone"
	case better:
		return want, "witnesses in better places are there"
	case len(want) > len(c.self.Witnesses):
		return want, "more witnesses are there"
	default:
		return nil, ""
	}
}

// wellPlaced tells whether no other members could be better placed witnesses, or
// whether that has been looked into since members last changed.
func (c *Core) wellPlaced(witnesses []wire.Generation) bool {
	if c.placedOf == c.view.MemberChanges() {
		return true
	}
	c.placedOf = c.view.MemberChanges()
	// One member stands for all of its failure domain, or of another region.
	var places []wire.Member
	for _, m := range c.witnessCandidates() {
		if !slices.ContainsFunc(places, func(p wire.Member) bool { return c.samePlace(p, m) }) {
			places = append(places, m)
		}
	}
	return c.placement(witnesses) >= c.placement(lease.Choose(c.self, places, nil))
}

func (c *Core) samePlace(a, b wire.Member) bool {
	return a.Region == b.Region && (a.Domain == b.Domain || a.Region != c.self.Region)
}

// placement rates witnesses by their places.
func (c *Core) placement(witnesses []wire.Generation) int {
	members := make([]wire.Member, 0, len(witnesses))
	for _, g := range witnesses {
		if m := c.view.Member(g); m != nil {
			members = append(members, m.Member)
		}
	}
	return lease.PlacementScore(c.self, members)
}
