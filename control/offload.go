package control

import (
	"slices"
	"time"

	"fulmarrun/handover"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

// offloadTimeout is how long the moves of an OverloadDetected wait to be started.
const offloadTimeout = time.Second

// offload is a pending OverloadDetected.
type offload struct {
	moves []handover.Move
	since time.Time
}

// runOffload hands over slots owned here to a less loaded member, as soon as the
// platform is known to answer.
func (c *Core) runOffload(now time.Time) {
	if len(c.offload.moves) == 0 {
		return
	}
	if now.Sub(c.offload.since) > offloadTimeout {
		c.offload = offload{}
		return
	}
	if c.moving || c.writing || c.closing || c.planning || c.leaveReason != "" || !c.holder.Valid(now) || !c.storeReady(now) {
		return
	}
	moves := slices.DeleteFunc(c.offload.moves, func(m handover.Move) bool {
		to := c.view.Member(m.To)
		return to == nil || to.State != wire.StateActive || to.Idle || !c.owns(m.Slot)
	})
	c.offload = offload{}
	if len(moves) > 0 {
		c.emitMove(moves, "the target has too much to do")
	}
}

// owns reports whether this generation owns a slot of its service.
func (c *Core) owns(slot uint32) bool {
	if slot >= c.view.Snapshot().SlotCount(c.self.Service) || c.view.SlotsRow(c.self.Service, routes.FirstSlotOf(slot)) == nil {
		return false
	}
	return c.ownsSlot(slot)
}
