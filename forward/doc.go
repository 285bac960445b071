// Package forward brings a caller's request to a daemon that may serve it: the
// owner of its key, or one of the members of an unkeyed service.
//
// # Outcomes
//
// A forwarded request is tried again within its wait as long as that is sound.
// One that did not run is tried again freely. One that may have run is tried
// again only if its kind may be repeated and the retry budget allows, or if the
// owner's memory of request IDs makes the second try harmless. When the wait is
// over, or nothing more can be done, the answer is given at once, and says not
// run only if no try can have reached a target.
//
// # Usage
//
//	f := forward.NewForwarder(ownServer, peers)
//	response := f.Route(ctx, kind, request)
package forward
