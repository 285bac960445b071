// Package targetstub is a simple target for tests and the demonstration. It
// announces itself, echoes requests, counts the runs of each request ID, and injects
// faults on demand.
//
// # Usage
//
//	stub := targetstub.NewStub(targetstub.WithName("agenda-1"), targetstub.WithDaemon(daemon))
//	err := stub.Run(ctx) // listens, announces every second, drains when ctx ends
//
// Handler serves the same without a listener. It has these control paths:
//
//	GET  /health   200 or 503; a Fault can make it delayed or false
//	GET  /load     Load in JSON; a Fault can make it delayed or false
//	GET  /runs     Runs in JSON
//	POST /fault    sets a Fault: delay=200ms shed=true hang=true cut=10
//	               health=good|bad load=low|high lag=5s; cold=true restarts the warm-up
//	POST /drain    starts draining
//	POST /grant    receives a targethttp.Grant
//
// The stub handles any other path as a request. The query parameter "size" pads the
// response to at least that many bytes.
package targetstub
