package control

import (
	"time"

	"fulmarrun/audit"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

// witnessPatience is how long a daemon whose own work is done stays for those
// who have it as a witness.
const witnessPatience = 20 * time.Second

// leaveState is what a Core knows of its own leave, and of that of its witnesses.
type leaveState struct {
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
	for h := range c.view.Snapshot().Assignments(c.self.Service) {
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
		c.emit(DrainKeyed{Round: c.turn})
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
