package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// defaultPatientShare is the fraction of the limit up to which patient requests are
	// admitted.
	defaultPatientShare = 0.75
	// maxPatientLoad is the reported load above which patient requests are not
	// admitted.
	maxPatientLoad = 0.75
	// latencyWeight is the weight of one completion in the moving average of the
	// latency.
	latencyWeight = 1.0 / 32
	// meanLatencySamples is the number of latencies whose plain mean varies about as
	// much as the moving average, with some margin.
	meanLatencySamples = 16
)

// WithPatientShare is a functional option that sets the fraction of the limit up to
// which patient requests are admitted.
func WithPatientShare(share float64) Option {
	return func(s *settings) { s.patientShare = share }
}

// Core decides on admission to one target. Its state changes only through its methods,
// which receive the current time, and it is not safe for concurrent use.
//
// After each method call that changes its state, except an Enter that does not return
// Waiting, the caller calls Next until it returns no further decision on a waiting request.
// With an overload policy, the decision on a request that an arrival displaces comes from
// Next.
type Core struct {
	options settings
	limiter Limiter
	reserve Reserve
	urgent  Queue
	patient Queue
	// nestedWaiting is the number of nested requests that are waiting.
	nestedWaiting int

	slots slots
	bytes byteBound
	// policy is nil without WithOverloadPolicy and WithPriorityPolicy.
	policy *overloadPolicy
	// cold limits the rate while the target is cold, stated to the rate that the target
	// states.
	cold   RateLimiter
	stated RateLimiter
	// latency is the exponentially weighted moving average of the latency of successful
	// requests, in nanoseconds.
	latency float64
	// lastProgress is when a request last ended, or started while none was in flight.
	lastProgress time.Time
	health       report
	paused       bool
	closed       bool
	// prune is true while the whole queue has to be checked for requests that will
	// miss their deadlines.
	prune  bool
	lastID uint64
	random *rand.Rand
	stats  Stats
}

// NewCore returns a Core for a target without any measurements.
func NewCore(opts ...Option) *Core {
	s := newSettings(opts)
	return &Core{
		options: s,
		limiter: newLimiter(&s),
		reserve: newReserve(&s),
		urgent:  NewQueue(s.order),
		patient: NewQueue(s.order),
		bytes:   byteBound{limit: s.maxBytes},
		policy:  newOverloadPolicy(&s),
		random:  rand.New(rand.NewPCG(s.seed, s.seed)),
	}
}

// Enter decides on a new request: it is admitted, refused or queued.
func (c *Core) Enter(t Ticket, now time.Time) Decision {
	if c.options.rewriteTicket != nil {
		t = c.options.rewriteTicket(t)
	}
	t.Bytes = max(t.Bytes, 0)
	if refusal, refused := c.refuseEarly(&t, now); refused {
		return c.refuse(0, refusal)
	}
	c.reserve.RecordCall(t.Depth, now)
	w := Waiter{Ticket: t}
	if c.policy != nil {
		c.policy.attach(&w, now)
	}
	if c.canEnter(&t, now) {
		if c.reserve.InFlight() > 0 && t.missesDeadline(now, c.leastWork(&w, now)) {
			return c.turnAway(&w, c.shortReason(&w, now), now)
		}
		return c.admit(&w, now)
	}
	if c.policy.acts() {
		return c.enqueueOrDisplace(&w, now)
	}
	return c.enqueue(&w, now)
}

// refuseEarly refuses requests that can't be admitted regardless of the load.
func (c *Core) refuseEarly(t *Ticket, now time.Time) (Refusal, bool) {
	switch {
	case c.closed:
		return c.unavailable(ReasonClosed), true
	case c.health.Draining:
		return c.unavailable(ReasonDraining), true
	case t.Depth > c.options.maxDepth:
		return Refusal{Reason: ReasonDepth}, true
	case t.missesDeadline(now, 0):
		return c.refusal(ReasonDeadline, now), true
	}
	return Refusal{}, false
}

