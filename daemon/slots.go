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
	// maxRecordsPerFrame bounds the number of records in one frame.
	maxRecordsPerFrame = 512
)

// openUnits opens the ledger of newly assigned units with the records that the previous
// owner handed over. Without records, the ledger knows the runs of a unit only from now
// on, unless the unit never had an owner.
func (i *incarnation) openUnits(gained []handover.GainedUnit) {
	now := time.Now()
	for _, g := range gained {
		if handedOver, ok := i.staging.Take(g.Unit, g.TransferID); ok {
			i.ledger.Import(handedOver)
			continue
		}
		since := now
		if g.Epoch <= 1 {
			since = time.Time{}
		}
		i.ledger.Open(g.Unit, since)
	}
}

func (i *incarnation) dropUnits(lost []outcome.Unit) {
	for _, unit := range lost {
		i.ledger.Drop(unit)
	}
}

// grantLists returns the slot and hot key grants for a target that checks them. A hot
// key that belongs to one of its slots but has another owner is listed without an
// epoch, so that the target does not accept it.
func (i *incarnation) grantLists(s *routes.Snapshot) (slots []targethttp.SlotGrant, hot []targethttp.HotGrant) {
	service := i.self.Service
	for unit, held := range i.heldUnits {
		if unit.HotKey == "" {
			slots = append(slots, targethttp.SlotGrant{From: unit.Slot, To: unit.Slot, Epoch: held.Epoch})
		}
	}
	for e := range s.HotKeys(service) {
		if held, owned := i.heldUnits[outcome.Unit{Service: service, HotKey: e.Key}]; owned {
			hot = append(hot, targethttp.HotGrant{Key: e.Key, Epoch: held.Epoch})
			continue
		}
		if _, owned := i.heldUnits[outcome.Unit{Service: service, Slot: e.Slot}]; owned {
			hot = append(hot, targethttp.HotGrant{Key: e.Key})
		}
	}
	slices.SortFunc(slots, func(a, b targethttp.SlotGrant) int { return cmp.Compare(a.From, b.From) })
	slices.SortFunc(hot, func(a, b targethttp.HotGrant) int { return cmp.Compare(a.Key, b.Key) })
	return slots, hot
}

// errNotOwned is returned for a unit that this generation does not own.
var errNotOwned = errors.New("not owned here")

// prepareMove drains the slots of a move and hands their records over.
func (i *incarnation) prepareMove(ctx context.Context, m control.Move) {
	ctx, cancel := context.WithTimeout(ctx, m.DrainTimeout)
	defer cancel()
	for _, move := range m.Moves {
		if err := i.prepareUnit(ctx, m.TransferID, move); err != nil {
			i.d.log.Warn(logs.EventMoveAbandoned, logs.FieldSlot, move.Slot, logs.FieldErr, err)
			i.unfreezeUnits(m)
			i.post(i.ctx, control.MoveFailed{Move: m})
			return
		}
	}
	i.post(i.ctx, control.MoveReady{Move: m})
}

func (i *incarnation) prepareUnit(ctx context.Context, transfer uint64, move handover.Move) error {
	unit := unitOf(move)
	if err := i.d.units.Freeze(ctx, unit); err != nil {
		return fmt.Errorf("drain unit: %w", err)
	}
	exported, ok := i.ledger.Export(unit)
	if !ok {
		return fmt.Errorf("unit %v: %w", unit, errNotOwned)
	}
	exported.TransferID, exported.To = transfer, move.To
	switch {
	case move.Split:
		exported.Slot, exported.HotKey = 0, move.Key
	case move.Rejoin:
		exported.Slot, exported.HotKey = move.Slot, ""
	}
	to := i.d.server.ServingState().Snapshot.Owner(move.To)
	if to == nil {
		return errNotReady
	}
	records := exported.Records
	for first := true; first || len(records) > 0; first = false {
		n := min(len(records), maxRecordsPerFrame)
		exported.Records, records = records[:n], records[n:]
		if _, err := peer.Call[wire.Ack](ctx, i.d.peers, to.Peer, peer.KindRecordHandover, &exported); err != nil {
			return fmt.Errorf("hand records over: %w", err)
		}
	}
	return nil
}

// finishMove admits requests again. Those that waited follow the routes that have just
// been published. Slots that are still owned here are granted again.
func (i *incarnation) finishMove(finished control.FinishMove) {
	i.unfreezeUnits(finished.Move)
	if i.d.fetchedGrants != nil {
		i.cancelWithhold(finished.Move.Moves, nil)
	}
	i.d.counters.moved.Inc(int64(len(finished.Move.Moves)))
}

func (i *incarnation) unfreezeUnits(m control.Move) {
	for _, move := range m.Moves {
		unit := unitOf(move)
		i.ledger.Unfreeze(unit)
		i.d.units.Unfreeze(unit)
	}
}

// unitOf returns the unit that a move moves keys out of. A key that is being split off
// is still part of its slot.
func unitOf(m handover.Move) outcome.Unit {
	if m.Key != "" && !m.Split {
		return outcome.Unit{Service: m.Service, HotKey: m.Key}
	}
	return outcome.Unit{Service: m.Service, Slot: m.Slot}
}
