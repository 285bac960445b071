package admission

import (
	"math"
	"time"
)

const (
	// A request needs more work than another only if the means of their kinds differ by
	// this factor: the mean of 64 latencies varies by about an eighth, and kinds of the
	// same work should not be refused by chance.
	moreWorkNumerator, moreWorkDenominator = 3, 2
	// returnMargin is how many times the expected wait and work a request must have left
	// to be able to come back.
	returnMargin = 3
	// Requests that have come back are preferred over new ones while less than this
	// fraction of those of their kind is served. Without an end to the preference, all new
	// requests are refused once those that come back fill the target.
	returnedNumerator, returnedDenominator = 2, 3
)

// A rank orders waiting requests by what their refusal costs callers: of two requests, that
// of the higher rank is refused first. From the highest bit on it consists of: not protected,
// priority, requests of the team beyond its share, time to come back. One number is compared
// much faster than a struct in a walk through hundreds of requests.
const (
	rankCanReturn   = 1
	rankExcessShift = 8
	rankMaxExcess   = 1<<16 - 1
	rankPriority    = 32
	rankUnprotected = 1 << 40
)

// needsMoreWork reports whether a request with work a needs clearly more than one with b.
func needsMoreWork(a, b int64) bool {
	return a*moreWorkDenominator > b*moreWorkNumerator
}

// kindView is what one walk through a queue needs to know of a kind. It is calculated once
// for each walk, since many requests share a kind. Durations are in nanoseconds.
type kindView struct {
	walk      uint64
	protected bool
	// known is true if the work of the kind has been measured.
	known bool
	// work is the expected and least the least work of a request, and step the time after
	// which the next one can start.
	work, least, step int64
	// A request can come back if it has more than returnTime left and had waitedBelow
	// left on arrival.
	returnTime, waitedBelow int64
}

// teamView is what one walk through a queue needs to know of a team.
type teamView struct {
	walk      uint64
	protected bool
	excess    uint64
}

// walk is one walk through a queue in the order of service.
type walk struct {
	policy *overloadPolicy
	now    time.Time
	at     int64
	// wait is the expected wait of a request that comes back.
	wait int64
	// defaultWork is the work of a request whose kind is not known, and minLatency the
	// least known latency; zero if nothing is in flight.
	defaultWork, minLatency int64
	// perWork is the time in which the target completes one nanosecond of work, and
	// interval the least time between two admissions.
	perWork  float64
	interval int64
	// busy is true if anything is in flight. idle is true if nothing is and requests are
	// admitted, so that measurements must not refuse any.
	busy, idle bool

	// victim is the request to refuse, of those seen so far.
	victim       *Waiter
	rankOfVictim uint64
	workOfVictim int64
}

// newWalk returns a walk with the present load.
func (c *Core) newWalk(now time.Time) walk {
	c.policy.walk++
	c.policy.all.advance(now)
	l := walk{policy: c.policy, now: now, at: now.UnixNano(), defaultWork: int64(c.latency)}
	l.wait = int64(c.drainTime(c.urgent.Len()+c.reserve.InFlight()+1, now))
	l.busy, l.idle = c.reserve.InFlight() > 0, c.isIdle()
	if l.busy {
		l.minLatency = int64(c.limiter.MinLatency())
	}
	if c.paused {
		return l
	}
	l.interval = int64(max(c.cold.DrainTime(1, now), c.stated.DrainTime(1, now)))
	l.perWork = 1 / float64(c.parallel(c.Limit(now)))
	if stalled := float64(now.Sub(c.lastProgress)); l.busy && stalled > c.latency {
		if c.latency == 0 {
			l.defaultWork = int64(stalled)
		} else {
			l.perWork *= stalled / c.latency
		}
	}
	return l
}

// viewKind returns the view of a kind in this walk.
func (l *walk) viewKind(k *kindRecord) *kindView {
	v := &k.view
	if v.walk == l.policy.walk {
		return v
	}
	k.served.advance(l.now)
	k.returned.advance(l.now)
	*v = kindView{
		walk: l.policy.walk, protected: k.served.starves(&l.policy.all), known: k.work.known(l.now),
		work: l.defaultWork, least: l.minLatency,
	}
	if v.known {
		v.work = k.work.mean
		if !l.idle {
			v.least = k.work.low
		}
	}
	v.step = max(int64(l.perWork*float64(v.work)), l.interval)
	v.returnTime = returnMargin * (l.wait + v.work)
	returned := k.returned.total
	if returned.decided == 0 || returnedDenominator*returned.served < returnedNumerator*returned.decided {
		v.waitedBelow = k.limit.waitedBelow()
	}
	return v
}

// viewTeam returns the view of a team in this walk.
func (l *walk) viewTeam(t *teamRecord) *teamView {
	if t.view.walk != l.policy.walk {
		t.served.advance(l.now)
		excess := uint64(min(l.policy.excess(t), rankMaxExcess))
		t.view = teamView{walk: l.policy.walk, protected: t.served.starves(&l.policy.all), excess: excess}
	}
	return &t.view
}

// rank returns the rank of a waiting request of this kind.
func (l *walk) rank(w *Waiter, kind *kindView) uint64 {
	rank := uint64(w.Priority) << rankPriority
	protected := kind.protected
	if w.team != nil {
		team := l.viewTeam(w.team)
		protected = protected || team.protected
		rank |= team.excess << rankExcessShift
	}
	if !protected {
		rank |= rankUnprotected
	}
	if w.deadline-l.at > kind.returnTime && w.left >= kind.waitedBelow {
		rank |= rankCanReturn
	}
	return rank
}

// replaces reports whether a request is refused rather than the victim so far. Of two that
// are alike it is the later one in the order of service, which is the newer one among those
// with the same latency goal. The newest of all would mostly have a short goal, since such
// requests go before older ones with a long goal.
func (l *walk) replaces(rank uint64, work int64) bool {
	if rank != l.rankOfVictim {
		return rank > l.rankOfVictim
	}
	return !needsMoreWork(l.workOfVictim, work)
}

// findVictim returns the index of the request to refuse if a request in the queue would be
// late, or if the queue is over its size. It is chosen among those up to and including the
// first late one, since the refusal of a later one does not help (Moore-Hodgson rule).
func (c *Core) findVictim(queue *Queue, now time.Time) (index int, reason string, ok bool) {
	l := c.newWalk(now)
	overfull := queue.Len() > c.options.queue
	mostUrgent := uint8(math.MaxUint8)
	start, late := l.at, false
	for i := queue.Len() - 1; i >= 0 && !late; i-- {
		w := &queue.waiters[i]
		kind := l.viewKind(w.kind)
		if kind.known && l.busy && l.at > w.deadline-kind.least {
			return i, ReasonShort, true
		}
		if rank := l.rank(w, kind); l.victim == nil || l.replaces(rank, kind.work) {
			l.victim, l.rankOfVictim, l.workOfVictim, index = w, rank, kind.work, i
		}
		mostUrgent = min(mostUrgent, w.Priority)
		start += kind.step
		late = !overfull && (start > w.latest || start > w.deadline-kind.least)
	}
	switch {
	case !late && !overfull:
		return 0, "", false
	case l.victim.Priority > mostUrgent:
		reason = ReasonPriority
	case l.rankOfVictim>>rankExcessShift&rankMaxExcess > 0:
		reason = ReasonShare
	case overfull:
		reason = ReasonFull
	default:
		reason = c.lateReason(&l.victim.Ticket, now)
	}
	return index, reason, true
}
