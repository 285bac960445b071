// Package storage is the seam to the platform's transactional table and object
// store, the only place where anything lasts.
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
// Store is a struct of function fields: NewHTTP fills it with calls to the
// platform, package platformstub with calls to a stand-in, and a test replaces
// the fields that it wants to fail.
//
// # Errors
//
// ErrMissing and ErrRejected are answers. ErrUnavailable is the lack of one: the
// connection broke, the time ran out, the answer was cut short, or the platform
// was too busy (status 429 or 5xx). A Transact or PutObject that ends so may
// take effect at any later moment. LastAnswer counts answers only.
//
// # What Settle relies on
//
// A row's version never falls, also across a deletion, so that a transaction
// whose condition no longer holds can never be applied later. The exception is
// the condition on version zero, which holds again once the row is deleted: a
// late copy of the write that created the row then brings it back. Such a row
// must be deleted only when no copy can be on its way, or when its readers know
// it for what it is.
//
// # Protocol
//
// Requests and answers of NewHTTP are JSON, with values in base64 and versions
// as numbers; objects travel as raw bytes.
//
//	POST /table/transact                      Transaction -> Result
//	GET  /table/row?key=                      -> Row, or 404 with ErrorResponse "missing"
//	GET  /table/rows?prefix=&after=&limit=    -> Rows
//	PUT  /object?name=                        bytes -> 204
//	GET  /object?name=                        -> bytes, or 404 with ErrorResponse "missing"
//	GET  /objects?prefix=&after=&limit=       -> Names
package storage
