// Package targetstub is a small target for tests and the demonstration. It
// announces itself, echoes what it is sent, counts the runs of each request ID,
// and misbehaves when told to.
//
// # Usage
//
//	stub := targetstub.NewStub(targetstub.WithName("agenda-1"), targetstub.WithDaemon(daemon))
//	err := stub.Run(ctx) // listens, announces every second, drains when ctx ends
//
// Handler serves the same without a listener. The paths of its own are:
//
//	GET  /health   200 or 503, late or false if told to
//	GET  /load     Load in JSON, late or false if told to
//	GET  /runs     Runs in JSON
//	POST /fault    sets a Fault: delay=200ms shed=true hang=true cut=10
//	               health=good|bad load=low|high lag=5s; restarts cold with cold=true
//	POST /drain    starts leaving
//	POST /grant    takes a target.Grant
//
// Any other path is a request. Its query parameter "size" pads the answer to at
// least that many bytes.
package targetstub
