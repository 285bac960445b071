// Package grants decides which ranges of keys the daemon grants to its target, and when the
// target certainly no longer holds a range. It is for targets that fetch their grants
// themselves: a target sends a beat, and the answer lists all ranges that it may hold and
// for how long, counted from when the beat was sent.
//
// # Rules
//
//   - A grant ends before the lease that it is based on, even if the target's clock runs
//     slow.
//   - A slot that is to change owners is omitted from the answers. It is free once the
//     target has reported that it released it, or once all its grants have expired.
//   - What was granted to one process of a target may be granted to another process only
//     under a later epoch. A Table that has granted anything therefore serves only one
//     process.
//
// # Usage
//
//	table := grants.NewTable(inheritedUntil, grants.WithMaxHold(10*time.Second))
//	table.SetSlots(slots)                  // whenever the routes change
//	answer := table.Beat(now, beat, until) // for each current beat
//	table.Withhold(slot)                   // before a slot is moved away
//	if token, free := table.Free(now, slot); free { ... }
//
// A Table is driven by messages and the current time, and is not safe for concurrent use.
// Times are those of package clock.
package grants
