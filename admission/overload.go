package admission

import (
	"math"
	"time"
)

// WithOverloadPolicy is a functional option that chooses which requests are refused in
// overload by what the refusal costs their callers: by priority, team, time left and work.
// Without it a request that would be late is itself refused.
func WithOverloadPolicy() Option {
	return func(s *settings) { s.overloadPolicy = true }
}

// kindRecord is what is known about the requests of one kind at the target.
type kindRecord struct {
	work   workTimes
	served servedWindow
	limit  timeLimit
	// returned counts the decisions on requests that have come back.
	returned servedWindow
	view     kindView
}

// teamRecord is what is known about the requests of one team at the target. present is the
// number of those that wait or run.
type teamRecord struct {
	present int
	served  servedWindow
	view    teamView
}

// overloadPolicy holds the measurements by which requests are refused in overload.
type overloadPolicy struct {
	// always is false if the policy acts only while priorities are mixed.
	always    bool
	mix       priorityMix
	kinds     records[kindRecord]
	teams     records[teamRecord]
	all       servedWindow
	comebacks comebacks
	// walk numbers the walks through a queue.
	walk uint64
	// presentTeams is the number of teams with requests that wait or run, and
	// presentRequests the number of those requests.
	presentTeams    int
	presentRequests int
}

func newOverloadPolicy(s *settings) *overloadPolicy {
	if !s.overloadPolicy && !s.priorityPolicy {
		return nil
	}
	return &overloadPolicy{always: s.overloadPolicy, kinds: newRecords[kindRecord](), teams: newRecords[teamRecord]()}
}

// restart discards the latencies because the target was restarted.
func (p *overloadPolicy) restart() {
	if p == nil {
		return
	}
	p.kinds.other.work = workTimes{}
	for _, k := range p.kinds.byName {
		k.work = workTimes{}
	}
}

// acts reports whether the policy chooses which requests are refused.
func (p *overloadPolicy) acts() bool { return p != nil && (p.always || p.mix.mixed) }

// attach sets the records of a new request. Requests of no team, such as calls of targets,
// have no team record.
func (p *overloadPolicy) attach(w *Waiter, now time.Time) {
	w.left, w.latest, w.deadline = math.MaxInt64, math.MaxInt64, math.MaxInt64
	w.kind = p.kindOf(w.Kind, now)
	if !p.always {
		p.mix.record(w.Priority, now)
	}
	if !w.LatestStart.IsZero() {
		w.latest = w.LatestStart.UnixNano()
	}
	if !w.Deadline.IsZero() {
		w.deadline = w.Deadline.UnixNano()
		w.left = w.deadline - now.UnixNano()
		w.kind.limit.record(w.left, now)
	}
	if w.Team != "" {
		w.team = p.teamOf(w.Team, now)
	}
}

func (p *overloadPolicy) kindOf(name string, now time.Time) *kindRecord {
	k := p.kinds.find(name, now, func(k *kindRecord) bool { return k.served.unused(now) })
	k.served.advance(now)
	return k
}

func (p *overloadPolicy) teamOf(name string, now time.Time) *teamRecord {
	t := p.teams.find(name, now, func(t *teamRecord) bool { return t.present == 0 && t.served.unused(now) })
	t.served.advance(now)
	return t
}

// enter counts a request that starts to wait or to run.
func (p *overloadPolicy) enter(t *teamRecord) {
	if p == nil || t == nil {
		return
	}
	p.presentRequests++
	if t.present++; t.present == 1 {
		p.presentTeams++
	}
}

// leave counts a request that no longer waits or runs.
func (p *overloadPolicy) leave(t *teamRecord) {
	if p == nil || t == nil {
		return
	}
	p.presentRequests--
	if t.present--; t.present == 0 {
		p.presentTeams--
	}
}

// record counts a final decision.
func (p *overloadPolicy) record(w *Waiter, served bool, now time.Time) {
	if p == nil {
		return
	}
	p.all.record(served, now)
	w.kind.served.record(served, now)
	if w.deadline != math.MaxInt64 && w.left < w.kind.limit.waitedBelow() {
		w.kind.returned.record(served, now)
	}
	if w.team != nil {
		w.team.served.record(served, now)
	}
}

