// Package audit stores one entry for each accepted change of configuration or
// ownership, as an object in the platform's object store.
//
// # Usage
//
//	writer := audit.NewWriter(store, audit.WithRegistry(registry))
//	go writer.Run(ctx) // or as an actor of oklog/run
//	writer.Add(audit.Entry{
//		At: now, Who: "agenda-1", What: audit.Takeover, Subject: "agenda-2",
//		From: "agenda-2", To: "agenda-1", Why: "lease expired", Change: change,
//	})
//	entries, err := audit.Newest(ctx, store, now, 20)
//
// # Names
//
// An entry is a JSON object with the name audit/<time>-<change>, where the time
// is in UTC with nine decimals, so that names sort by time. An entry is never
// changed. Writing it again is harmless, since its name and bytes are the same.
//
// # Loss
//
// Add never blocks. Entries wait in a bounded queue and are written one after
// the other. An outage of the platform delays queued entries but loses none of
// them. Counts returns how many entries did not fit in the queue (Dropped), were
// rejected by the platform (Rejected), or were unwritten when Run ended
// (Unwritten). A process that is killed loses its queue without counting it.
package audit
