package control

import (
	"slices"
	"time"

	"fulmarrun/handover"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

// reliefPatience is how long a relief that was found waits to be acted on.
const reliefPatience = time.Second

// relief is a LoadFound that waits to be acted on.
type relief struct {
	moves []handover.Move
	since time.Time
}

// runRelief gives own slots to a member that has less to do, as soon as the platform
// is known to answer.
func (c *Core) runRelief(now time.Time) {
	if len(c.relief.moves) == 0 {
		return
	}
	if now.Sub(c.relief.since) > reliefPatience {
		c.relief = relief{}
		return
	}
	if c.moving || c.writing || c.closing || c.planning || c.leaving != "" || !c.holder.Valid(now) || !c.storeReady(now) {
		return
	}
	moves := slices.DeleteFunc(c.relief.moves, func(m handover.Move) bool {
		to := c.view.Member(m.To)
		return to == nil || to.State != wire.StateActive || to.Idle || !c.owns(m.Slot)
	})
	c.relief = relief{}
	if len(moves) > 0 {
		c.emitMove(moves, "the target has too much to do")
	}
}

// owns tells whether a slot of the own service is owned here.
func (c *Core) owns(slot uint32) bool {
	if slot >= c.view.Snapshot().SlotCount(c.self.Service) || c.view.SlotsRow(c.self.Service, routes.FirstSlotOf(slot)) == nil {
		return false
	}
	return c.ownsSlot(slot)
}
