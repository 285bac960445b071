package admission

// Permit allows one request to be sent to the target. The zero Permit allows nothing.
type Permit struct {
	gate *Gate
	slot Slot
}

// Done returns the permit and reports how the request ended. Calls after the first have
// no effect.
func (p Permit) Done(c Completion) {
	if p.gate != nil {
		p.gate.done(p.slot, c)
	}
}
