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

// moveState is what a Core knows of the slots that it is to give away.
type moveState struct {
	// moving is true from the start of a hand-over to its end.
	moving bool
	// slow are the rows of slots of which a move was put off.
	slow map[uint32]slowRow
	// moves is the own plan for planOf at the configuration planNumber.
	moves      []handover.Move
	planOf     *routes.Snapshot
	planNumber uint64
	// moved is true from an own move until the plan has been made anew.
	moved bool
	// quietSince is when others last changed the members or slots of the own
	// service, or the configuration did.
	quietSince  time.Time
	nextBalance time.Time
	hot         hotChange
	relief      relief
}

func newMoveState() moveState {
	return moveState{slow: make(map[uint32]slowRow)}
}

// startMove begins the next hand-over of own slots, one row at a time.
func (c *Core) startMove(now time.Time) {
	moves := c.ownPlan(now)
	if c.moving || c.closing || c.planning || !c.holder.Valid(now) {
		return
	}
	mustGo := !c.eligible(&routes.Owner{
		State: c.self.State, Service: c.self.Service, Domain: c.self.Domain, Instance: c.self.Instance,
	})
	if !mustGo && (now.Sub(c.quietSince) < settleTime || now.Before(c.nextBalance)) {
		return
	}
	moves = c.ready(now, moves)
	if len(moves) == 0 || !c.storeReady(now) {
		return
	}
	why := reasonBalance
	if mustGo {
		why = "the owner leaves or its failure domain is out"
	}
	c.emitMove(moves, why)
}

// ownPlan returns the moves that self should make.
func (c *Core) ownPlan(now time.Time) []handover.Move {
	snapshot := c.view.Snapshot()
	if !snapshot.SameService(c.planOf, c.self.Service) || c.config.Number != c.planNumber {
		if !c.moved {
			c.quietSince = now
		}
		c.moved = false
		plan := c.planMoves
		if shape, ok := c.shape(); ok && shape.Ranged {
			plan = handover.PlanMinimal
		}
		c.moves = plan(snapshot, c.self.Service, c.eligible, c.self.Generation)
		c.planOf, c.planNumber = snapshot, c.config.Number
	}
	return c.moves
}

const (
	// reasonBalance is the reason for moves that only even out the shares.
	reasonBalance = "balance"
	// balanceRate bounds such moves, as transactions a second of all daemons
	// together, so that they leave room at the platform for take-overs.
	balanceRate = 100
	// fewMembers is how many members are not held up: all that they have to move
	// is a few seconds' work for the platform.
	fewMembers = 50
)

// ration leaves time between two moves for balance, the more the more daemons
// there are. Moves of those who must give their slots away are not held up.
func (c *Core) ration(now time.Time, m Move) {
	if members := len(c.view.Members()); m.Reason == reasonBalance && members > fewMembers {
		c.nextBalance = now.Add(time.Second * time.Duration(members) / balanceRate)
	}
}

func (c *Core) emitMove(moves []handover.Move, why string) {
	snapshot := c.view.Snapshot()
	count := snapshot.SlotCount(c.self.Service)
	first := rowOf(moves[0], count)
	var batch []handover.Move
	for _, row := range c.rowsOf(moves[:c.fitting(moves, count)]) {
		now := c.fill(*row, []wire.Generation{0}).Slots
		for _, m := range moves {
			if rowOf(m, count) != row.FirstSlot {
				continue
			}
			if at := slotEntry(&now, m); at != nil {
				m.Epoch = at.Epoch
			}
			batch = append(batch, m)
		}
	}
	if len(batch) == 0 {
		return
	}
	c.moving = true
	c.emit(Move{
		Moves: batch, First: first, Transfer: c.random.Uint64() | 1,
		DrainTimeout: c.patience(first), Reason: why,
	})
}

