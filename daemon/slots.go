package daemon

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/control"
	"fulmarrun/handover"
	"fulmarrun/outcome"
	"fulmarrun/peer"
	"fulmarrun/routes"
	"fulmarrun/target"
	"fulmarrun/wire"
)

const (
	// recordsPerFrame bounds the records that one frame carries.
	recordsPerFrame = 512
	// stagedLife is how long records of a hand-over that did not come to its end
	// are kept.
	stagedLife = time.Minute
)

// holding is one unit that this generation owns.
type holding struct {
	epoch    uint64
	transfer uint64
}

// holdings are the units that this generation owns, as last published.
type holdings map[outcome.Unit]holding

// gain is a unit that is new here.
type gain struct {
	unit outcome.Unit
	holding
}

// update brings the holdings in line with a snapshot.
func (h holdings) update(s *routes.Snapshot, self wire.Member) (gained []gain, lost []outcome.Unit) {
	present := make(holdings, len(h))
	for e := range s.Holdings(self.Service) {
		if e.Owner == nil || e.Owner.Generation != self.Generation {
			continue
		}
		unit := outcome.Unit{Service: self.Service, Slot: e.Slot}
		if e.Key != "" {
			unit = outcome.Unit{Service: self.Service, Hot: e.Key}
		}
		now := holding{epoch: e.Epoch, transfer: e.Transfer}
		present[unit] = now
		// A unit that is held already is new again if it went away and came back
		// between two snapshots, or if a hot key rejoined it with its records.
		if before, held := h[unit]; !held || before != now {
			gained = append(gained, gain{unit: unit, holding: now})
		}
	}
	for unit := range h {
		if _, still := present[unit]; !still {
			lost = append(lost, unit)
			delete(h, unit)
		}
	}
	for unit, now := range present {
		h[unit] = now
	}
	return gained, lost
}

// open starts the memory of units that are new here: what the last owner has
// handed over, or nothing but the time.
func (i *incarnation) open(gained []gain) {
	now := time.Now()
	for _, g := range gained {
		if memory, ok := i.staged.take(g.unit, g.transfer); ok {
			i.ledger.Import(memory)
			continue
		}
		since := now
		if g.epoch <= 1 {
			since = time.Time{}
		}
		i.ledger.Open(g.unit, since)
	}
}

func (i *incarnation) drop(lost []outcome.Unit) {
	for _, unit := range lost {
		i.ledger.Drop(unit)
	}
}

// grants returns the lists for a target that checks. A hot key of an own slot
// that another owns is withheld.
func (h holdings) grants(s *routes.Snapshot, service string) (slots []target.SlotGrant, hot []target.HotGrant) {
	for unit, held := range h {
		if unit.Hot == "" {
			slots = append(slots, target.SlotGrant{From: unit.Slot, To: unit.Slot, Epoch: held.epoch})
		}
	}
	for e := range s.Hot(service) {
		if held, own := h[outcome.Unit{Service: service, Hot: e.Key}]; own {
			hot = append(hot, target.HotGrant{Key: e.Key, Epoch: held.epoch})
			continue
		}
		if _, own := h[outcome.Unit{Service: service, Slot: e.Slot}]; own {
			hot = append(hot, target.HotGrant{Key: e.Key})
		}
	}
	slices.SortFunc(slots, func(a, b target.SlotGrant) int { return cmp.Compare(a.From, b.From) })
	slices.SortFunc(hot, func(a, b target.HotGrant) int { return cmp.Compare(a.Key, b.Key) })
	return slots, hot
}

// staged keeps the records that others have handed over until the slots follow.
type staged struct {
	mu       sync.Mutex
	memories map[stagedKey]*stagedMemory
}

type stagedKey struct {
	unit     outcome.Unit
	transfer uint64
}

type stagedMemory struct {
	wire.Memory
	at time.Time
}

func newStaged() *staged {
	return &staged{memories: make(map[stagedKey]*stagedMemory)}
}

func (s *staged) add(m *wire.Memory) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for key, old := range s.memories {
		if now.Sub(old.at) > stagedLife {
			delete(s.memories, key)
		}
	}
	key := stagedKey{
		unit:     outcome.Unit{Service: m.Service, Slot: m.Slot, Hot: m.Hot},
		transfer: m.Transfer,
	}
	held := s.memories[key]
	if held == nil {
		s.memories[key] = &stagedMemory{Memory: *m, at: now}
		return
	}
	held.at = now
	held.Records = append(held.Records, m.Records...)
}

func (s *staged) take(unit outcome.Unit, transfer uint64) (wire.Memory, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := stagedKey{unit: unit, transfer: transfer}
	held := s.memories[key]
	if held == nil || transfer == 0 {
		return wire.Memory{}, false
	}
	delete(s.memories, key)
	return held.Memory, true
}

// errNotOpen is returned for a unit that this generation does not own.
var errNotOpen = errors.New("not owned here")

// prepareMove empties the slots of a move and hands their records over.
func (i *incarnation) prepareMove(ctx context.Context, m control.Move) {
	ctx, cancel := context.WithTimeout(ctx, m.Patience)
	defer cancel()
	for _, move := range m.Moves {
		if err := i.prepareUnit(ctx, m.Transfer, move); err != nil {
			i.d.log.Warn("move given up", "instance", i.self.Instance, "slot", move.Slot, "err", err)
			i.thaw(m)
			i.post(i.ctx, control.MoveFailed{Move: m})
			return
		}
	}
	i.post(i.ctx, control.MoveReady{Move: m})
}

func (i *incarnation) prepareUnit(ctx context.Context, transfer uint64, move handover.Move) error {
	unit := unitOf(move)
	if err := i.d.units.Freeze(ctx, unit); err != nil {
		return fmt.Errorf("empty unit: %w", err)
	}
	memory, ok := i.ledger.Export(unit)
	if !ok {
		return fmt.Errorf("unit %v: %w", unit, errNotOpen)
	}
	memory.Transfer, memory.To = transfer, move.To
	switch {
	case move.Split:
		memory.Slot, memory.Hot = 0, move.Key
	case move.Rejoin:
		memory.Slot, memory.Hot = move.Slot, ""
	}
	to := i.d.server.Standing().Snapshot.Owner(move.To)
	if to == nil {
		return errNotReady
	}
	records := memory.Records
	for first := true; first || len(records) > 0; first = false {
		n := min(len(records), recordsPerFrame)
		memory.Records, records = records[:n], records[n:]
		if _, err := peer.Call[wire.Ack](ctx, i.d.peers, to.Peer, peer.KindMemory, &memory); err != nil {
			return fmt.Errorf("hand records over: %w", err)
		}
	}
	return nil
}

// endMove admits requests again; those that waited are routed by the routes that
// have just been published.
func (i *incarnation) endMove(end control.MoveEnd) {
	i.thaw(end.Move)
	i.d.counters.moved.Inc(int64(len(end.Move.Moves)))
}

func (i *incarnation) thaw(m control.Move) {
	for _, move := range m.Moves {
		unit := unitOf(move)
		i.ledger.Thaw(unit)
		i.d.units.Thaw(unit)
	}
}

// unitOf returns the unit that a move takes from; a key that is split off is
// still part of its slot.
func unitOf(m handover.Move) outcome.Unit {
	if m.Key != "" && !m.Split {
		return outcome.Unit{Service: m.Service, Hot: m.Key}
	}
	return outcome.Unit{Service: m.Service, Slot: m.Slot}
}
