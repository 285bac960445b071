package daemon

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"fulmarrun/control"
	"fulmarrun/handover"
	"fulmarrun/logs"
	"fulmarrun/outcome"
	"fulmarrun/peer"
	"fulmarrun/routes"
	"fulmarrun/targethttp"
	"fulmarrun/wire"
)

const (
	// recordsPerFrame bounds the records that one frame carries.
	recordsPerFrame = 512
)

// open starts the memory of units that are new here: what the last owner has
// handed over, or nothing but the time.
func (i *incarnation) open(gained []handover.GainedUnit) {
	now := time.Now()
	for _, g := range gained {
		if memory, ok := i.staging.Take(g.Unit, g.TransferID); ok {
			i.ledger.Import(memory)
			continue
		}
		since := now
		if g.Epoch <= 1 {
			since = time.Time{}
		}
		i.ledger.Open(g.Unit, since)
	}
}

func (i *incarnation) drop(lost []outcome.Unit) {
	for _, unit := range lost {
		i.ledger.Drop(unit)
	}
}

// grants returns the lists for a target that checks. A hot key of an own slot
// that another owns is withheld.
func (i *incarnation) grants(s *routes.Snapshot) (slots []targethttp.SlotGrant, hot []targethttp.HotGrant) {
	service := i.self.Service
	for unit, held := range i.held {
		if unit.HotKey == "" {
			slots = append(slots, targethttp.SlotGrant{From: unit.Slot, To: unit.Slot, Epoch: held.Epoch})
		}
	}
	for e := range s.HotKeys(service) {
		if held, own := i.held[outcome.Unit{Service: service, HotKey: e.Key}]; own {
			hot = append(hot, targethttp.HotGrant{Key: e.Key, Epoch: held.Epoch})
			continue
		}
		if _, own := i.held[outcome.Unit{Service: service, Slot: e.Slot}]; own {
			hot = append(hot, targethttp.HotGrant{Key: e.Key})
		}
	}
	slices.SortFunc(slots, func(a, b targethttp.SlotGrant) int { return cmp.Compare(a.From, b.From) })
	slices.SortFunc(hot, func(a, b targethttp.HotGrant) int { return cmp.Compare(a.Key, b.Key) })
	return slots, hot
}

// errNotOpen is returned for a unit that this generation does not own.
var errNotOpen = errors.New("not owned here")

// prepareMove empties the slots of a move and hands their records over.
func (i *incarnation) prepareMove(ctx context.Context, m control.Move) {
	ctx, cancel := context.WithTimeout(ctx, m.DrainTimeout)
	defer cancel()
	for _, move := range m.Moves {
		if err := i.prepareUnit(ctx, m.TransferID, move); err != nil {
			i.d.log.Warn(logs.EventMoveEnded, logs.FieldSlot, move.Slot, logs.FieldErr, err)
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
	memory.TransferID, memory.To = transfer, move.To
	switch {
	case move.Split:
		memory.Slot, memory.HotKey = 0, move.Key
	case move.Rejoin:
		memory.Slot, memory.HotKey = move.Slot, ""
	}
	to := i.d.server.ServingState().Snapshot.Owner(move.To)
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
// have just been published. What is still owned then is granted again.
func (i *incarnation) endMove(end control.FinishMove) {
	i.thaw(end.Move)
	if i.d.fetched != nil {
		i.unhold(end.Move.Moves, nil)
	}
	i.d.counters.moved.Inc(int64(len(end.Move.Moves)))
}

func (i *incarnation) thaw(m control.Move) {
	for _, move := range m.Moves {
		unit := unitOf(move)
		i.ledger.Unfreeze(unit)
		i.d.units.Unfreeze(unit)
	}
}

// unitOf returns the unit that a move takes from; a key that is split off is
// still part of its slot.
func unitOf(m handover.Move) outcome.Unit {
	if m.Key != "" && !m.Split {
		return outcome.Unit{Service: m.Service, HotKey: m.Key}
	}
	return outcome.Unit{Service: m.Service, Slot: m.Slot}
}
