package admission

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fulmarrun/wire"
)

const (
	// defaultEjectShare is the greatest part of a pool that is ejected.
	defaultEjectShare = 0.34
	// peakDecay is the time in which a peak of latency falls to 1/e.
	peakDecay = 2 * time.Second
	// forgetTime is how long a target is judged by its last answer.
	forgetTime = 10 * time.Second
	// shedCost is the longest latency that shed answers stand for.
	shedCost = time.Second
	// newcomerLatency is assumed of a target that has answered nothing while
	// no other has either.
	newcomerLatency = time.Millisecond
	// stragglerFactor is how many times the median latency of the others makes
	// a straggler.
	stragglerFactor = 3.0
	// stragglerFailures is the number of failures in a row that eject a target.
	stragglerFailures = 5
	// ejectMin is the number of answers without which a target isn't judged.
	ejectMin = 5
	// ejectTime is how long a target is ejected for the first time; each
	// further time doubles it.
	ejectTime = time.Second
	// ejectMax is the longest ejection.
	ejectMax = 30 * time.Second
	// rampTime is how long a target that is new or returns is spared.
	rampTime = 5 * time.Second
	// nearFactor is how many times the cost of another member a near one may have and
	// still be chosen.
	nearFactor = 1.5
	// rampFloor is the share of its weight that a target has at first.
	rampFloor = 0.1
)

// WithRoundRobin is a functional option that has a Pool take its members in
// turn, whatever their latency.
func WithRoundRobin() Option {
	return func(s *settings) { s.roundRobin = true }
}

// WithMaxEjectShare is a functional option that sets the greatest part of a pool
// that is ejected at once; zero ejects none.
func WithMaxEjectShare(share float64) Option {
	return func(s *settings) { s.ejectShare = share }
}

// member is what a Pool knows of one target.
type member struct {
	generation wire.Generation
	// near is true if requests to it stay in the own failure domain.
	near     bool
	inFlight int
	// peak is the greatest recent latency, decaying towards newer ones, and
	// mean their moving average, both in nanoseconds.
	peak float64
	mean float64
	// answers counts the answers since the target was last let in.
	answers  int
	failures int
	// progressAt is when the target last answered, or began to have work.
	progressAt time.Time
	measuredAt time.Time
	// letInAt is when the target joined or was let in again; zero for one that
	// was there from the beginning.
	letInAt      time.Time
	ejectedUntil time.Time
	ejections    int
}

// Pool chooses among the targets of an unkeyed service: of two that it draws at
// random, the one with the lower product of peak latency and work in flight. It
// ejects stragglers for a time. It uses only what it measures itself, and is
// not safe for concurrent use.
type Pool struct {
	members    []member
	roundRobin bool
	turn       int
	ejectShare float64
	random     *rand.Rand
	// medians is scratch space.
	medians []float64
}

// NewPool returns a Pool without members.
func NewPool(opts ...Option) *Pool {
	s := newSettings(opts)
	return &Pool{
		roundRobin: s.roundRobin,
		ejectShare: s.ejectShare,
		random:     rand.New(rand.NewPCG(s.seed, s.seed)),
	}
}

// SetMembers replaces the members. What is known of those that stay is kept; others
// that join a pool which is not empty start slowly.
func (p *Pool) SetMembers(generations []wire.Generation, now time.Time) {
	members := make([]member, 0, len(generations))
	for _, generation := range generations {
		if m := p.find(generation); m != nil {
			members = append(members, *m)
			continue
		}
		m := member{generation: generation, progressAt: now}
		if len(p.members) > 0 {
			m.letInAt = now
		}
		members = append(members, m)
	}
	p.members = members
}

// Pick chooses a member that is not excluded; false if there is none. An
// ejected one is chosen only if no other is left.
func (p *Pool) Pick(now time.Time, exclude ...wire.Generation) (wire.Generation, bool) {
	if p.roundRobin {
		return p.pickInTurn(exclude)
	}
	usable := func(m *member) bool {
		return !m.ejected(now) && !slices.Contains(exclude, m.generation)
	}
	first := p.draw(usable, nil)
	if first == nil {
		first = p.draw(func(m *member) bool { return !slices.Contains(exclude, m.generation) }, nil)
	}
	if first == nil {
		return 0, false
	}
	if near := p.draw(func(m *member) bool { return m.near && usable(m) }, nil); near != nil {
		if p.cost(near, now) <= nearFactor*p.cost(first, now) {
			return near.generation, true
		}
	}
	if second := p.draw(usable, first); second != nil && p.cost(second, now) < p.cost(first, now) {
		return second.generation, true
	}
	return first.generation, true
}

// MarkLocal states which members are in the own failure domain. One of them is chosen
// unless it costs clearly more than another that is drawn.
func (p *Pool) MarkLocal(near func(wire.Generation) bool) {
	for i := range p.members {
		p.members[i].near = near(p.members[i].generation)
	}
}

func (p *Pool) pickInTurn(exclude []wire.Generation) (wire.Generation, bool) {
	for range p.members {
		p.turn = (p.turn + 1) % len(p.members)
		if m := &p.members[p.turn]; !slices.Contains(exclude, m.generation) {
			return m.generation, true
		}
	}
	return 0, false
}

// draw returns one of the usable members but the excepted one, each with the
// same chance; nil if there is none.
func (p *Pool) draw(usable func(*member) bool, except *member) *member {
	var drawn *member
	seen := 0
	for i := range p.members {
		m := &p.members[i]
		if m == except || !usable(m) {
			continue
		}
		seen++
		if p.random.IntN(seen) == 0 {
			drawn = m
		}
	}
	return drawn
}

