package outcome

// Unit is what is owned and handed over as one: a slot of a service, or a hot
// key that is apart from its slot.
type Unit struct {
	Service string
	Slot    uint32
	// Hot is the hot key; empty for the slot.
	Hot string
}

// unit is the state of one open Unit.
type unit struct {
	// number tells units apart in the keys of records.
	number uint32
	// floor is the time in milliseconds before which an ID without a record may
	// have run.
	floor int64
	// blind is the time in milliseconds until which an ID that has no time and no
	// record may have run.
	blind   int64
	frozen  bool
	running int
}

func (u *unit) raise(floor int64) { u.floor = max(u.floor, floor) }
