package targethttp

import (
	"time"

	"fulmarrun/wire"
)

// Condition is what a target states about itself in an answer. The zero value is that of
// an answer that states nothing.
type Condition struct {
	// RateLimited is true if the target states the rate of requests that it accepts from
	// all daemons together. RateLimit is that rate, in requests per second.
	RateLimited bool
	RateLimit   float64
	// Leaving is true if the target states that it is about to stop.
	Leaving bool
}

// message returns the condition of a process of the target as daemons exchange it; nil if
// it states nothing.
func (c Condition) message(process string) *wire.TargetCondition {
	if c == (Condition{}) {
		return nil
	}
	return &wire.TargetCondition{Process: process, RateLimited: c.RateLimited, RateLimit: c.RateLimit, Leaving: c.Leaving}
}

// ReceivedCondition returns the condition in a message of another daemon; the zero value
// for nil.
func ReceivedCondition(m *wire.TargetCondition) Condition {
	if m == nil {
		return Condition{}
	}
	return Condition{RateLimited: m.RateLimited, RateLimit: m.RateLimit, Leaving: m.Leaving}
}

// Statement is the latest condition of one process of a target.
type Statement struct {
	Condition
	// limitedAt is when the last answer with a rate limit arrived, leavingAt when the first
	// one arrived that states that the target leaves.
	limitedAt time.Time
	leavingAt time.Time
}

// Message returns the statement of a process of the target as daemons exchange it; nil if
// the target has stated nothing.
func (s Statement) Message(process string, now time.Time) *wire.TargetCondition {
	m := s.message(process)
	if m != nil && m.Leaving {
		m.Age = now.Sub(s.leavingAt)
	}
	return m
}

// Adopt returns the statement after another daemon has passed on condition c at now. It ends
// no rate limit.
func (s Statement) Adopt(c Condition, now time.Time) Statement { return s.Update(c, time.Time{}, now) }

// Update returns the statement after an answer with condition c that arrived at now, to a
// request that was sent at sentAt. A process that has stated that it leaves does so in any
// case. An answer without a rate limit ends an earlier one only if its request was sent
// after that: answers on different connections may overtake each other.
func (s Statement) Update(c Condition, sentAt, now time.Time) Statement {
	if c.Leaving && !s.Leaving {
		s.Leaving, s.leavingAt = true, now
	}
	switch {
	case c.RateLimited:
		s.RateLimited, s.RateLimit, s.limitedAt = true, c.RateLimit, now
	case s.RateLimited && !sentAt.Before(s.limitedAt):
		s.RateLimited, s.RateLimit = false, 0
	}
	return s
}

// WithConditionObserver is a functional option that sets a function to call with the
// condition in each answer, and with the time at which its request was sent; zero if the
// answer is not whole or rejects the request, so that what it does not state may be missing.
// It must not block.
func WithConditionObserver(observe func(d Destination, c Condition, sentAt time.Time)) Option {
	return func(c *Client) { c.observeCondition = observe }
}
