// Package admission decides how many requests one target gets and in what order,
// and which target a request of an unkeyed service is sent to.
//
// One daemon runs beside exactly one target and sees all of its traffic, so the
// daemon's own count of requests in flight and its own latency measurements are
// authoritative. What the target reports about itself can lower its limit and
// never raise it.
//
// A Gate admits requests to the one target. It holds a lock around a Core, which
// decides only from its state, the method called and the given time. A Core
// consists of a Limiter (how many requests may be in flight), a Queue for each
// class (which one is next) and a Reserve (capacity that is reserved for nested
// calls). A Pool chooses among several targets of an unkeyed service, a
// RetryBudget limits retries to a fraction of the traffic, and a Hedge decides
// when a second try may be sent.
//
// With WithOverloadPolicy a Core chooses which requests to refuse in overload by their
// priority, team, time left and work, which it measures by kind, and spaces the times at
// which they come back. WithPriorityPolicy applies this only while requests of different
// priorities meet. WithMaxBytes bounds the bodies in flight.
//
// The limit starts low. It grows by one step when a round of completions that
// started while the target was full has a mean latency near the target's
// baseline. It shrinks when the latency rises, and is halved at once when the
// target sheds requests.
//
// # Usage
//
//	gate := admission.NewGate(admission.WithCeiling(100), admission.WithSeed(seed))
//	permit, err := gate.Enter(ctx, admission.Ticket{
//		Class:    admission.Urgent,
//		Deadline: deadline,
//		Depth:    depth,
//		// For WithOverloadPolicy and WithMaxBytes:
//		Kind: kind, Team: team, Priority: priority, Bytes: size,
//	})
//	var refusal *admission.Refusal
//	if errors.As(err, &refusal) {
//		// Answer at once: the request was not run, retry after refusal.RetryAfter.
//	}
//	// Send the request to the target, then exactly once:
//	permit.Done(admission.Completion{Latency: took, Result: admission.OK})
//
// All durations are time.Duration and all limits are counts of requests. Every
// error that Enter returns is a *Refusal, and means that the request was not
// sent to the target.
package admission
