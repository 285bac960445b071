// Package caller is the ingress: it speaks plain HTTP to callers.
//
// # Request
//
// The first segment of the path names the service; the rest, the method and the
// price list name the kind. A caller may send Idempotency-Key, best a UUIDv7,
// and should repeat it when it repeats the request; without one, the request
// gets an ID here. A target that calls another service while it serves a request
// copies the Fulmar-Depth and Fulmar-Deadline that it was given.
//
// # Answer
//
// Each answer states in Fulmar-Outcome what is known of the run:
//
//	answered  the target's whole answer follows, with its own status
//	not-run   the request did not run; Retry-After tells when to come back
//	unknown   the request may have run; ask again with the same Idempotency-Key
//
// Fulmar-Reason gives the reason for the latter two in one word, and Fulmar-Id
// the ID that the request had. Refusals have status 503, or the 4xx of a request
// that can never run; unknown has 504 after a timeout and 502 otherwise, or 409
// where no repetition can find out more. Each answer of 5xx that is not the
// target's has Retry-After, of an hour at most.
//
// An Idempotency-Key is printable ASCII of up to 128 bytes without commas, since
// one with a comma may be two that were joined on the way. A path may not have
// segments "." or "..", also not escaped. Headers that begin with Fulmar- pass in
// neither direction. A request that net/http itself refuses, such as one with too
// many headers, has no Fulmar-Outcome; it did not run.
//
// # Usage
//
//	handler := caller.NewHandler(table, route, caller.WithBody(1<<20))
//	server := &http.Server{Handler: handler, MaxHeaderBytes: 64 << 10}
package caller
