package admission

import (
	"time"

	"golang.org/x/time/rate"
)

// coldBurst is the burst size of a cold target as a fraction of the requests of one
// second. Together with the steady rate this stays below one and a half times the rate
// in any second.
const coldBurst = 0.25

// ColdLimiter limits the rate of requests to a target that has just started. The zero
// value limits nothing. It is not safe for concurrent use.
type ColdLimiter struct {
	until   time.Time
	rate    float64
	limiter *rate.Limiter
}

// SetRate limits the rate to perSecond until the given time; a rate of zero removes the
// limit. If the rate is unchanged, the token bucket keeps its state.
func (c *ColdLimiter) SetRate(until time.Time, perSecond float64) {
	c.until = until
	if perSecond != c.rate {
		c.limiter, c.rate = nil, perSecond
	}
	if c.limiter == nil && perSecond > 0 {
		c.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(coldBurst*perSecond)))
	}
}

// Active reports whether the rate is limited.
func (c *ColdLimiter) Active(now time.Time) bool { return c.limiter != nil && now.Before(c.until) }

// Wait returns the time until the next request may be sent to the target; zero if one
// may be sent now.
func (c *ColdLimiter) Wait(now time.Time) time.Duration {
	if !c.Active(now) {
		return 0
	}
	deficit := 1 - c.limiter.TokensAt(now)
	if deficit <= 0 {
		return 0
	}
	wait := time.Duration(deficit / c.rate * float64(time.Second))
	return min(wait+time.Microsecond, c.until.Sub(now))
}

// Take consumes the token of one request that is sent to the target.
func (c *ColdLimiter) Take(now time.Time) {
	if c.Active(now) {
		c.limiter.AllowN(now, 1)
	}
}

// DrainTime returns the time in which the given number of requests may be sent.
func (c *ColdLimiter) DrainTime(count int, now time.Time) time.Duration {
	if !c.Active(now) {
		return 0
	}
	return min(time.Duration(float64(count)/c.rate*float64(time.Second)), c.until.Sub(now))
}