// canEnter reports whether a new request may be admitted right now.
func (c *Core) canEnter(t *Ticket, now time.Time) bool {
	if c.paused || c.rateWait(now) > 0 || !c.fits(t) {
		return false
	}
	if t.Class == Patient {
		return c.urgent.Len() == 0 && c.patient.Len() == 0 && c.hasSpareCapacity(now) && c.reserve.Admits(c.Limit(now), t.Depth, now)
	}
	if c.urgent.Len() > 0 && (t.Depth == 0 || c.nestedWaiting > 0) {
		return false
	}
	return c.reserve.Admits(c.Limit(now), t.Depth, now)
}

// hasSpareCapacity reports whether a patient request may be admitted: the work in
// flight is clearly below the limit and the latency near the baseline, or nothing is in
// flight at all, so that stale measurements can't block patient work forever.
func (c *Core) hasSpareCapacity(now time.Time) bool {
	inFlight := c.reserve.InFlight()
	if inFlight == 0 {
		return true
	}
	if c.health.current(now).Load > maxPatientLoad {
		return false
	}
	room := int(c.options.patientShare * float64(c.reserve.Capacity(c.Limit(now), 0, now)))
	return inFlight < room && c.limiter.NearBaseline(time.Duration(c.latency), meanLatencySamples)
}

// enqueue queues a request if the queue has room and the request can meet its deadline.
func (c *Core) enqueue(arrival *Waiter, now time.Time) Decision {
	queue := c.queueFor(arrival.Class)
	w := *arrival
	w.ID = c.lastID + 1
	if queue.Len() >= c.options.queue {
		return c.turnAway(arrival, ReasonFull, now)
	}
	if c.willMissDeadline(&w.Ticket, queue.Ahead(&w), now) {
		return c.turnAway(arrival, c.lateReason(&w.Ticket, now), now)
	}
	c.push(queue, &w)
	return Decision{Verdict: Waiting, ID: w.ID, Cutoff: c.cutoff(&w, now)}
}

// push adds a request with the next ID to a queue.
func (c *Core) push(queue *Queue, w *Waiter) {
	c.lastID = w.ID
	c.prune = true
	queue.Push(*w)
	c.policy.enter(w.team)
	if w.Depth > 0 {
		c.nestedWaiting++
	}
}

// willMissDeadline reports whether a request with that many requests ahead of it can't
// meet its deadline at the measured speed.
func (c *Core) willMissDeadline(t *Ticket, ahead int, now time.Time) bool {
	serviceTime, wait := c.limiter.MinLatency(), time.Duration(0)
	if !c.paused {
		wait = c.drainTime(ahead+1, now)
	}
	return t.missesDeadline(now, serviceTime+wait) || t.startsLate(now, wait)
}

// cutoff returns when a request can no longer meet its deadline, even if it were next.
func (c *Core) cutoff(w *Waiter, now time.Time) time.Time {
	if w.Deadline.IsZero() {
		return w.LatestStart
	}
	least := c.leastWork(w, now)
	if c.policy.acts() && c.isIdle() {
		least = 0
	}
	cutoff := w.Deadline.Add(-least)
	if !w.LatestStart.IsZero() && w.LatestStart.Before(cutoff) {
		return w.LatestStart
	}
	return cutoff
}

// drainTime returns the expected time until the given number of requests have left the
// queue. If the target has completed nothing for longer than the mean latency, that
// time is used as its latency.
func (c *Core) drainTime(count int, now time.Time) time.Duration {
	latency := c.latency
	if c.reserve.InFlight() > 0 {
		latency = max(latency, float64(now.Sub(c.lastProgress)))
	}
	byLimit := time.Duration(latency * float64(count) / float64(c.parallel(c.Limit(now))))
	return max(byLimit, c.cold.DrainTime(count, now), c.stated.DrainTime(count, now))
}

// rateWait returns the time until the rate limits allow the next request.
func (c *Core) rateWait(now time.Time) time.Duration {
	return max(c.cold.Wait(now), c.stated.Wait(now))
}

