package admission

import "time"

// Result is how a request ended at the target.
type Result uint8

const (
	// OK means that the target returned a complete response.
	OK Result = iota
	// Failed means that the target returned an error of its own, or broke off the
	// response.
	Failed
	// Shed means that the target rejected the request because of its load.
	Shed
	// Cancelled means that the caller or the daemon cancelled the request first.
	Cancelled
)

// Completion describes how one admitted request ended.
type Completion struct {
	// Latency is the time from sending the request to the target to the end of the
	// response; zero stands for the time since admission.
	Latency time.Duration
	Result  Result
}
