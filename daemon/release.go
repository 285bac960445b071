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
	// releasePoll is how often a hand-over looks at what the target has released.
	releasePoll = 25 * time.Millisecond
	// releaseWait is how long a hand-over waits for more once some slots are free.
	releaseWait = 200 * time.Millisecond
)

// release has the target give up the slots of a move, and reports those that it
// has given up by then.
func (i *incarnation) release(ctx context.Context, m control.Move) {
	ctx, cancel := context.WithTimeout(ctx, m.DrainTimeout+fetchTTL)
	defer cancel()
	f := i.d.fetched
	f.mu.Lock()
	for _, move := range m.Moves {
		f.book.Withhold(move.Slot)
	}
	f.mu.Unlock()
	var some time.Time
	for {
		free := f.free(m.Moves)
		if len(free) > 0 && some.IsZero() {
			some = clock.Now()
		}
		if len(free) == len(m.Moves) || len(free) > 0 && clock.Since(some) > releaseWait {
			ready := m
			ready.Moves = free
			i.unhold(m.Moves, free)
			i.post(i.ctx, control.MoveReady{Move: ready})
			return
		}
		if storage.Sleep(ctx, releasePoll) != nil {
			i.unhold(m.Moves, nil)
			i.post(i.ctx, control.MoveFailed{Move: m})
			return
		}
	}
}

// free returns the moves whose slots the target holds no more, with its tokens.
func (f *fetched) free(moves []handover.Move) []handover.Move {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	var out []handover.Move
	for _, m := range moves {
		if token, ok := f.book.Free(now, m.Slot); ok {
			m.Token = token
			out = append(out, m)
		}
	}
	return out
}

// unhold has the slots of moves granted again, but for those that are given away.
func (i *incarnation) unhold(moves, given []handover.Move) {
	kept := make(map[uint32]bool)
	for _, m := range given {
		kept[m.Slot] = true
	}
	f := i.d.fetched
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range moves {
		if !kept[m.Slot] {
			f.book.CancelWithhold(m.Slot)
		}
	}
}
