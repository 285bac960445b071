package quota

import (
	"time"

	"fulmarrun/config"
	"fulmarrun/wire"
)

const (
	// extraShare is the share of the tokens in a bucket, one in so many, that a lender gives
	// beyond the first, so that one daemon does not empty the bucket for the others.
	extraShare = 4
	// maxWait bounds the time that an empty answer states.
	maxWait = time.Second
	// maxCount bounds the tokens of one answer.
	maxCount = 1024
	// rounding is the error that the sum of many small refills may have.
	rounding = 1e-9
)

// Lender lends the tokens of the teams of which this daemon is a lender.
type Lender struct {
	buckets map[string]*bucket
	faults  faults
}

// faults are deliberate mistakes, which the tests must detect.
type faults struct {
	// StartFull fills the bucket of a new lender. KeepLending lets a lender lend when it is no
	// lender any more. NeverExpire keeps tokens that were not used.
	StartFull, KeepLending, NeverExpire bool
}

// NewLender returns a lender without buckets.
func NewLender() *Lender { return &Lender{buckets: make(map[string]*bucket)} }

// Observe drops the buckets of teams of which this daemon has ceased to be a lender. It must be
// called after each View.Observe that reports a change.
func (l *Lender) Observe(view *View, interrupted bool) {
	for name := range l.buckets {
		if !l.faults.KeepLending && (interrupted || !view.Choose(name).Lending) {
			delete(l.buckets, name)
		}
	}
}

// Lend answers a request for tokens of a team. The team is nil if its rate is not limited. The
// caller must check the lease after Lend and before it sends the answer.
func (l *Lender) Lend(now time.Time, choice Choice, team *config.Team, req *wire.TokenRequest) *wire.Tokens {
	if team == nil {
		// The bucket is kept: a new one would contain a burst if the limit is set again.
		return &wire.Tokens{NotLender: true}
	}
	if !l.mayLend(choice, req.Team) {
		delete(l.buckets, req.Team)
		return &wire.Tokens{NotLender: true}
	}
	b := l.buckets[req.Team]
	if b == nil {
		b = &bucket{refilled: choice.Since}
		b.setLimit(team, choice.Shares)
		if l.faults.StartFull {
			b.tokens = b.burst
		}
		l.buckets[req.Team] = b
	}
	b.refill(now)
	b.setLimit(team, choice.Shares)
	if given := b.take(int(req.Count)); given > 0 {
		return &wire.Tokens{Count: uint32(given)}
	}
	return &wire.Tokens{Wait: b.turnAway(now)}
}

// mayLend reports whether this daemon is a lender of the team.
func (l *Lender) mayLend(choice Choice, team string) bool {
	return choice.Lending || l.faults.KeepLending && l.buckets[team] != nil
}

// bucket is a lender's share of the tokens of a team.
type bucket struct {
	rate, burst float64
	tokens      float64
	refilled    time.Time
	// promised is the time that was stated to the last asker that was turned away.
	promised time.Time
}

// setLimit applies the limit of the team to the bucket.
func (b *bucket) setLimit(team *config.Team, shares int) {
	n := float64(max(shares, 1))
	b.rate, b.burst = team.Rate/n, max(1, team.Burst/n)
	b.tokens = min(b.tokens, b.burst)
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilled); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
		b.refilled = now
	}
}

// take removes up to count tokens and returns how many.
func (b *bucket) take(count int) int {
	if b.tokens < 1-rounding {
		return 0
	}
	// The minimum is taken before the conversion, which is undefined for a number that is too large.
	extra := int(min((b.tokens-1)/extraShare, maxCount-1))
	given := 1 + max(0, min(count-1, extra))
	b.tokens = max(0, b.tokens-float64(given))
	return given
}

// turnAway returns after what time a token will be available for an asker that got none. Askers
// are given times one token apart.
func (b *bucket) turnAway(now time.Time) time.Duration {
	interval := waitFor(1, b.rate)
	next := now.Add(waitFor(1-b.tokens, b.rate))
	if after := b.promised.Add(interval); after.After(next) {
		next = after
	}
	if latest := now.Add(maxWait); next.After(latest) {
		return maxWait
	}
	b.promised = next
	return next.Sub(now)
}

// waitFor returns how long a number of tokens takes at a rate, at most a little over maxWait.
func waitFor(tokens, rate float64) time.Duration {
	return time.Duration(min(tokens/rate, 2*maxWait.Seconds()) * float64(time.Second))
}
