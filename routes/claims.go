package routes

import (
	"fulmarrun/storage"
	"fulmarrun/wire"
)

// claim is what a generation owned when it entered a timeline.
type claim struct {
	timeline uint64
	slots    []byte
}

// InBitmap reports whether a slot is set in a bitmap.
func InBitmap(bitmap []byte, slot uint32) bool {
	return slot/8 < uint32(len(bitmap)) && bitmap[slot/8]&(1<<(slot%8)) != 0
}

// SetInBitmap sets or clears a slot in a bitmap that is long enough.
func SetInBitmap(bitmap []byte, slot uint32, set bool) {
	if set {
		bitmap[slot/8] |= 1 << (slot % 8)
		return
	}
	bitmap[slot/8] &^= 1 << (slot % 8)
}

// Claim records what the generation of this daemon owned when it entered a timeline, until
// its row of that timeline is stored.
func (v *View) Claim(g wire.Generation, timeline uint64, slots []byte) {
	v.claims[g] = claim{timeline: timeline, slots: slots}
	if m := v.members[g]; m != nil {
		v.markDirty(m.Service)
	}
}

// ownsByEarlierRow reports whether a member that is named by a row of slots owns the slot,
// as far as the timelines of the two rows tell. By a row of an earlier timeline, only an
// open member owns slots, and only those that it has claimed.
func (v *View) ownsByEarlierRow(m *MemberRow, row *SlotsRow, slot uint32, hot string) (owns, earlier bool) {
	timeline, slots := storage.TimelineOf(m.Version), m.Claims
	if own, ok := v.claims[m.Generation]; ok && own.timeline > timeline {
		timeline, slots = own.timeline, own.slots
	}
	if timeline <= storage.TimelineOf(row.Version) {
		return false, false
	}
	return isOpen(m) && hot == "" && InBitmap(slots, slot), true
}
