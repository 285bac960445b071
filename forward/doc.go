// Package forward routes a caller's request to a daemon that may serve it: the
// owner of its key, or one of the members of an unkeyed service.
//
// # Outcomes
//
// The forwarder retries a request until its wait, the time limit of its kind, is
// over, as long as a retry is safe. It retries a request that did not run without
// restriction. It retries one that may have run only if the kind is repeatable and
// the retry budget allows it, or if the owner's memory of request IDs makes a
// second try harmless. It answers as soon as the wait is over or no retry is left,
// and reports OutcomeNotRun only if no try can have reached a target.
//
// # Usage
//
//	f := forward.NewForwarder(ownServer, peers)
//	response := f.Route(ctx, kind, request)
package forward
