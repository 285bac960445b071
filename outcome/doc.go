// Package outcome remembers what became of each request that may not be
// repeated, so that a request ID runs at most once without a write per request.
//
// # Rule
//
// A Ledger belongs to the daemon that owns a Unit, which is a slot or a hot key.
// It runs an ID that it has no record of only if the ID was made after the
// unit's floor: the moment before which an ID without a record may have run.
// The time of an ID is that of a UUIDv7. A loss of the previous owner sets the
// floor to the moment of the take-over plus twice the skew between clocks; a
// record that is dropped raises it above the ID's time. So the ledger may forget
// at any time and then answers "unknown" in place of running twice.
//
// An ID without a time is remembered for the retention and promises no more than
// that. Requests that may be repeated don't pass through the ledger.
//
// # Usage
//
//	ledger := outcome.NewLedger(outcome.WithRetention(24*time.Hour))
//	ledger.Open(unit, since)
//	d := ledger.Begin(now, unit, id, fresh)
//	switch d.Action {
//	case outcome.Run:
//		resp, _ := client.Do(ctx, req, fence)
//		ledger.Finish(unit, id, resp)
//	case outcome.Join:
//		resp = ledger.Wait(ctx, unit, id)
//	case outcome.Frozen:
//		// The unit is being handed over; route the request again.
//	default:
//		resp = d.Response
//	}
//
// For a planned hand-over, Freeze stops new work, Running reaches zero, Export
// gives the memory, and the next owner calls Import.
package outcome
