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

// silentWitnessDelay is how long a member that did not answer as a witness is not
// chosen again.
const silentWitnessDelay = 10 * time.Second

// silentRegionDelay is how long no witness is chosen in another region after a
// witness there did not answer.
const silentRegionDelay = time.Minute

// witnessState is the state for the choice of witnesses.
type witnessState struct {
	// silent are the members that did not answer as witnesses, and when that was
	// last seen.
	silent map[wire.Generation]time.Time
	// silentRegions are the other regions in which witnesses did not answer, and
	// when that was last seen.
	silentRegions map[string]time.Time
	// preferAlive is set by WithFirstWitnessTimeout.
	preferAlive bool
	// heard are the members that have sent a message before the first lease.
	heard map[wire.Generation]bool
	// placementChanges is the value of View.MemberChanges when the placement of the
	// witnesses was last compared with that of all members.
	placementChanges uint64
}

func newWitnessState() witnessState {
	return witnessState{silent: make(map[wire.Generation]time.Time), silentRegions: make(map[string]time.Time), heard: make(map[wire.Generation]bool)}
}

// witnessCandidates returns the members that may be witnesses. Of several members
// at one address, only the last to join can answer.
func (c *Core) witnessCandidates() []wire.Member {
	latest := make(map[netip.AddrPort]*routes.MemberRow)
	for _, m := range c.view.Members() {
		if old := latest[m.Peer]; c.isOpenPeer(m) && (old == nil || old.Joined.Before(m.Joined)) {
			latest[m.Peer] = m
		}
	}
	var sameRegion, otherRegions []wire.Member
	for _, m := range c.view.Members() {
		switch {
		case latest[m.Peer] != m || !c.canWitness(m):
		case m.Region == c.self.Region:
			sameRegion = append(sameRegion, m.Member)
		default:
			otherRegions = append(otherRegions, m.Member)
		}
	}
	if alive := c.knownAlive(sameRegion); len(alive) >= lease.MaxWitnesses {
		sameRegion = alive
	}
	if len(sameRegion) >= lease.MinRegionCandidates {
		otherRegions = slices.DeleteFunc(otherRegions, func(m wire.Member) bool {
			_, silent := c.silentRegions[m.Region]
			return silent
		})
	}
	return append(sameRegion, otherRegions...)
}

// recentJoin is how long after its join a member is assumed to be alive.
const recentJoin = 10 * time.Second

// WithFirstWitnessTimeout is a functional option for a generation that may start together with many
// others, when the rows still list daemons that are not back. Until its first lease it prefers
// witnesses that are known to be alive, and replaces those that have not answered within the
// timeout: waiting a TTL for each of them would leave its keys without an owner meanwhile.
func WithFirstWitnessTimeout(timeout time.Duration) Option {
	return func(c *Core) {
		c.preferAlive = true
		c.leaseOptions = append(c.leaseOptions, lease.WithFirstWitnessTimeout(timeout))
	}
}

// knownAlive returns the members that are known to have been alive lately: they have joined or
// sent a message. Once this generation has held a lease it returns all, since its heartbeats
// show which witnesses answer.
func (c *Core) knownAlive(members []wire.Member) []wire.Member {
	if !c.preferAlive || c.holder.Leased() {
		return members
	}
	return slices.DeleteFunc(slices.Clone(members), func(m wire.Member) bool {
		return !c.heard[m.Generation] && c.wall.Sub(m.Joined) > recentJoin
	})
}

// recordHeard records that a member has sent a message before the first lease.
func (c *Core) recordHeard(from wire.Generation) {
	if c.preferAlive && !c.holder.Leased() && from != 0 {
		c.heard[from] = true
	}
}

// canWitness reports whether a member may be chosen or kept as a witness.
func (c *Core) canWitness(m *routes.MemberRow) bool {
	if m.State != wire.StateActive || m.Instance == c.self.Instance {
		return false
	}
	_, silent := c.silent[m.Generation]
	return !silent
}

// updateSilent records for a while which witnesses did not answer, and the other
// regions they are in: if regions have lost their connection, the next witness
// there would not answer either.
func (c *Core) updateSilent(now time.Time) {
	before := len(c.silent) + len(c.silentRegions)
	maps.DeleteFunc(c.silent, func(_ wire.Generation, since time.Time) bool {
		return now.Sub(since) > silentWitnessDelay
	})
	maps.DeleteFunc(c.silentRegions, func(_ string, since time.Time) bool {
		return now.Sub(since) > silentRegionDelay
	})
	if len(c.silent)+len(c.silentRegions) < before {
		c.placementChanges = 0
	}
	for _, g := range c.holder.Unresponsive(now) {
		c.silent[g] = now
		if m := c.view.Member(g); m != nil && m.Region != c.self.Region {
			c.silentRegions[m.Region] = now
		}
	}
}

// chooseWitnesses returns a better set of witnesses and the reason for the change;
// an empty reason keeps the present set. A witness that has left stays open only
// for the members that name it, so it is dropped even if no member can replace it.
// If this generation leaves too, such a witness is kept, since all members may be
// leaving and need one another.
func (c *Core) chooseWitnesses(now time.Time) (want []wire.Generation, reason string) {
	c.updateSilent(now)
	var keep []wire.Generation
	departed := 0
	for _, g := range c.self.Witnesses {
		m := c.view.Member(g)
		if m == nil || m.State == wire.StateClosed || m.State == wire.StateLeft && c.leaveReason == "" {
			departed++
		} else if c.canWitness(m) {
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
	case len(want) < len(c.self.Witnesses)-departed, len(want) == 0 && c.witnessesLeft() && !c.keyedDrained:
		// A witness that is only silent stays until another can replace it:
		// without witnesses, no other daemon could detect the failure of this one.
		// Witnesses that have left stay until no request needs the lease.
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

// wellPlaced reports whether no other members would be better placed witnesses, or
// whether that has already been checked since members last changed.
func (c *Core) wellPlaced(witnesses []wire.Generation) bool {
	if c.placementChanges == c.view.MemberChanges() {
		return true
	}
	c.placementChanges = c.view.MemberChanges()
	// One member represents its whole failure domain, or its whole region if that
	// is another one.
	var places []wire.Member
	for _, m := range c.witnessCandidates() {
		if !slices.ContainsFunc(places, func(p wire.Member) bool { return c.samePlace(p, m) }) {
			places = append(places, m)
		}
	}
	return c.placement(witnesses) >= c.placement(lease.Choose(c.self, places, nil))
}

// samePlace reports whether two members are equivalent for the placement of witnesses.
func (c *Core) samePlace(a, b wire.Member) bool {
	return a.Region == b.Region && (a.Domain == b.Domain || a.Region != c.self.Region)
}

// placement rates witnesses by their failure domains and regions.
func (c *Core) placement(witnesses []wire.Generation) int {
	members := make([]wire.Member, 0, len(witnesses))
	for _, g := range witnesses {
		if m := c.view.Member(g); m != nil {
			members = append(members, m.Member)
		}
	}
	return lease.PlacementScore(c.self, members)
}
