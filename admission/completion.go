package admission

import "time"

// Result is how a request ended at the target.
type Result uint8

const (
	// OK means that the target gave a whole answer.
	OK Result = iota
	// Failed means that the target answered with a fault of its own, or broke
	// off.
	Failed
	// Shed means that the target refused the request because of its load.
	Shed
	// Cancelled means that the caller or the daemon lost interest first.
	Cancelled
)

// Completion tells how one admitted request ended.
type Completion struct {
	// Latency is the time from handing the request to the target to the end of
	// its answer; zero stands for the time since admission.
	Latency time.Duration
	Result  Result
}