// Done releases a slot. It returns false, and does nothing, if the slot was released
// before.
func (c *Core) Done(slot Slot, done Completion, now time.Time) bool {
	o, ok := c.slots.release(slot)
	if !ok {
		return false
	}
	if c.options.rewriteCompletion != nil {
		done = c.options.rewriteCompletion(done)
	}
	if done.Latency == 0 {
		done.Latency = now.Sub(o.admittedAt)
	}
	c.recordResult(done)
	limit := c.limiter.Limit()
	c.limiter.End(o.startState, done, now)
	c.prune = c.prune || c.limiter.Limit() < limit
	c.reserve.Release(o.depth)
	c.bytes.inFlight -= o.bytes
	if o.kind != nil {
		o.kind.work.record(done, now)
		c.policy.leave(o.team)
	}
	c.lastProgress = now
	return true
}

// recordResult updates the mean latency and the counters.
func (c *Core) recordResult(done Completion) {
	switch done.Result {
	case Shed:
		c.stats.Shed++
	case OK:
		if c.latency == 0 {
			c.latency = float64(done.Latency)
		}
		c.latency += (float64(done.Latency) - c.latency) * latencyWeight
	case Failed, Cancelled:
	}
}

// Withdraw removes a waiting request. It returns false if the request is no longer
// waiting because it was already decided on.
func (c *Core) Withdraw(id uint64) bool {
	_, ok := c.remove(id)
	return ok
}

// Expire decides on a request whose cutoff has passed. The verdict is Waiting with a
// new cutoff if the request can still meet its deadline; ok is false if the request is
// no longer waiting.
func (c *Core) Expire(id uint64, now time.Time) (d Decision, ok bool) {
	w := c.find(id)
	if w == nil {
		return Decision{}, false
	}
	cutoff := c.cutoff(w, now)
	if cutoff.IsZero() || now.Before(cutoff) {
		return Decision{Verdict: Waiting, ID: id, Cutoff: cutoff}, true
	}
	reason := c.expiryReason(w, now)
	expired, _ := c.remove(id)
	return c.turnAway(&expired, reason, now), true
}

// Next returns the next decision on a waiting request, if there is one.
func (c *Core) Next(now time.Time) (Decision, bool) {
	if c.urgent.Len() == 0 && c.patient.Len() == 0 {
		c.prune = false
		return Decision{}, false
	}
	if c.closed || c.health.Draining {
		return c.evict()
	}
	if w, reason, ok := c.takeLate(now); ok {
		return c.turnAway(&w, reason, now), true
	}
	if c.paused || c.rateWait(now) > 0 {
		return Decision{}, false
	}
	if w, ok := c.takeReady(now); ok {
		if c.policy.acts() && c.isLate(&w, now) {
			// It was not the first of its queue, which takeVictim checks.
			return c.turnAway(&w, c.expiryReason(&w, now), now), true
		}
		return c.admit(&w, now), true
	}
	return Decision{}, false
}

// evict refuses a waiting request because the target is draining or closed.
func (c *Core) evict() (Decision, bool) {
	reason := ReasonDraining
	if c.closed {
		reason = ReasonClosed
	}
	w, ok := c.takeFirst(&c.urgent, anyWaiter)
	if !ok {
		w, ok = c.takeFirst(&c.patient, anyWaiter)
	}
	return c.refuse(w.ID, c.unavailable(reason)), ok
}

func anyWaiter(*Waiter) bool { return true }

// takeLate removes a request that is refused because it, or another, would be late.
func (c *Core) takeLate(now time.Time) (w Waiter, reason string, ok bool) {
	if c.policy.acts() {
		return c.takeVictim(now)
	}
	if w, ok = c.takeExpired(now); ok {
		reason = c.lateReason(&w.Ticket, now)
	}
	return w, reason, ok
}

