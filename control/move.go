package control

import (
	"slices"
	"time"

	"fulmarrun/audit"
	"fulmarrun/handover"
	"fulmarrun/routes"
	"fulmarrun/storage"
	"fulmarrun/wire"
)

// moveState is the state of the slots that this owner has to hand over.
type moveState struct {
	// moving is true from the start of a hand-over to its end.
	moving bool
	// writtenMove is the hand-over whose write is in progress, or nil.
	writtenMove *Move
	// backoffs are the rows of slots for which a move was abandoned, by first slot.
	backoffs map[uint32]rowBackoff
	// plannedMoves are the moves planned for planSnapshot under the configuration
	// planConfig.
	plannedMoves []handover.Move
	planSnapshot *routes.Snapshot
	planConfig   wire.ConfigNumber
	// movedSincePlan is true from the end of an own move until the next plan is
	// made.
	movedSincePlan bool
	// unchangedSince is when another daemon last changed the members or slots of
	// this service, or when the configuration last changed.
	unchangedSince  time.Time
	nextBalanceMove time.Time
	pendingHot      hotChange
	offload         offload
}

func newMoveState() moveState {
	return moveState{backoffs: make(map[uint32]rowBackoff)}
}

// startMove starts the next hand-over of slots owned here, limited to rowsPerMove
// rows.
func (c *Core) startMove(now time.Time) {
	moves := c.ownMoves(now)
	if c.moving || c.closing || c.planning || !c.holder.Valid(now) {
		return
	}
	ineligible := c.targetDeparts() || !c.eligible(&routes.Owner{
		State: c.self.State, Service: c.self.Service, Domain: c.self.Domain, Instance: c.self.Instance,
	})
	if !ineligible && (now.Sub(c.unchangedSince) < settleTime || now.Before(c.nextBalanceMove)) {
		return
	}
	moves = c.withoutBackoff(now, moves)
	if len(moves) == 0 || !c.storeReady(now) {
		return
	}
	reason := reasonBalance
	if ineligible {
		reason = "the owner or its target leaves, or its failure domain is out"
	}
	c.emitMove(moves, reason)
}

// targetDeparts reports whether the own row says that the target drains or has left for good. Its
// slots are then handed over without waiting for the members to settle: during a rollout they
// change all the time, and the target stops serving soon. A target that is idle for another reason
// may be back before a move would end.
func (c *Core) targetDeparts() bool {
	return c.self.Idle && c.self.DepartedTarget != ""
}

// ownMoves returns the moves that this owner should make, and plans them again if
// the routes or the configuration have changed.
func (c *Core) ownMoves(now time.Time) []handover.Move {
	snapshot := c.view.Snapshot()
	if !snapshot.SameService(c.planSnapshot, c.self.Service) || c.config.Number != c.planConfig {
		if !c.movedSincePlan {
			c.unchangedSince = now
		}
		c.movedSincePlan = false
		plan := c.planMoves
		if layout, ok := c.layout(); ok && layout.Ranged {
			plan = handover.PlanMinimal
		}
		c.plannedMoves = plan(snapshot, c.self.Service, c.eligible, c.self.Generation)
		c.planSnapshot, c.planConfig = snapshot, c.config.Number
	}
	return c.plannedMoves
}

const (
	// reasonBalance is the reason for moves that only even out the shares of slots.
	reasonBalance = "balance"
	// balanceRate limits such moves, as transactions per second of all daemons
	// together, so that the platform keeps capacity for take-overs.
	balanceRate = 100
	// unpacedMembers is the number of members up to which moves are not paced: all
	// their moves together take the platform only a few seconds.
	unpacedMembers = 50
)

// paceBalance sets the delay until the next move for balance, in proportion to the
// number of members. Moves of owners that must hand over their slots are not
// delayed.
func (c *Core) paceBalance(now time.Time, m Move) {
	if members := len(c.view.Members()); m.Reason == reasonBalance && members > unpacedMembers {
		c.nextBalanceMove = now.Add(time.Second * time.Duration(members) / balanceRate)
	}
}

func (c *Core) emitMove(moves []handover.Move, reason string) {
	snapshot := c.view.Snapshot()
	count := snapshot.SlotCount(c.self.Service)
	first := rowStart(moves[0], count)
	var batch []handover.Move
	for _, row := range c.slotRows(moves[:c.countFitting(moves, count)]) {
		resolved := c.resolveRow(*row, []wire.Generation{0}).Slots
		for _, m := range moves {
			if rowStart(m, count) != row.FirstSlot {
				continue
			}
			if entry := slotEntry(&resolved, m); entry != nil {
				m.Epoch = entry.Epoch
			}
			batch = append(batch, m)
		}
	}
	if len(batch) == 0 {
		return
	}
	c.moving = true
	c.emit(Move{
		Moves: batch, FirstSlot: first, TransferID: c.random.Uint64() | 1,
		DrainTimeout: c.drainTimeout(first), Reason: reason,
	})
}