// excess returns the number of a team's requests beyond an equal share. The share is
// rounded up, so that few requests of many teams are not counted as unequal.
func (p *overloadPolicy) excess(t *teamRecord) int {
	if t == nil || p.presentTeams == 0 {
		return 0
	}
	return max(0, t.present-(p.presentRequests+p.presentTeams-1)/p.presentTeams)
}

// leastWork returns the least time that the target needs for a request: the lower quantile
// of its kind, or the least known latency of all requests.
func (c *Core) leastWork(w *Waiter, now time.Time) time.Duration {
	if c.policy.acts() && w.kind.work.known(now) {
		return time.Duration(w.kind.work.low)
	}
	return c.limiter.MinLatency()
}

// isIdle reports whether nothing is in flight at a target that is not paused. No request is
// then refused for its measured work, so that old measurements can't refuse for ever.
func (c *Core) isIdle() bool { return c.reserve.InFlight() == 0 && !c.paused }

// enqueueOrDisplace queues a request, unless it is itself the one to refuse.
func (c *Core) enqueueOrDisplace(arrival *Waiter, now time.Time) Decision {
	if c.reserve.InFlight() > 0 && arrival.missesDeadline(now, c.leastWork(arrival, now)) {
		return c.turnAway(arrival, c.shortReason(arrival, now), now)
	}
	queue := c.queueFor(arrival.Class)
	w := *arrival
	w.ID = c.lastID + 1
	prune := c.prune
	c.push(queue, &w)
	i, reason, ok := c.findVictim(queue, now)
	switch {
	case !ok:
		c.prune = prune
	case queue.waiters[i].ID == w.ID:
		c.takeAt(queue, i)
		c.prune = prune
		return c.turnAway(arrival, reason, now)
	}
	return Decision{Verdict: Waiting, ID: w.ID, Cutoff: c.cutoff(&w, now)}
}

// takeVictim removes the next request to refuse.
func (c *Core) takeVictim(now time.Time) (w Waiter, reason string, ok bool) {
	for _, queue := range [...]*Queue{&c.urgent, &c.patient} {
		if next := queue.Peek(); next != nil && c.isLate(next, now) {
			reason = c.expiryReason(next, now)
			return c.takeAt(queue, queue.Len()-1), reason, true
		}
		if !c.prune {
			continue
		}
		if i, reason, ok := c.findVictim(queue, now); ok {
			return c.takeAt(queue, i), reason, true
		}
	}
	c.prune = false
	return Waiter{}, "", false
}

// isLate reports whether a request can't meet its times even if it is sent to the target
// now.
func (c *Core) isLate(w *Waiter, now time.Time) bool {
	least := time.Duration(0)
	if c.reserve.InFlight() > 0 {
		least = c.leastWork(w, now)
	}
	return w.startsLate(now, 0) || w.missesDeadline(now, least)
}

// expiryReason returns the reason to refuse a request that is late by itself.
func (c *Core) expiryReason(w *Waiter, now time.Time) string {
	if w.startsLate(now, 0) {
		return c.lateReason(&w.Ticket, now)
	}
	return c.shortReason(w, now)
}

// turnAway refuses a request that can't be served in time.
func (c *Core) turnAway(w *Waiter, reason string, now time.Time) Decision {
	if !c.policy.acts() {
		c.policy.record(w, false, now)
		return c.refuse(w.ID, c.refusal(reason, now))
	}
	// A request with too little time left is not refused in favour of others, so that it
	// does not count for the share of its kind.
	if reason != ReasonShort {
		c.policy.record(w, false, now)
	}
	earliest := c.drainTime(c.urgent.Len()+c.reserve.InFlight()+1, now)
	longest := w.longestReturn(c.leastWork(w, now), now)
	wait := c.policy.comebacks.giveOut(now, earliest, c.drainTime(1, now), longest)
	return c.refuse(w.ID, Refusal{Reason: reason, RetryAfter: wait})
}

// shortReason returns the reason to refuse a request that has too little time left for its
// work.
func (c *Core) shortReason(w *Waiter, now time.Time) string {
	if c.policy.acts() && w.kind.work.known(now) {
		return ReasonShort
	}
	return c.lateReason(&w.Ticket, now)
}
