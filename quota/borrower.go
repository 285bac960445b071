package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fulmarrun/routes"
	"fulmarrun/wire"
)

const (
	// MaxTokenAge is how long after the request for it a token can be used at most. What is held at all
	// daemons adds half a second of the rate to a window, a tenth of the rate over 5 s.
	MaxTokenAge = 500 * time.Millisecond
	// callTimeout bounds one call to a lender, and takeTimeout all calls for one token.
	callTimeout = 150 * time.Millisecond
	takeTimeout = 300 * time.Millisecond
	// slowTime is for how long a lender that did not answer is asked last.
	slowTime = time.Second
	// maxRefusal is for how long at most requests are refused after an empty answer without
	// asking again.
	maxRefusal = 250 * time.Millisecond
	// batchRate is the rate above which a daemon asks for several tokens at once, in tokens per
	// second, and batchTime the time for which they should last.
	batchRate = 10
	batchTime = 200 * time.Millisecond
	// rateWindow is the time over which the rate of taken tokens is averaged.
	rateWindow = 500 * time.Millisecond
	// uncheckedRetry is the Retry-After if no lender answers. It varies by a fifth.
	uncheckedRetry = 500 * time.Millisecond
	// maxRetry bounds the Retry-After of a request over the limit.
	maxRetry = 2 * time.Second
	// stoppedAfter is after what time without a refusal a team is no longer limited.
	stoppedAfter = time.Second
)

// Token allows one request of a team to run.
type Token struct {
	Team string
	// Expires is when the token can no longer be used.
	Expires time.Time
}

// Verdict is what a daemon decides about a request of a limited team.
type Verdict uint8

const (
	// Granted means that the request may run.
	Granted Verdict = iota
	// OverLimit means that the team has no tokens left.
	OverLimit
	// Unchecked means that no lender answered.
	Unchecked
)

// Decision is the decision about one request.
type Decision struct {
	Verdict Verdict
	// Token is the token that the request uses; valid if the verdict is Granted.
	Token Token
	// RetryAfter is when the request should be repeated; zero if the verdict is Granted.
	RetryAfter time.Duration
	// Started and Stopped are true if the team has begun or ceased to be limited here.
	Started, Stopped bool
}

// Borrower holds the tokens that this daemon has borrowed, and what it knows about the lenders.
type Borrower struct {
	accounts map[string]*account
	// slow is the time until which each lender that did not answer is asked last.
	slow map[wire.Generation]time.Time
	// tokenAge is how long after the request for it a token can be used.
	tokenAge time.Duration
	faults   faults
}

// NewBorrower returns a borrower without tokens.
func NewBorrower() *Borrower {
	return &Borrower{accounts: make(map[string]*account), slow: make(map[wire.Generation]time.Time), tokenAge: MaxTokenAge}
}

// account is what a daemon knows about one team.
type account struct {
	// expiries are the times until which unused tokens are usable, earliest first.
	expiries []time.Time
	// rate is the smoothed rate of taken tokens, in tokens per second, as of taken.
	rate  float64
	taken time.Time
	// batching is true while a request for several tokens is on its way.
	batching bool
	// empty is until when each lender that had no tokens is asked after those that may have some.
	empty map[wire.Generation]time.Time
	// refuseUntil is until when requests are refused without asking. They are told to come back
	// one after another, step apart; refused counts them.
	refuseUntil time.Time
	step        time.Duration
	refused     int
	// limited is true while the team is limited, since started; lastRefusal is the last refusal.
	limited              bool
	started, lastRefusal time.Time
}

// Search is the search of one request for a token.
type Search struct {
	team     string
	self     wire.Generation
	lenders  []Member
	deadline time.Time
	// sent is when the present lender was asked, for count tokens.
	sent  time.Time
	count uint32
	batch bool
	// wait is the shortest time that a lender without tokens stated; isEmpty is true if there
	// was one.
	wait    time.Duration
	isEmpty bool
}