// takeExpired removes a request that can no longer meet its deadline, or that has to be
// dropped so that others can meet theirs. It checks the whole queue after a request was
// added or the limit has fallen, and else only the first request of each queue, because
// Expire decides on each of the others at its cutoff.
func (c *Core) takeExpired(now time.Time) (Waiter, bool) {
	for _, queue := range [...]*Queue{&c.urgent, &c.patient} {
		if next := queue.Peek(); next != nil && (next.missesDeadline(now, c.limiter.MinLatency()) || next.startsLate(now, 0)) {
			return c.takeFirst(queue, anyWaiter)
		}
		if !c.prune {
			continue
		}
		interval := c.drainTime(1, now)
		if c.paused {
			interval = 0
		}
		if id, ok := queue.NextToDrop(now.Add(c.limiter.MinLatency()), interval); ok {
			return c.remove(id)
		}
	}
	c.prune = false
	return Waiter{}, false
}

// takeReady removes the first waiting request that may be admitted.
func (c *Core) takeReady(now time.Time) (Waiter, bool) {
	limit := c.Limit(now)
	var bytes byteFilter
	ready := func(w *Waiter) bool {
		return c.reserve.Admits(limit, w.Depth, now) && bytes.allows(c, &w.Ticket, limit)
	}
	if c.urgent.Len() > 0 {
		if c.nestedWaiting == 0 && !c.reserve.Admits(limit, 0, now) {
			return Waiter{}, false
		}
		return c.takeFirst(&c.urgent, ready)
	}
	if !c.hasSpareCapacity(now) {
		return Waiter{}, false
	}
	return c.takeFirst(&c.patient, ready)
}

// takeFirst removes the first request of a queue that satisfies ready.
func (c *Core) takeFirst(queue *Queue, ready func(*Waiter) bool) (Waiter, bool) {
	w, ok := queue.PopFirst(ready)
	if ok {
		c.untrack(&w)
	}
	return w, ok
}

// takeAt removes the request at this index of a queue.
func (c *Core) takeAt(queue *Queue, index int) Waiter {
	w := queue.removeAt(index)
	c.untrack(&w)
	return w
}

// untrack updates the counters for a request that has left its queue.
func (c *Core) untrack(w *Waiter) {
	if w.Depth > 0 {
		c.nestedWaiting--
	}
	c.policy.leave(w.team)
}

func (c *Core) remove(id uint64) (Waiter, bool) {
	w, ok := c.urgent.Remove(id)
	if !ok {
		w, ok = c.patient.Remove(id)
	}
	if ok {
		c.untrack(&w)
	}
	return w, ok
}

func (c *Core) find(id uint64) *Waiter {
	if w := c.urgent.Find(id); w != nil {
		return w
	}
	return c.patient.Find(id)
}

// admit assigns a slot to a request.
func (c *Core) admit(w *Waiter, now time.Time) Decision {
	c.cold.Take(now)
	c.stated.Take(now)
	c.reserve.Acquire(w.Depth)
	c.bytes.inFlight += w.Bytes
	c.policy.enter(w.team)
	c.policy.record(w, true, now)
	inFlight := c.reserve.InFlight()
	if inFlight == 1 {
		c.lastProgress = now
		// While nothing was in flight, no request was refused for too little time left.
		c.prune = c.prune || c.policy.acts()
	}
	full := inFlight >= c.reserve.Capacity(c.limiter.Limit(), 0, now)
	startState := c.limiter.Begin(inFlight, full, now)
	c.stats.Admitted++
	return Decision{Verdict: Admitted, ID: w.ID, Slot: c.slots.take(inFlightRequest{
		depth: w.Depth, bytes: w.Bytes, kind: w.kind, team: w.team, startState: startState, admittedAt: now,
	})}
}

func (c *Core) refuse(id uint64, r Refusal) Decision {
	c.stats.Refused++
	return Decision{Verdict: Refused, ID: id, Refusal: r}
}

