// Package control implements the control state of one generation of a daemon: its
// member row, its lease and the leases that it witnesses, the rows that it knows,
// and the assignment and hand-over of slots.
//
// A Core is a pure state machine. Step takes one typed message and the time and
// returns the effects that the shell has to carry out; the result of an effect
// arrives as a later message. The Core never blocks, reads no clock and opens
// no socket, so that tests can drive it with generated interleavings.
//
// # Usage
//
//	core := control.NewCore(member, control.WithSeed(1))
//	for _, effect := range core.Step(now, control.Tick{}) {
//		shell.carryOut(effect)
//	}
//	snapshot, until := core.Snapshot(), core.LeaseUntil()
package control
