package handover

import (
	"sync"
	"time"

	"fulmarrun/outcome"
	"fulmarrun/wire"
)

// stagedLife is how long records of a hand-over that did not come to its end are
// kept.
const stagedLife = time.Minute

// Staging keeps the records that others have handed over until the units follow.
// It is safe for concurrent use.
type Staging struct {
	mu       sync.Mutex
	memories map[stagedKey]*stagedMemory
}

// stagedKey names one hand-over of one unit. The unit and its epoch would not do:
// a loss after a hand-over that was given up leads to the same epoch.
type stagedKey struct {
	unit     outcome.Unit
	transfer uint64
}

type stagedMemory struct {
	wire.RecordHandover
	at time.Time
}

// NewStaging returns an empty Staging.
func NewStaging() *Staging {
	return &Staging{memories: make(map[stagedKey]*stagedMemory)}
}

// Add takes in records; those of one hand-over may come in several parts.
func (s *Staging) Add(now time.Time, m *wire.RecordHandover) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, old := range s.memories {
		if now.Sub(old.at) > stagedLife {
			delete(s.memories, key)
		}
	}
	key := stagedKey{
		unit:     outcome.Unit{Service: m.Service, Slot: m.Slot, HotKey: m.HotKey},
		transfer: m.TransferID,
	}
	held := s.memories[key]
	if held == nil {
		s.memories[key] = &stagedMemory{RecordHandover: *m, at: now}
		return
	}
	held.at = now
	held.Records = append(held.Records, m.Records...)
}

// Take returns and forgets the records of a unit that came by a hand-over.
func (s *Staging) Take(unit outcome.Unit, transfer uint64) (m wire.RecordHandover, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := stagedKey{unit: unit, transfer: transfer}
	held := s.memories[key]
	if held == nil || transfer == 0 {
		return wire.RecordHandover{}, false
	}
	delete(s.memories, key)
	return held.RecordHandover, true
}
