// Package caller is the ingress: it accepts plain HTTP requests from callers.
//
// # Request
//
// The first segment of the path names the service; the rest of the path and the
// method select the kind from the configured list. A caller may send an
// Idempotency-Key, preferably a UUIDv7, and should send the same one when it retries
// the request; without one, the handler generates an ID. A target that calls another
// service while it serves a request copies the Fulmar-Depth and Fulmar-Deadline that
// it received.
//
// # Answer
//
// Each response states in Fulmar-Outcome whether the request ran:
//
//	answered  the target's complete answer follows, with the target's status
//	not-run   the request did not run; Retry-After states when to retry
//	unknown   the request may have run; retry with the same Idempotency-Key
//
// Fulmar-Reason gives the reason for the latter two in one word, and Fulmar-Id
// the ID of the request. Refusals have status 503, or a 4xx status if the request
// can never run; unknown has 504 after a timeout and 502 otherwise, or 409 if no
// retry can determine the outcome. Each 5xx response that does not come from the
// target has a Retry-After of at most an hour.
//
// An Idempotency-Key is printable ASCII of up to 128 bytes without commas, since
// a proxy may have joined two keys with a comma. A path must not have segments "."
// or "..", nor their escaped forms. Headers that begin with Fulmar- are passed on in
// neither direction. The response to a request that net/http itself refuses, such as
// one with too many headers, has no Fulmar-Outcome; such a request did not run.
//
// # Usage
//
//	handler := caller.NewHandler(table, route, caller.WithMaxBody(1<<20))
//	server := &http.Server{Handler: handler, MaxHeaderBytes: 64 << 10}
package caller
