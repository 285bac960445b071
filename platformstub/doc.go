// Package platformstub is an in-memory stand-in for the platform's table and
// object store, with faults to order. It is for tests and for the embedded
// demonstration; nothing in it lasts.
//
// # Usage
//
//	stub := platformstub.New(platformstub.WithSeed(1))
//	store := stub.Store()                        // in process
//	server := httptest.NewServer(stub.Handler()) // or over HTTP
//	stub.SetFaults(platformstub.Faults{LoseNext: 1})
//
// Over HTTP, POST /fault takes Faults as JSON and replaces those in force, GET
// /fault shows them, and GET /counts answers with Counts. Durations are written
// as in "150ms", rates in calls per second.
//
//	curl -d '{"latency":"50ms","lose":0.1}' http://127.0.0.1:7000/fault
//
// # Versions
//
// The table has one revision counter, which each transaction that changes
// something raises by one, and which is the new version of each row it writes.
// So a row's version also rises over a deletion and a new creation.
//
// # Faults
//
// A read under latency is delayed before it looks; a write takes effect first
// and is answered after the delay, so that a caller who runs out of time sees
// an unknown outcome. A call in an outage, above the rate, or with a lost reply
// ends with platform.ErrUnavailable in process; over HTTP the connection is
// closed, except that calls above the rate get status 429. A late write gives
// no reply and takes effect after the delay, also if an outage began meanwhile.
package platformstub
