package admission

import (
	"context"
	"sync"
	"time"
)

// Clock returns the current time.
type Clock func() time.Time

// WithClock is a functional option that replaces the Gate's clock.
func WithClock(clock Clock) Option {
	return func(s *settings) { s.clock = clock }
}

// Gate admits requests to one target. It is safe for concurrent use.
type Gate struct {
	clock Clock

	mu   sync.Mutex
	core *Core
	// waiting maps the ID of each waiting request to the channel that receives its
	// decision.
	waiting map[uint64]chan Decision
	// wakeAt is when the earliest timer of scheduleWake ends; zero if none is running.
	wakeAt time.Time
}

// NewGate returns a Gate to a target without any measurements.
func NewGate(opts ...Option) *Gate {
	core := NewCore(opts...)
	clock := core.options.clock
	if clock == nil {
		clock = time.Now
	}
	return &Gate{clock: clock, core: core, waiting: make(map[uint64]chan Decision)}
}

// Enter waits until the request may be sent to the target. Its error is a *Refusal,
// which it returns as soon as it is known that the request can't meet its deadline, the
// queue is full, the target is draining or closed, or ctx ends.
func (g *Gate) Enter(ctx context.Context, t Ticket) (Permit, error) {
	if err := ctx.Err(); err != nil {
		return Permit{}, cancelled(err)
	}
	now := g.clock()
	g.mu.Lock()
	d := g.core.Enter(t, now)
	if d.Verdict != Waiting {
		g.mu.Unlock()
		return g.toResult(&d)
	}
	decided := make(chan Decision, 1)
	g.waiting[d.ID] = decided
	g.deliverDecisions(now)
	g.mu.Unlock()
	return g.awaitDecision(ctx, &d, decided, now)
}

// awaitDecision returns the final decision on a waiting request.
func (g *Gate) awaitDecision(ctx context.Context, d *Decision, decided chan Decision, now time.Time) (Permit, error) {
	var cutoff <-chan time.Time
	if !d.Cutoff.IsZero() {
		timer := time.NewTimer(d.Cutoff.Sub(now))
		defer timer.Stop()
		cutoff = timer.C
	}
	for {
		select {
		case final := <-decided:
			return g.toResult(&final)
		case <-ctx.Done():
			return g.abandon(ctx, d.ID, decided)
		case <-cutoff:
			next := g.expire(d.ID, decided)
			cutoff = time.After(next)
		}
	}
}

// expire has the core decide on a request whose cutoff has passed, and returns how much
// longer it may wait if it can still meet its deadline.
func (g *Gate) expire(id uint64, decided chan Decision) time.Duration {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	d, ok := g.core.Expire(id, now)
	if !ok {
		return 0
	}
	if d.Verdict == Waiting {
		return d.Cutoff.Sub(now)
	}
	delete(g.waiting, id)
	decided <- d
	g.deliverDecisions(now)
	return 0
}

// abandon withdraws a request whose context has ended. If it was admitted at the same
// moment, its slot is released for the next request.
func (g *Gate) abandon(ctx context.Context, id uint64, decided chan Decision) (Permit, error) {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core.Withdraw(id) {
		delete(g.waiting, id)
	} else if d := <-decided; d.Verdict == Admitted {
		g.core.Done(d.Slot, Completion{Result: Cancelled}, now)
	}
	g.deliverDecisions(now)
	return Permit{}, cancelled(ctx.Err())
}

func cancelled(err error) *Refusal {
	return &Refusal{Reason: ReasonCancelled, cause: err}
}

// toResult converts a final decision into the results of Enter.
func (g *Gate) toResult(d *Decision) (Permit, error) {
	if d.Verdict == Admitted {
		return Permit{gate: g, slot: d.Slot}, nil
	}
	return Permit{}, &Refusal{Reason: d.Refusal.Reason, RetryAfter: d.Refusal.RetryAfter}
}

// deliverDecisions sends all decisions on waiting requests to their channels. The
// caller holds the lock.
func (g *Gate) deliverDecisions(now time.Time) {
	for {
		d, ok := g.core.Next(now)
		if !ok {
			g.scheduleWake(now)
			return
		}
		g.waiting[d.ID] <- d
		delete(g.waiting, d.ID)
	}
}

// scheduleWake starts a timer for decisions that become due without any event. The
// caller holds the lock.
func (g *Gate) scheduleWake(now time.Time) {
	at, ok := g.core.NextWake(now)
	if !ok || !g.wakeAt.IsZero() && !at.Before(g.wakeAt) {
		return
	}
	g.wakeAt = at
	time.AfterFunc(at.Sub(now), func() {
		g.apply(func(time.Time) {
			if g.wakeAt.Equal(at) {
				g.wakeAt = time.Time{}
			}
		})
	})
}

func (g *Gate) done(slot Slot, c Completion) {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core.Done(slot, c, now) {
		g.deliverDecisions(now)
	}
}

// apply runs an update of the core and delivers the decisions that follow from it.
func (g *Gate) apply(update func(now time.Time)) {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	update(now)
	g.deliverDecisions(now)
}

// Report records a health report of the target. A report lowers the limit for a few
// seconds at most; draining lasts until a report denies it.
func (g *Gate) Report(h Health) {
	g.apply(func(now time.Time) { g.core.Report(h, now) })
}

// Restart discards all measurements of the target because it was restarted: the limit
// is the start limit again. Requests in flight still count.
func (g *Gate) Restart() {
	g.apply(func(now time.Time) { g.core.Restart(now) })
}

// SetCeiling changes the maximum limit. It does not change a fixed limit.
func (g *Gate) SetCeiling(ceiling int) {
	g.apply(func(now time.Time) { g.core.SetCeiling(ceiling, now) })
}

// SetFixedLimit sets a limit that is never adapted, such as the number of concurrent
// requests that the target reports.
func (g *Gate) SetFixedLimit(limit int) {
	g.apply(func(now time.Time) { g.core.SetFixedLimit(limit, now) })
}

// SetColdRate limits the rate of admissions, in requests per second, for a target that
// has just started and reports how long it stays slow.
func (g *Gate) SetColdRate(left time.Duration, perSecond float64) {
	g.apply(func(now time.Time) { g.core.SetColdRate(now, now.Add(left), perSecond) })
}

// SetStatedRate limits the rate of admissions, in requests per second, to what the target
// states, until EndStatedRate.
func (g *Gate) SetStatedRate(perSecond float64) {
	g.apply(func(now time.Time) { g.core.SetStatedRate(now, perSecond) })
}

// EndStatedRate removes the limit of SetStatedRate.
func (g *Gate) EndStatedRate() {
	g.apply(func(time.Time) { g.core.EndStatedRate() })
}

// Pause stops admission until Resume. Requests that can still meet their deadline wait.
func (g *Gate) Pause() {
	g.apply(func(time.Time) { g.core.Pause() })
}

// Resume ends a Pause.
func (g *Gate) Resume() {
	g.apply(func(time.Time) { g.core.Resume() })
}

// Close refuses all requests from now on, including those that are waiting.
func (g *Gate) Close() {
	g.apply(func(time.Time) { g.core.Close() })
}

// Stats returns a snapshot.
func (g *Gate) Stats() Stats {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Stats(now)
}