// refusal returns a Refusal with a retry delay of the expected time until the queue is
// drained.
func (c *Core) refusal(reason string, now time.Time) Refusal {
	wait := c.drainTime(c.urgent.Len()+c.reserve.InFlight()+1, now)
	return Refusal{Reason: reason, RetryAfter: jitter(wait, c.random)}
}

// lateReason returns the reason to refuse a request that can't meet its deadline.
func (c *Core) lateReason(t *Ticket, now time.Time) string {
	if !c.fits(t) && c.reserve.InFlight() < c.Limit(now) {
		return ReasonBytes
	}
	if c.rateWait(now) > 0 && c.reserve.InFlight() < c.Limit(now) {
		return ReasonRate
	}
	return ReasonDeadline
}

// unavailable returns a Refusal with the delay after which another target may have
// taken over.
func (c *Core) unavailable(reason string) Refusal {
	return Refusal{Reason: reason, RetryAfter: jitter(unavailableRetryAfter, c.random)}
}

func (c *Core) queueFor(class Class) *Queue {
	if class == Patient {
		return &c.patient
	}
	return &c.urgent
}

// Limit returns the number of requests that may be in flight, reduced by what the
// target reports.
func (c *Core) Limit(now time.Time) int {
	limit := c.limiter.Limit()
	health := c.health.current(now)
	if health.Unready {
		limit = min(limit, c.options.startLimit)
	}
	if health.Limit > 0 {
		limit = min(limit, health.Limit)
	}
	return limit
}

// Report records a health report of the target.
func (c *Core) Report(h Health, now time.Time) {
	c.health = report{Health: h, at: now}
}

// Restart discards all measurements of the target because it was restarted.
func (c *Core) Restart(now time.Time) {
	c.limiter.Restart(now)
	c.latency = 0
	c.policy.restart()
}

// SetCeiling changes the maximum limit.
func (c *Core) SetCeiling(ceiling int, now time.Time) {
	c.limiter.SetCeiling(ceiling, now)
}

// SetFixedLimit sets a limit that is never adapted.
func (c *Core) SetFixedLimit(limit int, now time.Time) {
	c.limiter.FixLimit(limit, now)
}

// SetColdRate limits the rate of admissions, in requests per second, until the given
// time.
func (c *Core) SetColdRate(now, until time.Time, perSecond float64) {
	c.cold.SetRate(now, until, perSecond)
}

// SetStatedRate limits the rate of admissions to what the target states, in requests per
// second, until EndStatedRate.
func (c *Core) SetStatedRate(now time.Time, perSecond float64) {
	c.stated.SetRate(now, time.Time{}, max(perSecond, minStatedRate))
}

// EndStatedRate removes the limit of SetStatedRate.
func (c *Core) EndStatedRate() {
	c.stated = RateLimiter{}
}

// NextWake returns when Next has to be called again even if nothing happens; false if
// that is not needed.
func (c *Core) NextWake(now time.Time) (at time.Time, ok bool) {
	wait := c.rateWait(now)
	if wait == 0 || c.paused || c.urgent.Len()+c.patient.Len() == 0 {
		return time.Time{}, false
	}
	return now.Add(wait), true
}

// Pause stops admission until Resume. Requests that can still meet their deadline wait.
func (c *Core) Pause() {
	c.paused = true
}

// Resume ends a Pause.
func (c *Core) Resume() {
	c.paused = false
}

// Close refuses all requests from now on, including those that are waiting.
func (c *Core) Close() {
	c.closed = true
}

// Stats returns a snapshot.
func (c *Core) Stats(now time.Time) Stats {
	s := c.stats
	s.InFlight = c.reserve.InFlight()
	s.Queued = c.urgent.Len() + c.patient.Len()
	s.Limit = c.Limit(now)
	s.Proven = c.limiter.Proven()
	s.Latency = time.Duration(c.latency)
	s.Baseline = c.limiter.Baseline()
	s.StatedRate = c.stated.rate
	s.Paused = c.paused
	s.Draining = c.closed || c.health.Draining
	return s
}
