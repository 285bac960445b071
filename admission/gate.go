package admission

import (
	"context"
	"sync"
	"time"
)

// Clock tells the time.
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
	// waiting holds where the decision on each waiting request goes.
	waiting map[uint64]chan Decision
	// waking is true while a call of wake is due.
	waking bool
}

// NewGate returns a Gate to a target of which nothing is known.
func NewGate(opts ...Option) *Gate {
	core := NewCore(opts...)
	clock := core.set.clock
	if clock == nil {
		clock = time.Now
	}
	return &Gate{clock: clock, core: core, waiting: make(map[uint64]chan Decision)}
}

// Enter waits until the request may be handed to the target. Its error is a
// *Refusal, and comes as soon as it is known that the request can't make its
// deadline, the queue is full, the target leaves, or ctx ends.
func (g *Gate) Enter(ctx context.Context, t Ticket) (Permit, error) {
	if err := ctx.Err(); err != nil {
		return Permit{}, cancelled(err)
	}
	now := g.clock()
	g.mu.Lock()
	d := g.core.Enter(t, now)
	if d.Verdict != Waiting {
		g.mu.Unlock()
		return g.outcome(&d)
	}
	decided := make(chan Decision, 1)
	g.waiting[d.ID] = decided
	g.settle(now)
	g.mu.Unlock()
	return g.await(ctx, &d, decided, now)
}

// await returns the decision on a request that waits.
func (g *Gate) await(ctx context.Context, d *Decision, decided chan Decision, now time.Time) (Permit, error) {
	var cutoff <-chan time.Time
	if !d.Cutoff.IsZero() {
		timer := time.NewTimer(d.Cutoff.Sub(now))
		defer timer.Stop()
		cutoff = timer.C
	}
	for {
		select {
		case final := <-decided:
			return g.outcome(&final)
		case <-ctx.Done():
			return g.abandon(ctx, d.ID, decided)
		case <-cutoff:
			next := g.expire(d.ID, decided)
			cutoff = time.After(next)
		}
	}
}

// expire has a request decided on whose cutoff has come, and returns how long
// it may wait if it is still in time.
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
	g.settle(now)
	return 0
}

// abandon withdraws a request whose context has ended. If it was admitted at
// the same moment, the slot goes to the next one.
func (g *Gate) abandon(ctx context.Context, id uint64, decided chan Decision) (Permit, error) {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core.Leave(id) {
		delete(g.waiting, id)
	} else if d := <-decided; d.Verdict == Admitted {
		g.core.Done(d.Slot, Completion{Result: Cancelled}, now)
	}
	g.settle(now)
	return Permit{}, cancelled(ctx.Err())
}

func cancelled(err error) *Refusal {
	return &Refusal{Reason: ReasonCancelled, cause: err}
}

// outcome turns a final decision into what Enter returns.
func (g *Gate) outcome(d *Decision) (Permit, error) {
	if d.Verdict == Admitted {
		return Permit{gate: g, slot: d.Slot}, nil
	}
	return Permit{}, &Refusal{Reason: d.Refusal.Reason, RetryAfter: d.Refusal.RetryAfter}
}

// settle hands out all decisions on waiting requests. The lock is held.
func (g *Gate) settle(now time.Time) {
	for {
		d, ok := g.core.Next(now)
		if !ok {
			g.wakeLater(now)
			return
		}
		g.waiting[d.ID] <- d
		delete(g.waiting, d.ID)
	}
}

// wakeLater has the decisions made that only time brings. The lock is held.
func (g *Gate) wakeLater(now time.Time) {
	at, ok := g.core.Wake(now)
	if !ok || g.waking {
		return
	}
	g.waking = true
	time.AfterFunc(at.Sub(now), func() {
		g.change(func(time.Time) { g.waking = false })
	})
}

func (g *Gate) done(slot Slot, c Completion) {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.core.Done(slot, c, now) {
		g.settle(now)
	}
}

// change applies a message and hands out the decisions that follow from it.
func (g *Gate) change(message func(now time.Time)) {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	message(now)
	g.settle(now)
}

// Report takes in what the target says of itself. A report lowers what the
// target is given for a few seconds at most; draining lasts until it is denied.
func (g *Gate) Report(h Health) {
	g.change(func(now time.Time) { g.core.Report(h, now) })
}

// Restart forgets what was learned of the target, since it has started anew: the
// limit is the start limit again. What is in flight still counts.
func (g *Gate) Restart() {
	g.change(func(now time.Time) { g.core.Restart(now) })
}

// SetCeiling changes the greatest limit. A fixed limit stays as it is.
func (g *Gate) SetCeiling(ceiling int) {
	g.change(func(now time.Time) { g.core.SetCeiling(ceiling, now) })
}

// SetFixedLimit sets a limit that never changes by itself, such as the number of
// requests that the target says it runs at once.
func (g *Gate) SetFixedLimit(limit int) {
	g.change(func(now time.Time) { g.core.SetFixed(limit, now) })
}

// SetColdRate bounds the rate of admissions, in requests a second, for a target that
// has just started and says how long it stays slow.
func (g *Gate) SetColdRate(left time.Duration, perSecond float64) {
	g.change(func(now time.Time) { g.core.SetCold(now.Add(left), perSecond) })
}

// Pause admits nothing until Resume. What can still make its deadline waits.
func (g *Gate) Pause() {
	g.change(func(time.Time) { g.core.Pause() })
}

// Resume ends a Pause.
func (g *Gate) Resume() {
	g.change(func(time.Time) { g.core.Resume() })
}

// Close refuses everything from now on, also what waits.
func (g *Gate) Close() {
	g.change(func(time.Time) { g.core.Close() })
}

// Stats returns a snapshot.
func (g *Gate) Stats() Stats {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Stats(now)
}