// fitting returns how many of the moves, from the first on, one hand-over may make
// without taking from too many rows.
func (c *Core) fitting(moves []handover.Move, count uint32) int {
	var rows []uint32
	for i, m := range moves {
		row := rowOf(m, count)
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

// rowsOf returns the rows of slots that moves take from, each once; nil if one is
// not known.
func (c *Core) rowsOf(moves []handover.Move) []*routes.SlotsRow {
	count := c.view.Snapshot().SlotCount(c.self.Service)
	var rows []*routes.SlotsRow
	for _, m := range moves {
		row := c.view.SlotsRow(c.self.Service, rowOf(m, count))
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
	// firstPatience is how long requests may run on in slots that are to be given
	// away before the move is put off, the first time.
	firstPatience = time.Second
	// maxPatience is the longest such time; it is as long as a request may be
	// waited for.
	maxPatience = 10 * time.Minute
	// slowPause is how long a row is left alone after a move of it was put off.
	slowPause = 500 * time.Millisecond
)

// slowRow is a row of slots whose requests ran on for too long.
type slowRow struct {
	until    time.Time
	patience time.Duration
}

func (c *Core) patience(first uint32) time.Duration {
	return max(firstPatience, c.slow[first].patience)
}

// ready returns the moves of rows that are not left alone for now, so that a long
// request in one row does not keep the others here.
func (c *Core) ready(now time.Time, moves []handover.Move) []handover.Move {
	if len(c.slow) == 0 {
		return moves
	}
	count := c.view.Snapshot().SlotCount(c.self.Service)
	return slices.DeleteFunc(slices.Clone(moves), func(m handover.Move) bool {
		return now.Before(c.slow[rowOf(m, count)].until)
	})
}

// moveFailed leaves the row alone for a moment and is more patient next time.
func (c *Core) moveFailed(now time.Time, m MoveFailed) {
	c.moving = false
	c.slow[m.Move.First] = slowRow{
		until: now.Add(slowPause), patience: min(maxPatience, 2*m.Move.DrainTimeout),
	}
}

func rowOf(m handover.Move, count uint32) uint32 {
	slot := m.Slot
	if m.Key != "" {
		slot = routes.SlotOf(m.Key, count)
	}
	return routes.FirstSlotOf(slot)
}

// moveReady writes the change of hands, now that nothing runs in the slots and
// their records are with the next owners. The write is conditional on the own
// row too: once that is closed, the heirs own what was not given before.
func (c *Core) moveReady(now time.Time, m MoveReady) {
	rows := c.rowsOf(m.Move.Moves)
	if c.writing || c.closing || len(rows) == 0 || !c.holder.Valid(now) || !c.takersOpen(m.Move) {
		c.abandonMove(m.Move)
		return
	}
	next := make([]wire.Slots, 0, len(rows))
	for _, row := range rows {
		slots, ok := c.changeHands(row, m.Move)
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

// takersOpen tells whether all who are to be given something are still there; a
// loss would leave their heirs without the records.
func (c *Core) takersOpen(move Move) bool {
	for _, m := range move.Moves {
		if to := c.view.Member(m.To); to == nil || to.State != wire.StateActive {
			return false
		}
	}
	return true
}

// changeHands returns the row after the moves, and whether self still owns all
// of what is to be given, under the epochs at which the records were collected.
func (c *Core) changeHands(row *routes.SlotsRow, move Move) (wire.Slots, bool) {
	out := c.fill(*row, []wire.Generation{0}).Slots
	for _, m := range move.Moves {
		if rowOf(m, row.TotalSlots) != row.FirstSlot {
			continue
		}
		at := slotEntry(&out, m)
		if at == nil || at.Owner != c.self.Generation || at.Epoch != m.Epoch && !c.faults.IgnoreEpoch {
			return out, false
		}
		if m.Rejoin {
			if !rejoin(&out, m, move.Transfer) {
				return out, false
			}
			continue
		}
		*at = wire.Slot{
			Owner: m.To, Epoch: at.Epoch + 1, TransferID: move.Transfer, AssignedAt: wire.UnixTimeOf(c.wall),
			Token: m.Token,
		}
		if m.Key != "" {
			setHot(&out, m.Key, *at)
		}
	}
	return out, true
}

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
	change := c.name()
	next := c.self
	next.Change, next.Reason = change, move.Reason
	tx := storage.Transaction{ID: change}
	for i, row := range rows {
		slots[i].Change = change
		next.ReleasedSlots = given(next.ReleasedSlots, row.FirstSlot, slots[i].Revision)
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
	c.writing = true
	c.emit(Write{
		Purpose: PurposeMove, Move: move, Transaction: tx,
		Entry: audit.Entry{
			Who: c.self.Instance, What: audit.Move, Subject: tx.Writes[0].Key,
			From: names([]wire.Generation{c.self.Generation}), To: names(takersOf(move)), Why: move.Reason, Change: change,
		},
	})
}

// given returns the list with the row that starts at first at number.
func given(list []wire.ReleasedSlots, first uint32, number uint64) []wire.ReleasedSlots {
	out := slices.Clone(list)
	for i := range out {
		if out[i].FirstSlot == first {
			out[i].Revision = number
			return out
		}
	}
	return append(out, wire.ReleasedSlots{FirstSlot: first, Revision: number})
}

// takersOf returns who is given something, each once.
func takersOf(move Move) []wire.Generation {
	var to []wire.Generation
	for _, m := range move.Moves {
		if !slices.Contains(to, m.To) {
			to = append(to, m.To)
		}
	}
	return to
}
