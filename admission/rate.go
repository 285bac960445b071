package admission

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// rateBurst is the burst size of a rate limit as a fraction of the requests of one
	// second. Together with the steady rate this stays below one and a half times the
	// rate in any second.
	rateBurst = 0.25
	// minStatedRate is the lowest rate, in requests per second, to which a target can
	// limit itself: without any request there is no answer to end the limit.
	minStatedRate = 0.2
)

// RateLimiter limits the rate of requests to a target. The zero value limits nothing. It
// is not safe for concurrent use.
type RateLimiter struct {
	// until is the end of the limit; zero if it has none.
	until   time.Time
	rate    float64
	limiter *rate.Limiter
}

// SetRate limits the rate to perSecond until the given time, or without end if that is
// zero; a rate of zero removes the limit. The requests that were sent under an earlier rate
// still count.
func (l *RateLimiter) SetRate(now, until time.Time, perSecond float64) {
	l.until, l.rate = until, perSecond
	if perSecond <= 0 {
		l.limiter = nil
		return
	}
	burst := max(1, int(rateBurst*perSecond))
	if l.limiter == nil {
		l.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		return
	}
	l.limiter.SetLimitAt(now, rate.Limit(perSecond))
	l.limiter.SetBurstAt(now, burst)
}

// Active reports whether the rate is limited.
func (l *RateLimiter) Active(now time.Time) bool {
	return l.limiter != nil && (l.until.IsZero() || now.Before(l.until))
}

// Wait returns the time until the next request may be sent to the target; zero if one
// may be sent now.
func (l *RateLimiter) Wait(now time.Time) time.Duration {
	if !l.Active(now) {
		return 0
	}
	deficit := 1 - l.limiter.TokensAt(now)
	if deficit <= 0 {
		return 0
	}
	return l.untilEnd(time.Duration(deficit/l.rate*float64(time.Second))+time.Microsecond, now)
}

// Take consumes the token of one request that is sent to the target.
func (l *RateLimiter) Take(now time.Time) {
	if l.Active(now) {
		l.limiter.AllowN(now, 1)
	}
}

// DrainTime returns the time in which the given number of requests may be sent.
func (l *RateLimiter) DrainTime(count int, now time.Time) time.Duration {
	if !l.Active(now) {
		return 0
	}
	return l.untilEnd(time.Duration(float64(count)/l.rate*float64(time.Second)), now)
}

// untilEnd returns a duration, cut off at the end of the limit.
func (l *RateLimiter) untilEnd(d time.Duration, now time.Time) time.Duration {
	if l.until.IsZero() {
		return d
	}
	return min(d, l.until.Sub(now))
}
