// Package quarantine finds requests that crash the targets that run them, and shuts them out.
//
// Repetitions of a request have IDs of their own, so a request is known by a fingerprint of its
// content. A request that was at work at a target when that target ended is a suspect, unless a target
// has answered it within the last ten seconds. An answer clears it of all crashes that are known. It is
// shut out once three processes of targets have ended under it and it was the main suspect at one of
// them: no other request at work had as many crashes. Without that it takes five. A target is given one
// suspect at a time, so that its end tells which of them is to blame.
//
// A Target follows the requests of the target beside a daemon. A Ledger holds the crashes that are
// known of each request, from this target and from the ledgers of other daemons; merging is
// idempotent and does not depend on the order. Both decide from their state and the time they are given
// alone, and are safe for concurrent use.
//
// What is known of a request is dropped ten minutes after the last crash under it. A request that is
// shut out may run again after five minutes, twice as long after each further crash, and an hour at
// most; it is then shut out again by one more crash, as long as the earlier ones are known. The number
// of requests is bounded too: those with the fewest crashes are dropped first.
//
// # Usage
//
//	ledger := quarantine.NewLedger()
//	target := quarantine.NewTarget(ledger)
//	f := quarantine.NewFingerprint([]byte(method), []byte(path), body)
//
//	wait, verdict := target.Enter(now, f)
//	switch {
//	case verdict.ShutOut():
//		// Refuse: it has not run. verdict.Until is when it may come again.
//	case wait != nil:
//		// Another suspect is at work: call Enter again when wait is closed.
//	}
//	defer target.Leave(f)
//	// Send the request, then call one of
//	changed := ledger.Answered(now, f)
//	target.Lost(now, f, process)
//	// Once the process is known to have ended:
//	lost, others := target.Ended(now, process)
//	changed = ledger.Accuse(now, process, lost, others)
//	// Send changed to other daemons, which call
//	changed = ledger.Merge(now, changed)
package quarantine
