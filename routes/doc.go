// Package routes holds what one daemon knows of the platform's rows and tells
// from them who owns each key.
//
// # Ownership
//
// A row of slots names an owner and an epoch for each slot. If that owner's
// generation is closed, the slot belongs to one of the heirs that the closed row
// names, chosen by rendezvous hashing, one epoch later; and so on along the
// chain until a generation that is not closed. A take-over is therefore one write
// of one row, whatever the number of slots. A slot whose chain ends without an
// heir is free.
//
// The closed row also lists which rows of slots its generation gave slots of and
// their numbers then. A view whose row is older cannot tell whether a slot was
// given away before the end, so it takes the slot for unresolved until the newer
// row arrives.
//
// Only the owner of a slot changes its entry, but for free slots and for the
// replacement of a closed owner by the heir that the chain gives anyway. A
// generation that has read that it owns a slot hence owns it until it gives it
// away or its lease ends.
//
// # News
//
// A View also makes and applies the deltas by which daemons tell each other what
// changed in a row. One is applied to the version that it was made from alone,
// so that a view holds rows only as they were in the table.
//
// # Usage
//
// The control goroutine feeds rows to a View, which drops every row that is not
// newer than the one it has, and publishes its Snapshot. Traffic goroutines read
// the snapshot without locks:
//
//	if isNew, err := view.Put(row); isNew && err == nil {
//		current.Store(view.Snapshot())
//	}
//	route, ok := current.Load().Lookup("agenda", "visit-17")
package routes
