package control

import (
	"slices"
	"time"

	"fulmarrun/handover"
	"fulmarrun/routes"
	"fulmarrun/wire"
)

// hotChangeTimeout is how long a change of a hot key waits for the platform to
// answer before it is dropped.
const hotChangeTimeout = time.Second

// hotChange is a pending HotKeyDetected or HotKeyCooled.
type hotChange struct {
	message Message
	since   time.Time
}

// runHot applies the pending change of a hot key as soon as the platform is known
// to answer.
func (c *Core) runHot(now time.Time) {
	if c.pendingHot.message == nil {
		return
	}
	if now.Sub(c.pendingHot.since) > hotChangeTimeout {
		c.pendingHot = hotChange{}
		return
	}
	if !c.storeReady(now) {
		return
	}
	message := c.pendingHot.message
	c.pendingHot = hotChange{}
	switch m := message.(type) {
	case HotKeyDetected:
		c.splitHot(now, m)
	case HotKeyCooled:
		c.rejoinHot(now, m)
	}
}

// splitHot separates a hot key from its slot, which is owned here, and hands it
// over to a less loaded member.
func (c *Core) splitHot(now time.Time, m HotKeyDetected) {
	slot, ok := c.hotMoveSlot(now, m.Key)
	if !ok || !c.ownsSlot(slot) {
		return
	}
	to := c.view.Member(m.To)
	if to == nil || to.State != wire.StateActive || to.Service != c.self.Service {
		return
	}
	c.emitMove([]handover.Move{{
		Service: c.self.Service, Slot: slot, Key: m.Key, Split: true, To: m.To,
	}}, "the key is hot")
}

// rejoinHot hands a hot key that is owned here back to the owner of its slot.
func (c *Core) rejoinHot(now time.Time, m HotKeyCooled) {
	slot, ok := c.hotMoveSlot(now, m.Key)
	if !ok {
		return
	}
	row := c.view.SlotsRow(c.self.Service, routes.FirstSlotOf(slot))
	entry := row.Slots.Slots[slot-row.FirstSlot]
	// The records can be sent only to an owner that the entry itself names.
	if owner := c.view.Member(entry.Owner); owner == nil || owner.State == wire.StateClosed {
		return
	}
	c.emitMove([]handover.Move{{
		Service: c.self.Service, Slot: slot, Key: m.Key, Rejoin: true, To: entry.Owner,
	}}, "the key is no longer hot")
}

// hotMoveSlot returns the slot of a key; ok is false if no move may start now.
func (c *Core) hotMoveSlot(now time.Time, key string) (slot uint32, ok bool) {
	if c.moving || c.writing || c.closing || c.planning || c.leaveReason != "" || !c.holder.Valid(now) {
		return 0, false
	}
	count := c.view.Snapshot().SlotCount(c.self.Service)
	if count == 0 {
		return 0, false
	}
	slot = routes.SlotOf(key, count)
	row := c.view.SlotsRow(c.self.Service, routes.FirstSlotOf(slot))
	return slot, row != nil
}

func (c *Core) ownsSlot(slot uint32) bool {
	row := c.view.SlotsRow(c.self.Service, routes.FirstSlotOf(slot))
	r := c.view.Resolve(row, row.Slots.Slots[slot-row.FirstSlot], slot, "")
	return r.Owner == c.self.Generation
}

// rejoinKey merges a hot key back into its slot. The slot keeps its owner, under an
// epoch later than those of the slot and the key, and with the transfer ID under
// which the key's records were sent.
func rejoinKey(row *wire.Slots, m handover.Move, transfer uint64) bool {
	at := slices.IndexFunc(row.HotKeys, func(h wire.HotKey) bool { return h.Key == m.Key })
	entry := &row.Slots[m.Slot-row.FirstSlot]
	if at < 0 || entry.Owner != m.To {
		return false
	}
	entry.Epoch = max(entry.Epoch, row.HotKeys[at].Epoch) + 1
	entry.TransferID = transfer
	row.HotKeys = slices.Delete(row.HotKeys, at, at+1)
	return true
}
