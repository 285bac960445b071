package control

import (
	"slices"
	"time"

	"fulmarrun/audit"
	"fulmarrun/lease"
	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

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
}

// loaded joins: it writes the own row for the first time.
func (c *Core) loaded(now time.Time, m RowsLoaded) {
	c.wall, c.loadedAt = m.Wall, now
	c.put(now, 0, m.Rows)
	next := c.self
	next.Witnesses = lease.Choose(c.self, c.witnessCandidates(), nil)
	next.Joined = c.wall
	next.Idle, next.DepartedTarget = c.target.Idle, c.target.DepartedTarget
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
		Transaction: storage.Transaction{
			ID:         next.Change,
			Conditions: []storage.Condition{{Key: key, Version: c.version}},
			Writes:     []storage.Write{{Key: key, Value: value}},
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
		c.emit(FinishMove{Move: m.Write.Move, Applied: m.Applied})
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
	if c.self.Idle != c.target.Idle || c.self.DepartedTarget != c.target.DepartedTarget {
		next := c.self
		next.Idle, next.DepartedTarget = c.target.Idle, c.target.DepartedTarget
		c.writeSelf(next, audit.Target, c.target.Reason)
		return
	}
	if want, why := c.wantWitnesses(now); why != "" {
		next := c.self
		next.Witnesses = want
		c.writeSelf(next, audit.Witness, why)
	}
}

// tombstones returns the rows that a transaction has deleted. A key is never
// used again, so the version after the last one known will do.
func tombstones(tx storage.Transaction) []wire.Row {
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

func missing(rows []storage.Row, key string) bool {
	return slices.ContainsFunc(rows, func(r storage.Row) bool { return r.Key == key && r.Version == 0 })
}

// WireRow returns a row of the platform as daemons exchange it.
func WireRow(r storage.Row) wire.Row {
	return wire.Row{Key: r.Key, Version: r.Version, Value: r.Value}
}

func tableRows(rows []storage.Row) []wire.Row {
	out := make([]wire.Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, WireRow(r))
	}
	return out
}
