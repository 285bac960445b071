// Package outcome records the outcome of each request that must not be repeated, so
// that a request ID runs at most once without a write to the platform per request.
//
// # Rule
//
// A Ledger belongs to the daemon that owns a Unit, which is a slot or a hot key.
// It runs an ID without a record only if the ID was not created before a time that is
// called the unit's floor: an ID without a record that was created before the floor
// may have run. The time of an ID is that of a UUIDv7. The loss of the previous owner
// sets the floor to the time of the take-over plus twice the skew between clocks;
// dropping a record raises the floor above the time of its ID. The ledger can therefore
// drop records at any time: it then answers "unknown" instead of running an ID twice.
//
// An ID without a time runs at most once within the retention only. Requests that
// may be repeated don't pass through the ledger.
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
// For a planned hand-over, call Freeze to stop new runs, wait until Running returns
// zero, and pass the result of Export to Import at the next owner.
package outcome
