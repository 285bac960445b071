// Package owner runs requests at the target beside this daemon, whichever daemon
// received them.
//
// A keyed request runs only if this generation owns the key's slot according to the
// rows that it knows, and only while it holds its lease. Both are checked at entry,
// and the lease again before the first byte goes to the target. While a slot is
// handed over, requests for it wait here and are then routed again. When the lease
// expires, all keyed requests that run at the target are cancelled and their
// callers get the outcome unknown.
//
// # Usage
//
//	server := owner.NewServer(gate, units, hot)
//	server.Publish(&owner.ServingState{Generation: g, Snapshot: snapshot, Table: table})
//	server.SetLease(until)
//	response := server.Serve(ctx, request)
//
// Serve always returns a response; its Outcome states what is certain about the
// run. NotOwner is set in it if another daemon owns the key.
package owner
