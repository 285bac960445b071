// Package platformstub is an in-memory stand-in for the platform's table and
// object store that injects faults on request. It is for tests and for the
// embedded demonstration; it stores nothing persistently.
//
// # Usage
//
//	stub := platformstub.New(platformstub.WithSeed(1))
//	store := stub.Store()                        // in process
//	server := httptest.NewServer(stub.Handler()) // or over HTTP
//	stub.SetFaults(platformstub.Faults{LoseNext: 1})
//
// Over HTTP, POST /fault takes Faults as JSON and replaces the current ones, GET
// /fault returns them, and GET /counts returns Counts. Durations are written as
// in "150ms", rates in calls per second.
//
//	curl -d '{"latency":"50ms","lose":0.1}' http://127.0.0.1:7000/fault
//
// # Versions
//
// The table has one revision counter. Each applied transaction with writes adds one
// to it, and the new revision is the version of each row that it writes. So the
// version of a row also rises if the row is deleted and created again.
//
// # Faults
//
// With a latency, a read waits before it reads; a write takes effect first and is
// answered after the delay, so that the outcome is unknown to a caller that times
// out. A call in an outage, above the rate limit, or with a lost reply returns
// storage.ErrUnavailable in process; over HTTP the connection is closed, except
// that calls above the rate limit get status 429. A late write gets no reply and
// takes effect after the delay, also if an outage began meanwhile.
package platformstub
