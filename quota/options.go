package quota

import "time"

// Option configures a Limiter.
type Option func(*Limiter)

// WithAllowance is a functional option that sets by which fraction the requests that run in a window
// may exceed a team's limit. It shortens the time for which tokens can be used, if necessary, since
// unused tokens add what was lent in that time to a window. Zero values are ignored.
func WithAllowance(window time.Duration, overshoot float64) Option {
	return func(l *Limiter) {
		if age := time.Duration(float64(window) * overshoot); age > 0 {
			// A shorter time would end before a slow answer arrives.
			l.borrower.tokenAge = min(max(age, callTimeout), MaxTokenAge)
		}
	}
}
