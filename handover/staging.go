package handover

import (
	"sync"
	"time"

	"fulmarrun/outcome"
	"fulmarrun/wire"
)

// retention is how long the records of a handover that was not completed are kept.
const retention = time.Minute

// Staging keeps records received from other owners until ownership of their units arrives.
// It is safe for concurrent use.
type Staging struct {
	mu        sync.Mutex
	handovers map[stagedKey]*stagedHandover
}

// stagedKey identifies one handover of one unit. The unit and its epoch are not sufficient:
// when a handover is aborted and the owner is then lost, the next owner has the same epoch.
type stagedKey struct {
	unit     outcome.Unit
	transfer uint64
}

type stagedHandover struct {
	wire.RecordHandover
	updated time.Time
}

// NewStaging returns an empty Staging.
func NewStaging() *Staging {
	return &Staging{handovers: make(map[stagedKey]*stagedHandover)}
}

// Add stores records; those of one handover may arrive in several parts.
func (s *Staging) Add(now time.Time, m *wire.RecordHandover) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, entry := range s.handovers {
		if now.Sub(entry.updated) > retention {
			delete(s.handovers, key)
		}
	}
	key := stagedKey{
		unit:     outcome.Unit{Service: m.Service, Slot: m.Slot, HotKey: m.HotKey},
		transfer: m.TransferID,
	}
	staged := s.handovers[key]
	if staged == nil {
		s.handovers[key] = &stagedHandover{RecordHandover: *m, updated: now}
		return
	}
	staged.updated = now
	staged.Records = append(staged.Records, m.Records...)
}

// Take removes and returns the records of a unit that was gained by the given handover.
func (s *Staging) Take(unit outcome.Unit, transfer uint64) (m wire.RecordHandover, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := stagedKey{unit: unit, transfer: transfer}
	staged := s.handovers[key]
	if staged == nil || transfer == 0 {
		return wire.RecordHandover{}, false
	}
	delete(s.handovers, key)
	return staged.RecordHandover, true
}