// countFitting returns how many of the moves, from the first on, one hand-over can
// include without taking from more than rowsPerMove rows.
func (c *Core) countFitting(moves []handover.Move, count uint32) int {
	var rows []uint32
	for i, m := range moves {
		row := rowStart(m, count)
		if slices.Contains(rows, row) {
			continue
		}
		if len(rows) == c.rowsPerMove {
			return i
		}
		rows = append(rows, row)
	}
	return len(moves)
}

// slotRows returns the rows of slots that the moves take from, without duplicates,
// or nil if one of them is not known.
func (c *Core) slotRows(moves []handover.Move) []*routes.SlotsRow {
	count := c.view.Snapshot().SlotCount(c.self.Service)
	var rows []*routes.SlotsRow
	for _, m := range moves {
		row := c.view.SlotsRow(c.self.Service, rowStart(m, count))
		if row == nil {
			return nil
		}
		if !slices.Contains(rows, row) {
			rows = append(rows, row)
		}
	}
	return rows
}

const (
	// minDrainTimeout is how long the first attempt of a move waits for requests
	// that run in its slots before it is abandoned.
	minDrainTimeout = time.Second
	// maxDrainTimeout is the maximum drain timeout of the later attempts; it equals the
	// upper limit of a request kind's wait and of the drain setting.
	maxDrainTimeout = 10 * time.Minute
	// backoffPause is how long no move takes from a row after a move of it was
	// abandoned.
	backoffPause = 500 * time.Millisecond
)

// rowBackoff is the backoff of a row of slots whose requests did not end within the
// drain timeout.
type rowBackoff struct {
	until        time.Time
	drainTimeout time.Duration
}

func (c *Core) drainTimeout(first uint32) time.Duration {
	return max(minDrainTimeout, c.backoffs[first].drainTimeout)
}

// withoutBackoff returns the moves of rows that are not in backoff, so that a long
// request in one row doesn't delay the moves of other rows.
func (c *Core) withoutBackoff(now time.Time, moves []handover.Move) []handover.Move {
	if len(c.backoffs) == 0 {
		return moves
	}
	count := c.view.Snapshot().SlotCount(c.self.Service)
	return slices.DeleteFunc(slices.Clone(moves), func(m handover.Move) bool {
		return now.Before(c.backoffs[rowStart(m, count)].until)
	})
}

// moveFailed puts the row into backoff and doubles its drain timeout for the next
// attempt.
func (c *Core) moveFailed(now time.Time, m MoveFailed) {
	c.moving = false
	c.backoffs[m.Move.FirstSlot] = rowBackoff{
		until: now.Add(backoffPause), drainTimeout: min(maxDrainTimeout, 2*m.Move.DrainTimeout),
	}
}

// rowStart returns the first slot of the row that a move takes its slot or key from.
func rowStart(m handover.Move, count uint32) uint32 {
	slot := m.Slot
	if m.Key != "" {
		slot = routes.SlotOf(m.Key, count)
	}
	return routes.FirstSlotOf(slot)
}

// moveReady writes the new owners, now that no request runs in the slots and the
// new owners have their records. The write is also conditional on the own member
// row: once that row is closed, the heirs own all slots that were not handed over
// before.
func (c *Core) moveReady(now time.Time, m MoveReady) {
	rows := c.slotRows(m.Move.Moves)
	if c.writing || c.closing || len(rows) == 0 || !c.refounded() || !c.holder.Valid(now) || !c.newOwnersActive(m.Move) {
		c.abandonMove(m.Move)
		return
	}
	next := make([]wire.Slots, 0, len(rows))
	for _, row := range rows {
		slots, ok := c.transferSlots(row, m.Move)
		if !ok {
			c.abandonMove(m.Move)
			return
		}
		next = append(next, slots)
	}
	c.writeMove(m.Move, rows, next)
}

func (c *Core) abandonMove(move Move) {
	c.moving = false
	c.emit(FinishMove{Move: move})
}

// newOwnersActive reports whether all new owners are still active. The heirs of a
// failed new owner would not have the records.
func (c *Core) newOwnersActive(move Move) bool {
	for _, m := range move.Moves {
		if to := c.view.Member(m.To); to == nil || to.State != wire.StateActive {
			return false
		}
	}
	return true
}

