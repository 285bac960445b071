package control

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"fulmarrun/audit"
	"fulmarrun/lease"
	"fulmarrun/platform"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

// predecessorWait is how long self must have held its lease and known of another
// generation at its address, one that joined before, until that one is known to
// have lost its own lease: renewals are sent to the address, and those of self
// show who receives there now.
const predecessorWait = 1500 * time.Millisecond

// avoidSilent is how long one that did not answer is not chosen as a witness.
const avoidSilent = 10 * time.Second

// avoidRegion is how long no witness is chosen in another region after one there
// did not answer.
const avoidRegion = time.Minute

// witnessPatience is how long a daemon whose own work is done stays for those
// who have it as a witness.
const witnessPatience = 20 * time.Second

// ownRow is what a Core knows of its own row.
type ownRow struct {
	// self is the row as last known to be in the table.
	self    wire.Member
	version uint64
	// loadedAt is when the rows were read that the generation joined by.
	loadedAt time.Time
	joined   bool
	closed   bool
	// writing is true while a write of the row is under way.
	writing bool
	// closing is true from the start of the write that closes the row.
	closing bool
	// leaving is the reason of a planned leave; empty if there is none.
	leaving  string
	draining bool
	drained  bool
	// leftSince is when the own work of a leaving daemon was done.
	leftSince time.Time
	// forsaken is true while all witnesses have left and none can take their
	// place, turn counts how often that began, and released is true once no keyed
	// request has run since.
	forsaken bool
	turn     int
	released bool
	// placedOf is View.Changes when the places of the witnesses were last compared
	// with those of all members.
	placedOf uint64
}

// loaded joins: it writes the own row for the first time.
func (c *Core) loaded(now time.Time, m Loaded) {
	c.wall, c.loadedAt = m.Wall, now
	c.put(now, 0, m.Rows)
	next := c.self
	next.Witnesses = lease.Choose(c.self, c.witnessCandidates(), nil)
	next.Joined = c.wall
	c.writeSelf(next, audit.Join, "started")
}

// writeSelf starts a conditional write of the own row.
func (c *Core) writeSelf(next wire.Member, what, why string) {
	next.Change, next.Reason = c.name(), why
	value, err := wire.Encode(&next)
	if err != nil {
		return
	}
	key := routes.MemberKey(c.self.Generation)
	c.writing = true
	c.holder.Begin(next.Witnesses)
	c.emit(Write{
		Purpose: PurposeSelf,
		Subject: c.self.Generation,
		Transaction: platform.Transaction{
			ID:         next.Change,
			Conditions: []platform.Condition{{Key: key, Version: c.version}},
			Writes:     []platform.Write{{Key: key, Value: value}},
		},
		Entry: audit.Entry{
			Who: c.self.Instance, What: what, Subject: c.self.Instance,
			From: names(c.self.Witnesses), To: names(next.Witnesses), Why: why, Change: next.Change,
		},
	})
}

func (c *Core) writeDone(now time.Time, m WriteDone) {
	rows := tableRows(m.Rows)
	switch m.Write.Purpose {
	case PurposeSelf:
		c.writing = false
		if !c.joined && now.Sub(c.loadedAt) > c.retain/2 {
			// The row may have been closed and deleted meanwhile.
			c.end("it joined too late")
			return
		}
		if m.Applied && !c.joined {
			c.joined = true
			// Two that join at the same time may both have read the rows before
			// the other wrote its own, and nobody else would tell them.
			if !c.faults.NoReload {
				c.emit(Reload{})
			}
		}
	case PurposeTakeover:
		delete(c.takeovers, m.Write.Subject)
	case PurposePlan:
		c.planning = false
	case PurposeMove:
		c.writing, c.moving, c.moved = false, false, m.Applied
		delete(c.slow, m.Write.Move.First)
		c.ration(now, m.Write.Move)
	}
	c.put(now, 0, rows)
	if !m.Applied && c.version > 0 && missing(m.Rows, routes.MemberKey(c.self.Generation)) {
		c.end("its row is deleted")
		return
	}
	if m.Applied {
		c.put(now, 0, tombstones(m.Write.Transaction))
	}
	if m.Write.Purpose == PurposeTakeover && m.Applied {
		c.notifyHeirs(rows)
	}
	if m.Write.Purpose == PurposeMove {
		if m.Applied {
			c.notifyTakers(m.Write.Move)
		}
		c.emit(MoveEnd{Move: m.Write.Move, Applied: m.Applied})
	}
	if m.Write.Purpose == PurposeSelf && !c.closed {
		c.holder.Settle(c.self.Witnesses)
		if c.closing && !m.Applied {
			c.closing = false
		}
	}
}