// Start notes that a request goes to a member.
func (p *Pool) Start(generation wire.Generation, now time.Time) {
	m := p.find(generation)
	if m == nil {
		return
	}
	if m.inFlight == 0 {
		m.progressAt = now
	}
	m.inFlight++
}

// Done notes how a request to a member ended.
func (p *Pool) Done(generation wire.Generation, c Completion, now time.Time) {
	m := p.find(generation)
	if m == nil {
		return
	}
	m.inFlight = max(m.inFlight-1, 0)
	if m.ejected(now) {
		return
	}
	m.observe(c, now)
	p.judge(m, now)
}

// Ejected returns the number of members that are ejected.
func (p *Pool) Ejected(now time.Time) int {
	count := 0
	for i := range p.members {
		if p.members[i].ejected(now) {
			count++
		}
	}
	return count
}

func (p *Pool) find(generation wire.Generation) *member {
	for i := range p.members {
		if p.members[i].generation == generation {
			return &p.members[i]
		}
	}
	return nil
}

// cost weighs a member: less is better. One that has not answered since it was
// let in costs no less than what was measured before.
func (p *Pool) cost(m *member, now time.Time) float64 {
	cost := m.latency(now)
	if m.answers == 0 || cost == 0 {
		cost = max(cost, p.typical()/m.ramp(now))
	} else {
		cost /= m.ramp(now)
	}
	return cost * float64(m.inFlight+1)
}

// typical returns the median latency of the members.
func (p *Pool) typical() float64 {
	if median := p.median(nil); median > 0 {
		return median
	}
	return float64(newcomerLatency)
}

// median returns the median of the mean latencies of all members but one; zero
// if none is known.
func (p *Pool) median(except *member) float64 {
	p.medians = p.medians[:0]
	for i := range p.members {
		if m := &p.members[i]; m != except && m.mean > 0 {
			p.medians = append(p.medians, m.mean)
		}
	}
	if len(p.medians) == 0 {
		return 0
	}
	slices.Sort(p.medians)
	return p.medians[(len(p.medians)-1)/2]
}

// judge ejects a member that straggles, unless too many are ejected already.
func (p *Pool) judge(m *member, now time.Time) {
	if !p.straggles(m) {
		return
	}
	if float64(p.Ejected(now)+1) > p.ejectShare*float64(len(p.members)) {
		return
	}
	m.eject(now)
}

func (p *Pool) straggles(m *member) bool {
	if m.failures >= stragglerFailures {
		return true
	}
	median := p.median(m)
	return m.answers >= ejectMin && median > 0 && m.mean > stragglerFactor*median
}

func (m *member) ejected(now time.Time) bool {
	return now.Before(m.ejectedUntil)
}

// eject keeps the member out for twice as long as the last time. It returns on
// probation: it starts slowly and is judged by new answers alone. Until the first
// of them it costs what it did.
func (m *member) eject(now time.Time) {
	m.ejections++
	out := min(ejectTime<<min(m.ejections-1, 10), ejectMax)
	m.ejectedUntil = now.Add(out)
	m.letInAt = m.ejectedUntil
	m.answers, m.failures = 0, 0
}

// observe takes in how a request ended.
func (m *member) observe(c Completion, now time.Time) {
	m.progressAt = now
	switch c.Result {
	case Failed:
		m.failures++
	case Shed:
		m.avoid(now)
	case OK:
		m.failures = 0
		m.measure(float64(c.Latency), now)
	case Cancelled:
		// The answer would have taken longer still.
		if latency := float64(c.Latency); latency > m.mean {
			m.measure(latency, now)
		}
	}
	if m.ejections > 0 && m.answers > ejectMin && now.Sub(m.letInAt) > ejectMax {
		m.ejections = 0
	}
}

func (m *member) measure(latency float64, now time.Time) {
	if m.answers == 0 {
		m.mean, m.peak = latency, latency
	}
	m.peak = max(m.decayed(now), latency)
	m.mean += (latency - m.mean) / 8
	m.measuredAt = now
	m.answers++
}

// avoid makes a target that sheds look slower, since its quick refusals would
// make it look free.
func (m *member) avoid(now time.Time) {
	m.peak = min(2*max(m.decayed(now), m.mean), float64(shedCost))
	m.measuredAt = now
}

// decayed returns the peak latency, which falls to the mean with time.
func (m *member) decayed(now time.Time) float64 {
	keep := math.Exp(-float64(now.Sub(m.measuredAt)) / float64(peakDecay))
	return m.mean + (m.peak-m.mean)*keep
}

// latency returns the peak latency, or how long the member has been silent
// while it has work, if that is longer; zero if nothing is known.
func (m *member) latency(now time.Time) float64 {
	latency := 0.0
	if now.Sub(m.measuredAt) <= forgetTime {
		latency = m.decayed(now)
	}
	if m.inFlight > 0 {
		latency = max(latency, float64(now.Sub(m.progressAt)))
	}
	return latency
}

// ramp returns the weight of a member that is new or was let in again, rising
// from rampFloor to 1.
func (m *member) ramp(now time.Time) float64 {
	if m.letInAt.IsZero() {
		return 1
	}
	share := float64(now.Sub(m.letInAt)) / float64(rampTime)
	return min(max(share, rampFloor), 1)
}
