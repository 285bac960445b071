// Package targethttp implements the daemon's side of the protocol with its target:
// the target announces itself over HTTP, and the daemon sends it requests over HTTP
// and, if the target checks fences, grants.
//
// # Outcomes
//
// Client.Do reports one of three outcomes. OutcomeAnswered is a complete answer
// whose length the target declared and kept. OutcomeNotRun means that no byte
// of the request was written to the network, or that a target which checks
// grants rejected it by its fence. Everything else is OutcomeUnknown. Do sends
// a request to the target at most once: it blocks the automatic replay of net/http
// at the connection, for every method.
//
// # Headers
//
// A request carries Idempotency-Key, Fulmar-Key (path-escaped),
// Fulmar-Deadline (milliseconds left), Fulmar-Depth and, if the service is
// keyed, Fulmar-Slot, Fulmar-Epoch and Fulmar-Generation. Hop-by-hop headers
// and trailers are dropped in both directions. A target may repeat Idempotency-Key
// in its answer; an answer with the ID of another request is not passed on.
// Nothing is used of an answer with a malformed head: package http1 rejects it
// before net/http parses it.
//
// # Usage
//
//	client := targethttp.NewClient(targethttp.WithSendCheck(leaseHeld))
//	server := targethttp.NewServer()
//	server.OnAnnounce = func(a targethttp.Announcement) { client.SetDestination(targethttp.Destination{Address: a.Address}) }
//	go http.Serve(listener, server)
//
//	resp, err := client.Do(ctx, req, targethttp.Fence{Slot: 7, Epoch: 3, Generation: gen})
//
// Do always returns a response; err is the cause if it is not OutcomeAnswered.
//
// GrantBuilder.Next builds grants from the target's last stamp and the end of the
// lease; Client.PushGrant sends them.
package targethttp
