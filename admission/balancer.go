package admission

import (
	"sync"
	"time"

	"fulmarrun/wire"
)

// Balancer spreads the requests of one unkeyed service over its targets: a Pool,
// a Budget and a Hedge behind a lock. It is safe for concurrent use.
type Balancer struct {
	clock Clock

	mu     sync.Mutex
	pool   *Pool
	budget Budget
	hedge  *Hedge
}

// NewBalancer returns a Balancer without members.
func NewBalancer(opts ...Option) *Balancer {
	s := newSettings(opts)
	clock := s.clock
	if clock == nil {
		clock = time.Now
	}
	return &Balancer{clock: clock, pool: NewPool(opts...), budget: NewBudget(opts...), hedge: NewHedge(opts...)}
}

// Set replaces the members.
func (b *Balancer) Set(generations []wire.Generation) {
	now := b.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pool.Set(generations, now)
}

// First chooses a member for the first try of a request and counts it as in
// flight there until Done; false if there is none.
func (b *Balancer) First(exclude ...wire.Generation) (wire.Generation, bool) {
	now := b.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.First(now)
	return b.start(now, exclude)
}

// Retry chooses a member for another try of a request, be it a retry or a
// hedge, as First does; false if there is none or the budget is spent.
func (b *Balancer) Retry(exclude ...wire.Generation) (wire.Generation, bool) {
	now := b.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.pool.Has(exclude...) || !b.budget.Retry(now) {
		return 0, false
	}
	return b.start(now, exclude)
}

func (b *Balancer) start(now time.Time, exclude []wire.Generation) (wire.Generation, bool) {
	generation, ok := b.pool.Pick(now, exclude...)
	if ok {
		b.pool.Start(generation, now)
	}
	return generation, ok
}

// Done notes how a try ended. A try that was hedged and whose answer came second
// ended as Cancelled.
func (b *Balancer) Done(generation wire.Generation, c Completion) {
	now := b.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pool.Done(generation, c, now)
	if c.Result == OK {
		b.hedge.Record(c.Latency)
	}
}

// HedgeAfter returns how long a request with this cost of repeating waits for
// its first answer before Retry is asked for a second try; false if it is never
// hedged.
func (b *Balancer) HedgeAfter(cost float64) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hedge.After(cost)
}
