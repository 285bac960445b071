// Package storage is the interface to the platform's transactional table and
// object store. All persistent state of the project is kept there.
//
// # Usage
//
//	store := storage.NewHTTP(netip.MustParseAddrPort("127.0.0.1:7000"))
//	row, err := store.Get(ctx, "config/current")
//	outcome := storage.Settle(ctx, store, storage.Transaction{
//		ID:         change,
//		Conditions: []storage.Condition{{Key: row.Key, Version: row.Version}},
//		Writes:     []storage.Write{{Key: row.Key, Value: value}},
//	}, func(r storage.Row) bool { return changeOf(r) == change })
//
// Store is a struct of function fields: NewHTTP sets them to calls to the
// platform, package platformstub to calls to an in-memory stub, and a test
// replaces the functions that are to fail.
//
// # Errors
//
// ErrMissing and ErrRejected are definite answers of the platform.
// ErrUnavailable means that there was no answer: the connection broke, the call
// timed out, the response was truncated, or the platform was overloaded (status
// 429 or 5xx). A Transact or PutObject that fails with ErrUnavailable may still
// take effect at any later time. LastAnswer considers definite answers only.
//
// # What Settle relies on
//
// A row's version never decreases, not even across a deletion, so that a
// transaction whose condition no longer holds can never be applied later. The
// exception is the condition on version zero, which holds again once the row is
// deleted: a delayed copy of the write that created the row then creates it
// again. Such a row may be deleted only when no copy can still be in flight, or
// when its readers can recognize a row that was created again.
//
// # Timelines
//
// A platform may be restored from a copy that is some seconds old. It then forgets what it
// acknowledged since, and gives out the same version numbers again. Each restore begins a
// new timeline. Versions of a Store contain their timeline, so that they keep rising, and
// a transaction is applied only in its own timeline, so that a delayed copy of it has no
// effect on the rows of a later one. Rows of an earlier timeline remain readable, as far as
// the copy has them, but count as missing in conditions: what has been read there may
// never have happened for the platform.
//
// # Protocol
//
// Requests and responses of NewHTTP are JSON, with values in base64 and versions
// as numbers; objects are sent as raw bytes.
//
//	POST /table/transact                      Transaction -> Result
//	GET  /table/row?key=                      -> Row, or 404 with ErrorResponse "missing"
//	GET  /table/rows?prefix=&after=&limit=    -> Rows
//	PUT  /object?name=                        bytes -> 204
//	GET  /object?name=                        -> bytes, or 404 with ErrorResponse "missing"
//	GET  /objects?prefix=&after=&limit=       -> Names
package storage
