package handover

import (
	"context"
	"fmt"
	"sync"

	"fulmarrun/outcome"
)

const unitShards = 64

// Units counts the running requests of each unit and blocks requests to a unit while its
// owner changes.
type Units struct {
	shards [unitShards]unitShard
}

type unitShard struct {
	mu    sync.Mutex
	units map[outcome.Unit]*unitState
}

type unitState struct {
	running int
	// unfrozen is closed when the unit is unfrozen; nil while it is not frozen.
	unfrozen chan struct{}
	// drained is closed when the last request has left a frozen unit.
	drained chan struct{}
	// onFreeze are the functions to call when the unit is frozen.
	onFreeze map[*func()]struct{}
}

// NewUnits returns Units without requests.
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

// state returns the state of a unit and creates it if needed. The caller holds the lock.
func (s *unitShard) state(unit outcome.Unit) *unitState {
	state := s.units[unit]
	if state == nil {
		state = &unitState{}
		s.units[unit] = state
	}
	return state
}

// Enter counts a request into a unit and returns nil. If the unit is frozen, it does not
// count it, and returns a channel that is closed when the request may be routed again.
func (u *Units) Enter(unit outcome.Unit) (wait <-chan struct{}) {
	s := u.shard(unit)
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(unit)
	if state.unfrozen != nil {
		return state.unfrozen
	}
	state.running++
	return nil
}

// Leave removes a request that Enter counted.
func (u *Units) Leave(unit outcome.Unit) {
	s := u.shard(unit)
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.units[unit]
	state.running--
	if state.running == 0 && state.drained != nil {
		close(state.drained)
		state.drained = nil
	}
}

// OnFreeze registers a function that is called once if the unit is frozen before stop is
// called. It is for a request that is counted by Enter but has not started, which should
// call Leave rather than delay the change of owner. The function must not block.
func (u *Units) OnFreeze(unit outcome.Unit, callback func()) (stop func()) {
	s := u.shard(unit)
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.units[unit]
	if state.unfrozen != nil {
		callback()
		return func() {}
	}
	if state.onFreeze == nil {
		state.onFreeze = make(map[*func()]struct{})
	}
	key := &callback
	state.onFreeze[key] = struct{}{}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(state.onFreeze, key)
	}
}

// Freeze stops admission to a unit, calls the functions registered by OnFreeze, and waits
// until no request runs in the unit. If ctx ends first, the unit stays frozen until Unfreeze.
func (u *Units) Freeze(ctx context.Context, unit outcome.Unit) error {
	drained := u.stop(unit)
	if drained == nil {
		return nil
	}
	select {
	case <-drained:
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
	if state.unfrozen == nil {
		state.unfrozen = make(chan struct{})
		for callback := range state.onFreeze {
			(*callback)()
		}
	}
	if state.running == 0 {
		return nil
	}
	if state.drained == nil {
		state.drained = make(chan struct{})
	}
	return state.drained
}

// Unfreeze admits requests to a unit again and wakes those that wait.
func (u *Units) Unfreeze(unit outcome.Unit) {
	s := u.shard(unit)
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.units[unit]
	if state == nil || state.unfrozen == nil {
		return
	}
	close(state.unfrozen)
	state.unfrozen = nil
	if state.running == 0 {
		delete(s.units, unit)
	}
}
