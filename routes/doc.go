// Package routes holds one daemon's copy of the platform's rows and derives from it
// the owner of each key.
//
// # Ownership
//
// A row of slots names an owner and an epoch for each slot. If that owner's
// generation is closed, the slot belongs to one of the heirs that the closed row
// names, chosen by rendezvous hashing, one epoch later; and so on along the
// chain until a generation that is not closed. A take-over is therefore one write
// of one row, for any number of slots. A slot whose chain ends without an heir is
// free.
//
// The closed row also lists the rows of which its generation handed over slots, with
// their revisions at that time. A view with an older revision of such a row cannot
// determine whether a slot was handed over before the generation ended. It treats the
// slot as unresolved until the newer row arrives.
//
// Only the owner of a slot changes its entry, except that any daemon may assign a
// free slot or replace a closed owner by the heir to which the chain leads anyway. A
// generation that has read that it owns a slot therefore owns it until it hands it
// over or its lease ends.
//
// # Deltas
//
// A View also creates and applies the deltas by which daemons send each other row
// changes. A delta is applied only to the version from which it was created, so that
// a view holds only rows as they were in the table.
//
// # Usage
//
// The control goroutine passes rows to a View, which ignores every row that is not
// newer than its copy, and publishes its Snapshot. Request goroutines read the
// snapshot without locks:
//
//	if isNew, err := view.Put(row); isNew && err == nil {
//		current.Store(view.Snapshot())
//	}
//	route, ok := current.Load().Lookup("agenda", "visit-17")
package routes
