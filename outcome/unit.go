package outcome

// Unit is the unit of ownership and hand-over: a slot of a service, or a hot key that
// is owned separately from its slot.
type Unit struct {
	Service string
	Slot    uint32
	// HotKey is the hot key; empty if the unit is the slot.
	HotKey string
}

// unit is the state of one open Unit.
type unit struct {
	// number identifies the unit in the keys of records.
	number uint32
	// takeoverFloor is set by a take-over, in milliseconds since the Unix epoch: an ID
	// created before this time may have run at the previous owner.
	takeoverFloor int64
	// dropFloor is greater than the creation time of every ID whose record was
	// evicted, in milliseconds since the Unix epoch: the record of an ID created
	// earlier may be missing.
	dropFloor int64
	// untimedUntil is the time in milliseconds until which an ID without a time and
	// without a record may have run.
	untimedUntil int64
	frozen       bool
	running      int
}

// raiseFloor records that the record of an ID may be missing if the ID was created
// before the time floor, in milliseconds since the Unix epoch.
func (u *unit) raiseFloor(floor int64) { u.dropFloor = max(u.dropFloor, floor) }

// floor returns a time in milliseconds since the Unix epoch: an ID without a record may
// have run if it was created before this time, and has not run otherwise.
func (u *unit) floor() int64 { return max(u.takeoverFloor, u.dropFloor) }
