package control

import (
	"time"

	"fulmarrun/audit"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

// witnessTimeout is how long a daemon whose own work is done stays for members that
// have it as a witness.
const witnessTimeout = 20 * time.Second

// leaveState is the state of the generation's own leave, and of the leave of its
// witnesses.
type leaveState struct {
	// leaveReason is the reason for a planned leave; empty if none was requested.
	leaveReason string
	draining    bool
	drained     bool
	// leftSince is when a leaving daemon finished its own work.
	leftSince time.Time
	// unwitnessed is true while all witnesses have left and no member can replace
	// them. drainRound counts how often that state began, and keyedDrained is true
	// once no keyed request has run since it last began.
	unwitnessed  bool
	drainRound   int
	keyedDrained bool
}

// advanceLeave takes the next step of a planned leave.
func (c *Core) advanceLeave(now time.Time) {
	switch {
	case c.self.State == wire.StateActive:
		next := c.self
		next.State = wire.StateLeaving
		c.writeSelf(next, audit.Leave, c.leaveReason)
	case c.moving:
	case c.ownedSlots() == 0 || c.drained:
		c.finishLeave(now)
	case len(c.heirs(now, c.self)) == 0 && !c.draining:
		c.draining = true
		c.emit(Drain{})
	}
}

// finishLeave completes the leave of a daemon whose own work is done: it closes the
// row as soon as no member needs this generation as a witness.
func (c *Core) finishLeave(now time.Time) {
	switch {
	case c.self.State != wire.StateLeft:
		next := c.self
		next.State = wire.StateLeft
		c.leftSince = now
		c.writeSelf(next, audit.Leave, "its own work is done")
	case !c.neededAsWitness(now):
		c.closeSelf(now)
	}
}

// neededAsWitness reports whether a member that still needs its lease has this
// generation as a witness. Each member replaces a witness that leaves; if several
// witnesses left together and closed at once, the remaining members would lose
// their leases before they have replaced them.
func (c *Core) neededAsWitness(now time.Time) bool {
	if now.Sub(c.leftSince) > witnessTimeout {
		return false
	}
	needed := make(map[wire.Generation]bool)
	for _, m := range c.view.Members() {
		if c.isOpenPeer(m) && m.State != wire.StateLeft {
			c.addNeededWitnesses(needed, m)
		}
	}
	return needed[c.self.Generation]
}

// addNeededWitnesses adds the witnesses of m. A witness renews the leases of others
// only while its own witnesses answer it, so the witnesses of those that have left
// are added too.
func (c *Core) addNeededWitnesses(needed map[wire.Generation]bool, m *routes.MemberRow) {
	for _, g := range m.Witnesses {
		if needed[g] {
			continue
		}
		needed[g] = true
		if w := c.view.Member(g); w != nil && w.State == wire.StateLeft {
			c.addNeededWitnesses(needed, w)
		}
	}
}

// ownedSlots returns the number of slots and hot keys owned here.
func (c *Core) ownedSlots() int {
	n := 0
	for h := range c.view.Snapshot().Assignments(c.self.Service) {
		if h.Owner != nil && h.Owner.Generation == c.self.Generation {
			n++
		}
	}
	return n
}

// closeSelf closes the own generation; its heirs take over the slots still assigned
// to it.
func (c *Core) closeSelf(now time.Time) {
	next := c.self
	next.State = wire.StateClosed
	next.Heirs = c.heirs(now, c.self)
	// A generation that was not closed by votes proves nothing about the leases
	// that it witnessed; a closed row without witnesses says so.
	next.Witnesses = nil
	c.closing = true
	c.writeSelf(next, audit.Leave, c.leaveReason)
}

// updateUnwitnessed detects that no witness remains. The running keyed requests
// must then end while the witnesses that have left still answer.
func (c *Core) updateUnwitnessed() {
	before := c.unwitnessed
	c.unwitnessed = c.leaveReason == "" && c.witnessesLeft() && len(c.witnessCandidates()) == 0
	if c.unwitnessed == before {
		return
	}
	c.keyedDrained = false
	if c.unwitnessed {
		c.drainRound++
		c.emit(DrainKeyed{Round: c.drainRound})
	}
}

// witnessesLeft reports whether all witnesses that are still open have left.
func (c *Core) witnessesLeft() bool {
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
