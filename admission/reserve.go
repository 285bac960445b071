package admission

import "time"

const (
	// defaultReserve is the fraction of a limit that is reserved for nested calls.
	defaultReserve = 0.2
	// defaultMaxDepth is the maximum depth of a call that is admitted.
	defaultMaxDepth = 3
	// depthLevels is the number of depths that can be configured, including zero.
	depthLevels = 16
	// reserveTTL is how long part of the limit stays reserved after a nested call.
	reserveTTL = time.Minute
)

// WithNestedReserve is a functional option that sets the fraction of the limit that is
// reserved for nested calls. Zero reserves nothing.
func WithNestedReserve(share float64) Option {
	return func(s *settings) { s.reserve = share }
}

// WithMaxDepth is a functional option that sets the maximum depth of a nested call that
// is admitted, up to 15.
func WithMaxDepth(depth uint8) Option {
	return func(s *settings) { s.maxDepth = min(depth, depthLevels-1) }
}

// Reserve reserves part of a limit for nested calls, so that two services that call
// each other do not deadlock when both are full.
//
// A call may use the limit minus the part that is reserved for deeper ones. In
// addition, one call of each nested depth may exceed the limit if no call of its depth
// or deeper is in flight: the deepest call that other calls wait for is thus never
// blocked by waiting calls, however low the limit has fallen. If the target has not
// received a nested call for a minute, nothing is reserved.
type Reserve struct {
	// share is the fraction of the limit that is reserved for nested calls.
	share    float64
	maxDepth uint8
	// total is the number of calls in flight, and byDepth their number at each depth.
	total        int
	byDepth      [depthLevels]int
	lastNestedAt time.Time
}

// NewReserve returns a Reserve with nothing in flight.
func NewReserve(opts ...Option) Reserve {
	s := newSettings(opts)
	return newReserve(&s)
}

func newReserve(s *settings) Reserve {
	return Reserve{share: s.reserve, maxDepth: s.maxDepth}
}

// InFlight returns the number of calls in flight.
func (r *Reserve) InFlight() int {
	return r.total
}

// RecordCall records a request for admission of a call of this depth.
func (r *Reserve) RecordCall(depth uint8, now time.Time) {
	if depth > 0 {
		r.lastNestedAt = now
	}
}

// Capacity returns the part of the limit that a call of this depth may use.
func (r *Reserve) Capacity(limit int, depth uint8, now time.Time) int {
	if depth >= r.maxDepth || r.lastNestedAt.IsZero() || now.Sub(r.lastNestedAt) > reserveTTL {
		return limit
	}
	reserved := int(r.share * float64(limit))
	levels := int(r.maxDepth)
	return limit - reserved*(levels-int(depth))/levels
}

// Admits reports whether a call of this depth may start under the limit.
func (r *Reserve) Admits(limit int, depth uint8, now time.Time) bool {
	if r.total < r.Capacity(limit, depth, now) {
		return true
	}
	return depth > 0 && r.share > 0 && !r.deeperInFlight(depth)
}

// Acquire counts a call that starts.
func (r *Reserve) Acquire(depth uint8) {
	r.total++
	r.byDepth[depth]++
}

// Release counts a call that ends.
func (r *Reserve) Release(depth uint8) {
	r.total--
	r.byDepth[depth]--
}

// deeperInFlight reports whether a call of this depth or deeper is in flight.
func (r *Reserve) deeperInFlight(depth uint8) bool {
	for _, count := range r.byDepth[depth : r.maxDepth+1] {
		if count > 0 {
			return true
		}
	}
	return false
}
