// Package control is the control state of one generation of a daemon: its row,
// its lease, what it witnesses, the rows it knows, and what it plans.
//
// A Core is a pure state machine. Step takes one typed message and the time and
// returns the effects that the shell is to carry out; the result of an effect
// comes back as a later message. The Core never blocks, reads no clock and opens
// no socket, so that tests drive it with generated interleavings.
//
// # Usage
//
//	core := control.NewCore(member, control.WithSeed(1))
//	for _, effect := range core.Step(now, control.Tick{}) {
//		shell.carryOut(effect)
//	}
//	snapshot, until := core.Snapshot(), core.LeaseUntil()
package control
