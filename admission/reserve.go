package admission

import "time"

const (
	// defaultReserve is the share of a limit that is kept for nested calls.
	defaultReserve = 0.2
	// defaultMaxDepth is the greatest depth of a call that is admitted.
	defaultMaxDepth = 3
	// depthLevels bounds the greatest depth that can be configured.
	depthLevels = 16
	// reserveTTL is how long part of the limit is kept after a nested call.
	reserveTTL = time.Minute
)

// WithReserve is a functional option that sets the share of the limit that is
// kept for nested calls. Zero keeps nothing for them.
func WithReserve(share float64) Option {
	return func(s *settings) { s.reserve = share }
}

// WithMaxDepth is a functional option that sets the greatest depth of a nested
// call that is admitted, up to 15.
func WithMaxDepth(depth uint8) Option {
	return func(s *settings) { s.maxDepth = min(depth, depthLevels-1) }
}

// Reserve keeps part of a limit for nested calls, so that two services that are
// full of each other's callers go on.
//
// A call may use the limit less what is kept for deeper ones. Besides, one call
// of each nested depth may enter beyond the limit if no call of its depth or
// deeper is in flight: the deepest call that anything waits for is thus never
// kept out by calls that wait, however far the limit has fallen. A target that
// has not seen a nested call for a minute keeps nothing back.
type Reserve struct {
	share    float64
	maxDepth uint8
	total    int
	depths   [depthLevels]int
	nestedAt time.Time
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

// Ask notes that a call of this depth asks to enter.
func (r *Reserve) Ask(depth uint8, now time.Time) {
	if depth > 0 {
		r.nestedAt = now
	}
}

// Capacity returns the part of the limit that a call of this depth may use.
func (r *Reserve) Capacity(limit int, depth uint8, now time.Time) int {
	if depth >= r.maxDepth || r.nestedAt.IsZero() || now.Sub(r.nestedAt) > reserveTTL {
		return limit
	}
	kept := int(r.share * float64(limit))
	levels := int(r.maxDepth)
	return limit - kept*(levels-int(depth))/levels
}

// Admits reports whether a call of this depth may enter under the limit.
func (r *Reserve) Admits(limit int, depth uint8, now time.Time) bool {
	if r.total < r.Capacity(limit, depth, now) {
		return true
	}
	return depth > 0 && r.share > 0 && !r.busy(depth)
}

// Enter counts a call in.
func (r *Reserve) Enter(depth uint8) {
	r.total++
	r.depths[depth]++
}

// Leave counts a call out.
func (r *Reserve) Leave(depth uint8) {
	r.total--
	r.depths[depth]--
}

// busy reports whether a call of this depth or deeper is in flight.
func (r *Reserve) busy(depth uint8) bool {
	for _, count := range r.depths[depth : r.maxDepth+1] {
		if count > 0 {
			return true
		}
	}
	return false
}