// transferSlots returns the row after the moves. It reports false if this
// generation doesn't own all of the moved slots any more, under the epochs at which
// the records were collected.
func (c *Core) transferSlots(row *routes.SlotsRow, move Move) (wire.Slots, bool) {
	out := c.resolveRow(*row, []wire.Generation{0}).Slots
	for _, m := range move.Moves {
		if rowStart(m, row.TotalSlots) != row.FirstSlot {
			continue
		}
		entry := slotEntry(&out, m)
		if entry == nil || entry.Owner != c.self.Generation || entry.Epoch != m.Epoch && !c.faults.IgnoreEpoch {
			return out, false
		}
		if m.Rejoin {
			if !rejoinKey(&out, m, move.TransferID) {
				return out, false
			}
			continue
		}
		*entry = wire.Slot{
			Owner: m.To, Epoch: entry.Epoch + 1, TransferID: move.TransferID, AssignedAt: wire.UnixTimeOf(c.wall),
			Token: m.Token,
		}
		if m.Key != "" {
			setHot(&out, m.Key, *entry)
		}
	}
	return out, true
}

// slotEntry returns the entry that a move changes: the slot in the row itself, or a
// copy of the entry of its hot key. It returns nil if the hot key has no entry and is
// not being split from its slot.
func slotEntry(row *wire.Slots, m handover.Move) *wire.Slot {
	if m.Key == "" {
		return &row.Slots[m.Slot-row.FirstSlot]
	}
	for i := range row.HotKeys {
		if row.HotKeys[i].Key == m.Key {
			s := row.HotKeys[i].Slot
			return &s
		}
	}
	if !m.Split {
		return nil
	}
	s := row.Slots[m.Slot-row.FirstSlot]
	return &s
}

func setHot(row *wire.Slots, key string, s wire.Slot) {
	for i := range row.HotKeys {
		if row.HotKeys[i].Key == key {
			row.HotKeys[i].Slot = s
			return
		}
	}
	row.HotKeys = append(row.HotKeys, wire.HotKey{Key: key, Slot: s})
}

func (c *Core) writeMove(move Move, rows []*routes.SlotsRow, slots []wire.Slots) {
	change := c.newID()
	next := c.self
	next.Change, next.Reason = change, move.Reason
	tx := storage.Transaction{ID: change}
	for i, row := range rows {
		slots[i].Change = change
		next.ReleasedSlots = setReleased(next.ReleasedSlots, row.FirstSlot, slots[i].Revision)
		value, err := wire.Encode(&slots[i])
		if err != nil {
			c.abandonMove(move)
			return
		}
		key := routes.SlotsKey(row.Service, row.FirstSlot)
		tx.Conditions = append(tx.Conditions, storage.Condition{Key: key, Version: row.Version})
		tx.Writes = append(tx.Writes, storage.Write{Key: key, Value: value})
	}
	value, err := wire.Encode(&next)
	if err != nil {
		c.abandonMove(move)
		return
	}
	if !c.faults.UnguardedMove {
		key := routes.MemberKey(c.self.Generation)
		tx.Conditions = append(tx.Conditions, storage.Condition{Key: key, Version: c.version})
		tx.Writes = append(tx.Writes, storage.Write{Key: key, Value: value})
	}
	c.writing, c.writtenMove = true, &move
	c.emitWrite(Write{
		Purpose: PurposeMove, Move: move, Transaction: tx,
		Entry: audit.Entry{
			Who: c.self.Instance, What: audit.Move, Subject: tx.Writes[0].Key,
			From: formatGenerations([]wire.Generation{c.self.Generation}), To: formatGenerations(newOwners(move)), Why: move.Reason, Change: change,
		},
	})
}

// setReleased returns a copy of the list in which the row that starts at slot first
// has the given number.
func setReleased(list []wire.ReleasedSlots, first uint32, number uint64) []wire.ReleasedSlots {
	out := slices.Clone(list)
	for i := range out {
		if out[i].FirstSlot == first {
			out[i].Revision = number
			return out
		}
	}
	return append(out, wire.ReleasedSlots{FirstSlot: first, Revision: number})
}

// newOwners returns the new owners of a move, without duplicates.
func newOwners(move Move) []wire.Generation {
	var to []wire.Generation
	for _, m := range move.Moves {
		if !slices.Contains(to, m.To) {
			to = append(to, m.To)
		}
	}
	return to
}
