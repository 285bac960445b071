package control

import (
	"slices"
	"time"

	"fulmarrun/audit"
	"fulmarrun/lease"
	"fulmarrun/platform"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

// predecessorWait is how long an address must be held before the generation
// that held it before is known to have lost its lease: renewals are sent to
// the address, so none has reached that generation since.
const predecessorWait = 1500 * time.Millisecond

// loaded joins: it writes the own row for the first time.
func (c *Core) loaded(now time.Time, m Loaded) {
	c.wall = m.Wall
	c.put(now, 0, m.Rows)
	for _, other := range c.openMembers() {
		if other.Instance == c.self.Instance && other.Peer == c.self.Peer {
			c.predecessor[other.Generation] = now.Add(predecessorWait)
		}
	}
	next := c.self
	next.Witnesses = lease.Choose(c.self, c.witnessCandidates(now), nil)
	next.Joined = c.wall
	c.writeSelf(next, "join", "started")
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
		if m.Applied && !c.joined {
			c.joined = true
			// Two that join at the same time may both have read the rows before
			// the other wrote its own, and nobody else would tell them.
			c.emit(Reload{})
		}
	case PurposeTakeover:
		delete(c.takeovers, m.Write.Subject)
		delete(c.predecessor, m.Write.Subject)
	case PurposePlan:
		c.planning = false
	case PurposeMove:
		c.writing, c.moving = false, false
	}
	c.put(now, 0, rows)
	if m.Applied {
		c.put(now, 0, tombstones(m.Write.Transaction))
	}
	if m.Write.Purpose == PurposeMove {
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
	if c.writing {
		return
	}
	if c.leaving != "" {
		c.keepLeaving()
		if c.writing {
			return
		}
	}
	if want, why := c.wantWitnesses(now); why != "" {
		next := c.self
		next.Witnesses = want
		c.writeSelf(next, "witness", why)
	}
}

func (c *Core) witnessCandidates(now time.Time) []wire.Member {
	silent := c.holder.Silent(now)
	return slices.DeleteFunc(c.openMembers(), func(m wire.Member) bool {
		return slices.Contains(silent, m.Generation) || m.State == wire.StateLeaving ||
			m.Instance == c.self.Instance
	})
}

// wantWitnesses returns a better set of witnesses and why; no reason means that
// the present set is to stay.
func (c *Core) wantWitnesses(now time.Time) (want []wire.Generation, why string) {
	candidates := c.witnessCandidates(now)
	var keep []wire.Generation
	for _, g := range c.self.Witnesses {
		if slices.ContainsFunc(candidates, func(m wire.Member) bool { return m.Generation == g }) {
			keep = append(keep, g)
		}
	}
	want = lease.Choose(c.self, candidates, keep)
	switch {
	case len(keep) < len(c.self.Witnesses) && !slices.Equal(want, c.self.Witnesses):
		return want, "a witness is gone"
	case len(want) > len(c.self.Witnesses):
		return want, "more witnesses are there"
	default:
		return nil, ""
	}
}

// keepLeaving takes a planned leave to its end.
func (c *Core) keepLeaving() {
	switch {
	case c.self.State == wire.StateActive:
		next := c.self
		next.State = wire.StateLeaving
		c.writeSelf(next, "leave", c.leaving)
	case c.moving:
	case c.owned() == 0:
		c.closeSelf()
	case len(c.heirs(c.self)) == 0 && !c.draining:
		c.draining = true
		c.emit(Drain{})
	case c.drained:
		c.closeSelf()
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
func (c *Core) closeSelf() {
	next := c.self
	next.State = wire.StateClosed
	next.Heirs = c.heirs(c.self)
	// A generation that was not closed by votes proves nothing about the leases
	// that it witnessed; a closed row without witnesses says so.
	next.Witnesses = nil
	c.closing = true
	c.writeSelf(next, "left", c.leaving)
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

func tableRows(rows []platform.Row) []wire.Row {
	out := make([]wire.Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, wire.Row{Key: r.Key, Version: r.Version, Value: r.Value})
	}
	return out
}
