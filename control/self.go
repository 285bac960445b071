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

// selfState is the state of the generation's own member row.
type selfState struct {
	// self is the latest version of the row that is known to be in the table.
	self    wire.Member
	version uint64
	// loadedAt is when the rows that the join is based on were read.
	loadedAt time.Time
	joined   bool
	closed   bool
	// writing is true while a write of the row is in progress.
	writing bool
	// closing is true from the start of the write that closes the row.
	closing bool
}

// join writes the member row of this generation for the first time.
func (c *Core) join(now time.Time, m RowsLoaded) {
	c.wall, c.loadedAt, c.unsettledAt, c.enteredAt = m.Wall, now, now, now
	if m.Timeline < c.timeline {
		c.endGeneration("the platform was restored before it joined")
		return
	}
	c.timeline = m.Timeline
	c.applyRows(now, 0, m.Rows)
	next := c.self
	next.Witnesses = lease.Choose(c.self, c.witnessCandidates(), nil)
	next.Joined = c.wall
	next.Idle, next.DepartedTarget = c.target.Idle, c.target.DepartedTarget
	c.writeSelf(next, audit.Join, "started")
}

// writeSelf starts a conditional write of the member row of this generation.
func (c *Core) writeSelf(next wire.Member, what, reason string) {
	next.Change, next.Reason = c.newID(), reason
	if c.registered() && c.refounded() {
		next.Claims = nil
	}
	next.Renews = c.stillRenewed(next.Renews)
	value, err := wire.Encode(&next)
	if err != nil {
		return
	}
	key := routes.MemberKey(c.self.Generation)
	c.writing = true
	c.holder.BeginChange(next.Witnesses)
	c.emitWrite(Write{
		Purpose: PurposeSelf,
		Subject: c.self.Generation,
		Transaction: storage.Transaction{
			ID:         next.Change,
			Conditions: []storage.Condition{{Key: key, Version: c.version}},
			Writes:     []storage.Write{{Key: key, Value: value}},
		},
		Entry: audit.Entry{
			Who: c.self.Instance, What: what, Subject: c.self.Instance,
			From: formatGenerations(c.self.Witnesses), To: formatGenerations(next.Witnesses), Why: reason, Change: next.Change,
		},
	})
}

// emitWrite emits a write of the present timeline. A row that has not been written in it
// counts as missing there.
func (c *Core) emitWrite(w Write) {
	w.Transaction.Timeline = c.timeline
	for i, condition := range w.Transaction.Conditions {
		if storage.TimelineOf(condition.Version) < c.timeline {
			w.Transaction.Conditions[i].Version = 0
		}
	}
	c.emit(w)
}

func (c *Core) writeDone(now time.Time, m WriteDone) {
	if m.Write.Transaction.Timeline != c.timeline {
		return
	}
	rows := wireRows(m.Rows)
	switch m.Write.Purpose {
	case PurposeSelf:
		c.writing = false
		if !c.joined && now.Sub(c.loadedAt) > c.retention/2 {
			// The row may have been closed and deleted in the meantime.
			c.endGeneration("it joined too late")
			return
		}
		if m.Applied && !c.joined {
			c.joined = true
			// Two generations that join at the same time may each have read the
			// rows before the other wrote its own, and no other member would inform
			// them.
			if !c.faults.NoReload {
				c.emit(Reload{At: now})
			}
		}
	case PurposeTakeover:
		delete(c.takeovers, m.Write.Subject)
	case PurposePlan:
		c.planning = false
	case PurposeMove:
		c.writing, c.moving, c.movedSincePlan = false, false, m.Applied
		c.writtenMove = nil
		delete(c.backoffs, m.Write.Move.FirstSlot)
		c.paceBalance(now, m.Write.Move)
	}
	c.applyRows(now, 0, rows)
	if !m.Applied && c.version > 0 && isMissing(m.Rows, routes.MemberKey(c.self.Generation)) {
		c.endGeneration("its row is deleted")
		return
	}
	if m.Applied {
		c.applyRows(now, 0, deletionRows(m.Write.Transaction))
	}
	if m.Write.Purpose == PurposeTakeover && m.Applied {
		c.notifyHeirs(rows)
	}
	if m.Write.Purpose == PurposeMove {
		if m.Applied {
			c.notifyNewOwners(m.Write.Move)
		}
		c.emit(FinishMove{Move: m.Write.Move, Applied: m.Applied})
	}
	if m.Write.Purpose == PurposeSelf && !c.closed {
		c.holder.SetWitnesses(c.self.Witnesses)
		if c.closing && !m.Applied {
			c.closing = false
		}
	}
}

// maintainSelf writes the member row of this generation if its state, the state of
// the target or its witnesses should change.
func (c *Core) maintainSelf(now time.Time) {
	if c.writing || c.muted(now) {
		return
	}
	if c.leaveReason != "" {
		c.advanceLeave(now)
		if c.writing {
			return
		}
	}
	c.updateUnwitnessed()
	if c.self.Idle != c.target.Idle || c.self.DepartedTarget != c.target.DepartedTarget {
		next := c.self
		next.Idle, next.DepartedTarget = c.target.Idle, c.target.DepartedTarget
		c.writeSelf(next, audit.Target, c.target.Reason)
		return
	}
	if want, reason := c.chooseWitnesses(now); reason != "" {
		next := c.self
		next.Witnesses = want
		c.writeSelf(next, audit.Witness, reason)
	}
}

// deletionRows returns a deletion row for each row that a transaction has deleted.
// Keys are never reused, so the version after the last known one is sufficient.
func deletionRows(tx storage.Transaction) []wire.Row {
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

func isMissing(rows []storage.Row, key string) bool {
	return slices.ContainsFunc(rows, func(r storage.Row) bool { return r.Key == key && r.Version == 0 })
}

// WireRow converts a row of the platform to the form that daemons exchange.
func WireRow(r storage.Row) wire.Row {
	return wire.Row{Key: r.Key, Version: r.Version, Value: r.Value}
}

func wireRows(rows []storage.Row) []wire.Row {
	out := make([]wire.Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, WireRow(r))
	}
	return out
}
