// Package owner runs requests at the target beside this daemon, for whichever
// daemon received them.
//
// A keyed request runs only if this generation owns the key's slot by the rows
// that it knows, and only while it holds its lease; both are checked at entry,
// and the lease again before the first byte goes to the target. While a slot
// changes hands, requests for it wait here and are then routed again. When the
// lease lapses, whatever keyed request runs at the target is cancelled and its
// caller is answered unknown.
//
// # Usage
//
//	server := owner.NewServer(gate, units, hot)
//	server.Publish(&owner.ServingState{Generation: g, Snapshot: snapshot, Table: table})
//	server.SetLease(until)
//	response := server.Serve(ctx, request)
//
// Serve always returns a response, whose Outcome is the truth about the run. A
// response with Moved set says that the key is owned elsewhere.
package owner