// Start decides about a request of a team at once, or returns a search, for which the caller must
// ask lenders by Next and Answer.
func (b *Borrower) Start(now time.Time, self Member, team string, lenders []Member) (Decision, *Search) {
	a := b.account(team)
	if expires, ok := a.pop(now, b.faults.NeverExpire); ok {
		return a.grant(now, Token{Team: team, Expires: expires}), nil
	}
	if now.Before(a.refuseUntil) {
		return a.refuse(now, self.Generation), nil
	}
	return Decision{}, &Search{team: team, self: self.Generation, lenders: b.order(now, self, a, lenders), deadline: now.Add(takeTimeout)}
}

func (b *Borrower) account(team string) *account {
	a := b.accounts[team]
	if a == nil {
		a = &account{empty: make(map[wire.Generation]time.Time)}
		b.accounts[team] = a
	}
	return a
}

// order returns the lenders in the order in which they are asked: those that did not answer last,
// before them those that had no tokens, and first the one in the domain of this daemon.
func (b *Borrower) order(now time.Time, self Member, a *account, lenders []Member) []Member {
	forget(now, b.slow)
	forget(now, a.empty)
	class := func(m Member) int {
		switch {
		case now.Before(b.slow[m.Generation]):
			return 3
		case now.Before(a.empty[m.Generation]):
			return 2
		case m.Domain != self.Domain:
			return 1
		default:
			return 0
		}
	}
	ordered := slices.Clone(lenders)
	slices.SortFunc(ordered, func(x, y Member) int {
		// The hash distributes the daemons without a lender in their domain over all lenders.
		hash := func(m Member) uint64 { return routes.Mix(uint64(self.Generation), uint64(m.Generation)) }
		return cmp.Or(cmp.Compare(class(x), class(y)), cmp.Compare(hash(x), hash(y)))
	})
	return ordered
}

func forget(now time.Time, until map[wire.Generation]time.Time) {
	for g, end := range until {
		if !now.Before(end) {
			delete(until, g)
		}
	}
}

// Next returns the lender to ask, the request for it, and how long to wait for the answer. If
// there is none, ok is false and the search has ended with a decision.
func (b *Borrower) Next(now time.Time, s *Search) (to Member, req *wire.TokenRequest, timeout time.Duration, ok bool) {
	if len(s.lenders) == 0 || !now.Before(s.deadline) {
		return Member{}, nil, 0, false
	}
	// What is left is divided, so that the last lender is asked even if no other answers.
	timeout = min(callTimeout, s.deadline.Sub(now)/time.Duration(len(s.lenders)))
	a := b.account(s.team)
	s.sent, s.count = now, 1
	if rate := a.rateAt(now); rate > batchRate && !a.batching {
		s.count = uint32(math.Ceil(min(rate*batchTime.Seconds(), maxCount)))
		s.batch, a.batching = true, true
	}
	return s.lenders[0], &wire.TokenRequest{Team: s.team, Count: s.count}, timeout, true
}

// Answer processes the answer of the lender that Next returned; it is nil if there was none. It
// reports whether the search has found a token.
func (b *Borrower) Answer(now time.Time, s *Search, answer *wire.Tokens) (Decision, bool) {
	a, lender := b.account(s.team), s.lenders[0].Generation
	s.lenders = s.lenders[1:]
	if s.batch {
		s.batch, a.batching = false, false
	}
	expires := s.sent.Add(b.tokenAge)
	switch {
	case answer == nil:
		b.slow[lender] = now.Add(slowTime)
	case answer.NotLender:
		// The views differ; they will not in a moment.
		a.empty[lender] = now.Add(maxRefusal)
	case answer.Count == 0:
		wait := min(max(answer.Wait, 0), maxWait)
		if !s.isEmpty || wait < s.wait {
			s.wait, s.isEmpty = wait, true
		}
		a.empty[lender] = now.Add(min(wait, maxRefusal))
	case now.Before(expires) || b.faults.NeverExpire:
		a.add(expires, int(min(answer.Count, s.count))-1)
		return a.grant(now, Token{Team: s.team, Expires: expires}), true
	}
	return Decision{}, false
}

