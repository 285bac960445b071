package quota

import (
	"context"
	"sync"
	"time"

	"fulmarrun/clock"
	"fulmarrun/config"
	"fulmarrun/guard"
	"fulmarrun/wire"
)

// Limiter takes tokens for the requests that this daemon receives and lends tokens to other
// daemons. The fields must be set before the first call of a method.
type Limiter struct {
	// Members returns the open members, ordered by generation. It must return the same slice
	// until they change.
	Members func() []Member
	// Self returns this daemon's present generation; ok is false if it has none.
	Self func() (self Member, ok bool)
	// Team returns a team of the configuration in force.
	Team func(name string) (*config.Team, bool)
	// HasLease reports whether this daemon's lease is valid now.
	HasLease func() bool
	// Call asks another daemon for tokens. An answer after its context has ended is dropped.
	Call func(ctx context.Context, to Member, req *wire.TokenRequest) (*wire.Tokens, error)
	// Now returns the time. It must count suspensions of the machine.
	Now func() time.Time

	mu       sync.Mutex
	view     View
	lender   *Lender
	borrower *Borrower
}

// NewLimiter returns a limiter that reads package clock.
func NewLimiter(opts ...Option) *Limiter {
	l := &Limiter{Now: clock.Now, lender: NewLender(), borrower: NewBorrower()}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Observe records the members and the lease. It must be called several times a second while the
// configuration has limited teams, since a lender must not miss a change.
func (l *Limiter) Observe() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observe(l.Now())
}

// observe returns this daemon's present generation; ok is false if it has none.
func (l *Limiter) observe(now time.Time) (self Member, ok bool) {
	self, ok = l.Self()
	if !ok {
		return Member{}, false
	}
	changed, interrupted := l.view.Observe(now, self, l.Members(), l.HasLease())
	if changed {
		l.lender.Observe(&l.view, interrupted)
		l.borrower.Retain(func(team string) bool { return l.limit(team) != nil })
	}
	return self, true
}

// limit returns a team whose rate is limited, or nil.
func (l *Limiter) limit(name string) *config.Team {
	team, ok := l.Team(name)
	if !ok || !team.Limited() {
		return nil
	}
	return team
}

// Lend answers a request of another daemon for tokens.
func (l *Limiter) Lend(req *wire.TokenRequest) *wire.Tokens {
	tokens := l.lend(req)
	// The process may have been paused since the tokens were taken from the bucket.
	if !l.HasLease() {
		return &wire.Tokens{NotLender: true}
	}
	return tokens
}

func (l *Limiter) lend(req *wire.TokenRequest) *wire.Tokens {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if _, ok := l.observe(now); !ok {
		return &wire.Tokens{NotLender: true}
	}
	team := l.limit(req.Team)
	if team == nil {
		// The name is from the network: nothing is kept for one that has no limit.
		return l.lender.Lend(now, Choice{}, nil, req)
	}
	return l.lender.Lend(now, l.view.Choose(req.Team), team, req)
}

// Take takes a token for a request of a team. It asks lenders if it has none.
func (l *Limiter) Take(ctx context.Context, team *config.Team) Decision {
	if !team.Limited() {
		return Decision{}
	}
	self, decision, search := l.start(team.Name)
	if search == nil {
		return decision
	}
	for {
		to, req, timeout, ok := l.next(search)
		if !ok {
			return l.end(search)
		}
		answer := l.ask(ctx, timeout, self, to, req)
		if answer == nil && ctx.Err() != nil {
			return l.abandon(search)
		}
		if decision, ok := l.answer(search, answer); ok {
			return decision
		}
	}
}

// ask returns the answer of a lender, or nil.
func (l *Limiter) ask(ctx context.Context, timeout time.Duration, self, to Member, req *wire.TokenRequest) *wire.Tokens {
	if to.Generation == self.Generation {
		return l.Lend(req)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	type result struct {
		answer   *wire.Tokens
		panicked error
	}
	done := make(chan result, 1)
	// Call may return after its context has ended: a write to a lender that does not read blocks for
	// longer.
	go func() {
		var r result
		r.panicked = guard.Run(func() {
			if answer, err := l.Call(ctx, to, req); err == nil {
				r.answer = answer
			}
		})
		done <- r
	}()
	select {
	case r := <-done:
		if r.panicked != nil {
			// The goroutine of the request reports it.
			panic(r.panicked)
		}
		return r.answer
	case <-ctx.Done():
		return nil
	}
}

func (l *Limiter) start(team string) (Member, Decision, *Search) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	self, ok := l.observe(now)
	if !ok {
		return self, Decision{Verdict: Unchecked, RetryAfter: uncheckedRetry}, nil
	}
	decision, search := l.borrower.Start(now, self, team, l.view.Choose(team).Lenders)
	return self, decision, search
}

func (l *Limiter) next(s *Search) (Member, *wire.TokenRequest, time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.borrower.Next(l.Now(), s)
}

func (l *Limiter) answer(s *Search, answer *wire.Tokens) (Decision, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.borrower.Answer(l.Now(), s, answer)
}

func (l *Limiter) abandon(s *Search) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.borrower.Abandon(s)
}

func (l *Limiter) end(s *Search) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.borrower.End(l.Now(), s)
}

// Return makes a token usable again until it expires, since the request that used it did not run.
func (l *Limiter) Return(t Token) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.borrower.Return(l.Now(), t)
}