// keepSelf keeps the own row as it should be: witnesses, state.
func (c *Core) keepSelf(now time.Time) {
	if c.writing || c.mute(now) {
		return
	}
	if c.leaving != "" {
		c.keepLeaving(now)
		if c.writing {
			return
		}
	}
	c.watchForsaken()
	if want, why := c.wantWitnesses(now); why != "" {
		next := c.self
		next.Witnesses = want
		c.writeSelf(next, audit.Witness, why)
	}
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
	if len(near) >= lease.MinInRegion {
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
	for _, g := range c.holder.Silent(now) {
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

// watchForsaken notices when no witness stays: the requests that run must end
// while those that have left still answer.
func (c *Core) watchForsaken() {
	before := c.forsaken
	c.forsaken = c.leaving == "" && c.haveLeft() && len(c.witnessCandidates()) == 0
	if c.forsaken == before {
		return
	}
	c.released = false
	if c.forsaken {
		c.turn++
		c.emit(Forsake{Turn: c.turn})
	}
}

// haveLeft tells whether all witnesses that are still there have left.
func (c *Core) haveLeft() bool {
	left := 0
	for _, g := range c.self.Witnesses {
		switch m := c.view.Member(g); {
		case m == nil || m.State == wire.StateClosed:
		case m.State == wire.StateLeft:
			left++
		default:
			return false
		}
	}
	return left > 0
}

// wellPlaced tells whether no other members could be better placed witnesses, or
// whether that has been looked into since members last changed.
func (c *Core) wellPlaced(witnesses []wire.Generation) bool {
	if c.placedOf == c.view.Changes() {
		return true
	}
	c.placedOf = c.view.Changes()
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
	return lease.Placement(c.self, members)
}

// keepLeaving takes a planned leave to its end.
func (c *Core) keepLeaving(now time.Time) {
	switch {
	case c.self.State == wire.StateActive:
		next := c.self
		next.State = wire.StateLeaving
		c.writeSelf(next, audit.Leave, c.leaving)
	case c.moving:
	case c.owned() == 0 || c.drained:
		c.keepLeft(now)
	case len(c.heirs(now, c.self)) == 0 && !c.draining:
		c.draining = true
		c.emit(Drain{})
	}
}

// keepLeft ends a leave whose own work is done, as soon as nobody counts on self
// as a witness.
func (c *Core) keepLeft(now time.Time) {
	switch {
	case c.self.State != wire.StateLeft:
		next := c.self
		next.State = wire.StateLeft
		c.leftSince = now
		c.writeSelf(next, audit.Leave, "its own work is done")
	case !c.countedOn(now):
		c.closeSelf(now)
	}
}

// countedOn tells whether a member that still needs its lease has self as a
// witness. Each replaces a witness that leaves; if several left together and
// closed at once, those who stay would lose their leases meanwhile.
func (c *Core) countedOn(now time.Time) bool {
	if now.Sub(c.leftSince) > witnessPatience {
		return false
	}
	needed := make(map[wire.Generation]bool)
	for _, m := range c.view.Members() {
		if c.isOther(m) && m.State != wire.StateLeft {
			c.need(needed, m)
		}
	}
	return needed[c.self.Generation]
}

// need adds the witnesses of m and, since a witness answers for others only while
// its own answer, those of the ones that have left.
func (c *Core) need(needed map[wire.Generation]bool, m *routes.MemberRow) {
	for _, g := range m.Witnesses {
		if needed[g] {
			continue
		}
		needed[g] = true
		if w := c.view.Member(g); w != nil && w.State == wire.StateLeft {
			c.need(needed, w)
		}
	}
}

func (c *Core) owned() int {
	n := 0
	for h := range c.view.Snapshot().Holdings(c.self.Service) {
		if h.Owner != nil && h.Owner.Generation == c.self.Generation {
			n++
		}
	}
	return n
}

// closeSelf ends the own generation; whatever is still assigned to it falls to
// the heirs.
func (c *Core) closeSelf(now time.Time) {
	next := c.self
	next.State = wire.StateClosed
	next.Heirs = c.heirs(now, c.self)
	// A generation that was not closed by votes proves nothing about the leases
	// that it witnessed; a closed row without witnesses says so.
	next.Witnesses = nil
	c.closing = true
	c.writeSelf(next, audit.Leave, c.leaving)
}

// tombstones returns the rows that a transaction has deleted. A key is never
// used again, so the version after the last one known will do.
func tombstones(tx platform.Transaction) []wire.Row {
	var out []wire.Row
	for _, w := range tx.Writes {
		if !w.Delete {
			continue
		}
		for _, cond := range tx.Conditions {
			if cond.Key == w.Key {
				out = append(out, wire.Row{Key: w.Key, Version: cond.Version + 1, Deleted: true})
			}
		}
	}
	return out
}

func missing(rows []platform.Row, key string) bool {
	return slices.ContainsFunc(rows, func(r platform.Row) bool { return r.Key == key && r.Version == 0 })
}

// TableRow returns a row of the platform as daemons exchange it.
func TableRow(r platform.Row) wire.Row {
	return wire.Row{Key: r.Key, Version: r.Version, Value: r.Value}
}

func tableRows(rows []platform.Row) []wire.Row {
	out := make([]wire.Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, TableRow(r))
	}
	return out
}