// Abandon ends a search whose request is no longer waited for, without an answer of the lender that
// Next returned.
func (b *Borrower) Abandon(s *Search) Decision {
	if s.batch {
		b.account(s.team).batching = false
	}
	return Decision{Verdict: Unchecked, RetryAfter: uncheckedRetry}
}

// End returns the decision of a search that has found no token.
func (b *Borrower) End(now time.Time, s *Search) Decision {
	a := b.account(s.team)
	if expires, ok := a.pop(now, b.faults.NeverExpire); ok {
		// Another request has returned its token, or borrowed more than one.
		return a.grant(now, Token{Team: s.team, Expires: expires})
	}
	if !s.isEmpty {
		a.refused++
		return Decision{Verdict: Unchecked, RetryAfter: uncheckedRetry*4/5 + uncheckedRetry/25*time.Duration(a.refused%10)}
	}
	if until := now.Add(min(s.wait, maxRefusal)); until.After(a.refuseUntil) {
		a.refuseUntil, a.step, a.refused = until, max(s.wait, time.Millisecond), 0
	}
	return a.refuse(now, s.self)
}

// Return makes a token usable again whose request did not run.
func (b *Borrower) Return(now time.Time, t Token) {
	if now.Before(t.Expires) || b.faults.NeverExpire {
		b.account(t.Team).add(t.Expires, 1)
	}
}

// Retain drops the accounts of teams for which keep returns false.
func (b *Borrower) Retain(keep func(team string) bool) {
	for team := range b.accounts {
		if !keep(team) {
			delete(b.accounts, team)
		}
	}
}

// add adds n tokens.
func (a *account) add(expires time.Time, n int) {
	at, _ := slices.BinarySearchFunc(a.expiries, expires, time.Time.Compare)
	for range n {
		a.expiries = slices.Insert(a.expiries, at, expires)
	}
}

// pop removes the token that expires first. It drops those that have expired.
func (a *account) pop(now time.Time, neverExpire bool) (expires time.Time, ok bool) {
	for len(a.expiries) > 0 {
		expires, a.expiries = a.expiries[0], a.expiries[1:]
		if now.Before(expires) || neverExpire {
			return expires, true
		}
	}
	a.expiries = nil
	return time.Time{}, false
}

// rateAt returns the smoothed rate of taken tokens.
func (a *account) rateAt(now time.Time) float64 {
	return a.rate * math.Exp(-max(now.Sub(a.taken), 0).Seconds()/rateWindow.Seconds())
}

func (a *account) grant(now time.Time, t Token) Decision {
	a.rate, a.taken = a.rateAt(now)+1/rateWindow.Seconds(), now
	stopped := a.limited && now.Sub(a.lastRefusal) >= stoppedAfter
	a.limited = a.limited && !stopped
	return Decision{Verdict: Granted, Token: t, Stopped: stopped}
}

// refuse refuses a request. The first gets the time that a lender stated; one more token is
// expected in each such time.
func (a *account) refuse(now time.Time, self wire.Generation) Decision {
	a.lastRefusal = now
	retry := max(a.refuseUntil.Sub(now), a.step) + spread(a.step, a.refused, self)
	a.refused++
	started := !a.limited && now.Sub(a.started) >= stoppedAfter
	if started {
		a.limited, a.started = true, now
	}
	return Decision{Verdict: OverLimit, RetryAfter: retry, Started: started}
}

// spread returns the time that is added to step for a number of requests that were refused before.
// When step is the longest that a lender states, or maxRetry is reached, the times are spread
// evenly over what is left, differently at each daemon.
func spread(step time.Duration, refused int, self wire.Generation) time.Duration {
	limit := maxRetry - step
	if step < maxWait && time.Duration(refused) <= limit/step {
		return time.Duration(refused) * step
	}
	// Multiples of this number, which is the golden ratio, are spread evenly over the range.
	const multiplier = 0x9e3779b97f4a7c15
	fraction := float64(routes.Mix(uint64(self), 0)+uint64(refused)*multiplier) / math.MaxUint64
	return time.Duration(fraction * float64(limit))
}
