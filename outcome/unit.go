package outcome

// Unit is what is owned and handed over as one: a slot of a service, or a hot
// key that is apart from its slot.
type Unit struct {
	Service string
	Slot    uint32
	// HotKey is the hot key; empty for the slot.
	HotKey string
}

// unit is the state of one open Unit.
type unit struct {
	// number tells units apart in the keys of records.
	number uint32
	// taken is the floor that a take-over set, in milliseconds since the Unix
	// epoch: an ID made before it may have run at the previous owner.
	taken int64
	// dropped is the floor above the records that were dropped.
	dropped int64
	// blind is the time in milliseconds until which an ID that has no time and no
	// record may have run.
	blind   int64
	frozen  bool
	running int
}

// raise notes that a record of an ID made before floor may be missing.
func (u *unit) raise(floor int64) { u.dropped = max(u.dropped, floor) }

// floor is the time before which an ID without a record may have run.
func (u *unit) floor() int64 { return max(u.taken, u.dropped) }
