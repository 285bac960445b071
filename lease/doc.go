// Package lease implements the leases by which a daemon may act as the owner of keys
// without accessing the platform's table on each renewal.
//
// A generation of a daemon, the holder, lists up to three witnesses in its member
// row and sends each of them a heartbeat at every beat interval. A witness that
// answers renews the lease: for one TTL it will not vote that the lease has expired.
// To take over, a daemon collects enough votes of witnesses that the lease has
// expired, and closes the holder's row in one conditional transaction, so that the
// table admits a single winner.
//
// The types of this package are pure state machines: they are driven by messages and
// the current time, and contain no clock, socket or goroutine. None is safe for
// concurrent use; one control goroutine owns them. Times are those of package clock,
// and "now" must be read after receiving the message that is passed with it.
//
// # Rules
//
//   - A renewal counts from the moment its heartbeat was sent, for TTL minus
//     Margin. Margin absorbs the drift between two clocks.
//   - Of W witnesses, R must renew the lease and V must vote to end it, with
//     R+V > W: see [Quorum].
//   - A vote binds its witness permanently.
//   - While the outcome of writing a new witness set is unknown, the holder
//     needs R renewals in each set that its row may contain.
//   - A witness marks its answers while it lacks support from its own witnesses.
//     Marked answers support the holder as a witness of others, but don't renew
//     its lease. This makes it safe to count a witness that was itself closed by
//     votes as a vote, once TTL has passed since its closing became known.
//
// docs/design/lease.md gives the rationale and the interleavings considered.
//
// # Usage
//
// A holder sends the heartbeats returned by Beat, and calls Valid directly before
// each dispatch:
//
//	h := lease.NewHolder(self)
//	h.SetWitnesses(witnesses) // the row is known to contain them
//	for _, hb := range h.Beat(now) {
//		send(hb)
//	}
//	h.Renew(now, answer)
//	if h.Valid(now) {
//		dispatch()
//	}
//
// A change of witnesses is announced before it is written, and is confirmed only
// when the row is read at a later version than the one it was based on:
//
//	h.BeginChange(chosen)
//	// ... write the row on condition of its version ...
//	h.SetWitnesses(row.Witnesses)
//
// A witness answers heartbeats, and passes on whether the lease of its own daemon
// is supported:
//
//	answer, ok := w.Answer(now, hb, h.Supported(now))
//
// A takeover requests votes until it is decided, then closes the row:
//
//	t := lease.NewTakeover(row, version, now, lease.WithRequester(self))
//	for _, request := range t.VoteRequests(now, store.LastAnswer()) {
//		send(request.To, request.Vote)
//	}
//	t.AddVerdict(now, from, verdict)
//	if t.Decided(now) {
//		tx, err := t.Transaction(own, ownVersion, heirs, change, "lease expired")
//	}
package lease
