package daemon

import (
	"context"
	"time"

	"fulmarrun/clock"
	"fulmarrun/control"
	"fulmarrun/handover"
	"fulmarrun/storage"
)

const (
	// releasePoll is how often a hand-over checks which slots the target has released.
	releasePoll = 25 * time.Millisecond
	// releaseBatchWait is how long a hand-over waits for further slots once the first is
	// released.
	releaseBatchWait = 200 * time.Millisecond
)

// releaseSlots withholds the slots of a move from the target and reports the slots that
// it has released when all are, or releaseBatchWait after the first one.
func (i *incarnation) releaseSlots(ctx context.Context, m control.Move) {
	ctx, cancel := context.WithTimeout(ctx, m.DrainTimeout+fetchedLeaseTTL)
	defer cancel()
	f := i.d.fetchedGrants
	f.mu.Lock()
	for _, move := range m.Moves {
		f.table.Withhold(move.Slot)
	}
	f.mu.Unlock()
	var firstReleased time.Time
	for {
		released := f.released(m.Moves)
		if len(released) > 0 && firstReleased.IsZero() {
			firstReleased = clock.Now()
		}
		if len(released) == len(m.Moves) || len(released) > 0 && clock.Since(firstReleased) > releaseBatchWait {
			ready := m
			ready.Moves = released
			i.cancelWithhold(m.Moves, released)
			i.post(i.ctx, control.MoveReady{Move: ready})
			return
		}
		if storage.Sleep(ctx, releasePoll) != nil {
			i.cancelWithhold(m.Moves, nil)
			i.post(i.ctx, control.MoveFailed{Move: m})
			return
		}
	}
}

// released returns the moves whose slots the target no longer holds, with the tokens
// that it returned.
func (f *fetchedGrants) released(moves []handover.Move) []handover.Move {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	var out []handover.Move
	for _, m := range moves {
		if token, ok := f.table.Free(now, m.Slot); ok {
			m.Token = token
			out = append(out, m)
		}
	}
	return out
}

// cancelWithhold grants the slots of moves again, except those that are in moved.
func (i *incarnation) cancelWithhold(moves, moved []handover.Move) {
	movedSlots := make(map[uint32]bool)
	for _, m := range moved {
		movedSlots[m.Slot] = true
	}
	f := i.d.fetchedGrants
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range moves {
		if !movedSlots[m.Slot] {
			f.table.CancelWithhold(m.Slot)
		}
	}
}
