// Package admission decides how much work one target gets, in what order, and
// which target a request of an unkeyed service goes to.
//
// One daemon stands beside exactly one target and sees all of its traffic, so
// its own count of the work in flight and its own measurement of latency rule.
// What the target reports of itself can lower what it is given and never raise
// it.
//
// A Gate admits requests to the one target. Behind its lock stands a Core, which
// decides from its state, a message and the time alone, and is made of a Limiter
// (how many requests may be in flight), a Queue (which one is next) and a
// Reserve (what is kept for nested calls). A Pool chooses among several targets
// of an unkeyed service, a Budget bounds retries as a share of traffic and a
// Hedge decides when a second try may be sent.
//
// The limit starts low. It grows by one step when a round of completions, begun
// while the target was full, has a mean latency near the target's baseline; it
// shrinks when latency rises and falls at once when the target sheds work.
//
// # Usage
//
//	gate := admission.NewGate(admission.WithCeiling(100), admission.WithSeed(seed))
//	permit, err := gate.Enter(ctx, admission.Ticket{
//		Class:    admission.Urgent,
//		Deadline: deadline,
//		Depth:    depth,
//	})
//	var refusal *admission.Refusal
//	if errors.As(err, &refusal) {
//		// Answer at once: not run, come back after refusal.RetryAfter.
//	}
//	// Hand the request to the target, then exactly once:
//	permit.Done(admission.Completion{Latency: took, Result: admission.OK})
//
// All durations are time.Duration and all limits are counts of requests. Every
// error that Enter returns is a *Refusal, and means that the request was not
// handed to the target.
package admission
