package handover

import (
	"context"
	"fmt"
	"sync"

	"fulmarrun/outcome"
)

const unitShards = 64

// Units counts the requests that run in each unit and keeps others out of one
// that changes hands.
type Units struct {
	shards [unitShards]unitShard
}

type unitShard struct {
	mu    sync.Mutex
	units map[outcome.Unit]*unitState
}

type unitState struct {
	running int
	// frozen is closed when the unit may be entered again.
	frozen chan struct{}
	// empty is closed when the last request has left a frozen unit.
	empty chan struct{}
	// recalls are called when the unit is frozen.
	recalls map[*func()]struct{}
}

// NewUnits returns an empty set of units.
func NewUnits() *Units {
	u := &Units{}
	for i := range u.shards {
		u.shards[i].units = make(map[outcome.Unit]*unitState)
	}
	return u
}

func (u *Units) shard(unit outcome.Unit) *unitShard {
	h := unit.Slot
	for i := range len(unit.HotKey) {
		h = h*31 + uint32(unit.HotKey[i])
	}
	return &u.shards[h%unitShards]
}

// state returns the state of a unit, which it makes if there is none; the lock is
// held.
func (s *unitShard) state(unit outcome.Unit) *unitState {
	state := s.units[unit]
	if state == nil {
		state = &unitState{}
		s.units[unit] = state
	}
	return state
}

// Enter counts one request into a unit. If the unit is frozen, it does not, and
// returns a channel that is closed when the request may be routed again.
func (u *Units) Enter(unit outcome.Unit) (wait <-chan struct{}) {
	s := u.shard(unit)
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(unit)
	if state.frozen != nil {
		return state.frozen
	}
	state.running++
	return nil
}

// Leave ends what Enter began.
func (u *Units) Leave(unit outcome.Unit) {
	s := u.shard(unit)
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.units[unit]
	state.running--
	if state.running == 0 && state.empty != nil {
		close(state.empty)
		state.empty = nil
	}
}

// Recall has a function called once if the unit is frozen before stop is called.
// It is for a request that has entered and not begun: it should leave, rather
// than keep the unit from changing hands. The function must not block.
func (u *Units) Recall(unit outcome.Unit, recall func()) (stop func()) {
	s := u.shard(unit)
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.units[unit]
	if state.frozen != nil {
		recall()
		return func() {}
	}
	if state.recalls == nil {
		state.recalls = make(map[*func()]struct{})
	}
	key := &recall
	state.recalls[key] = struct{}{}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(state.recalls, key)
	}
}

// Freeze stops admission to a unit, recalls what has not begun and waits until nothing runs in it. If ctx
// ends first, the unit stays frozen until Thaw.
func (u *Units) Freeze(ctx context.Context, unit outcome.Unit) error {
	empty := u.stop(unit)
	if empty == nil {
		return nil
	}
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for running requests: %w", ctx.Err())
	}
}

func (u *Units) stop(unit outcome.Unit) <-chan struct{} {
	s := u.shard(unit)
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(unit)
	if state.frozen == nil {
		state.frozen = make(chan struct{})
		for recall := range state.recalls {
			(*recall)()
		}
	}
	if state.running == 0 {
		return nil
	}
	if state.empty == nil {
		state.empty = make(chan struct{})
	}
	return state.empty
}

// Thaw admits requests to a unit again and releases those who wait.
func (u *Units) Thaw(unit outcome.Unit) {
	s := u.shard(unit)
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.units[unit]
	if state == nil || state.frozen == nil {
		return
	}
	close(state.frozen)
	state.frozen = nil
	if state.running == 0 {
		delete(s.units, unit)
	}
}
