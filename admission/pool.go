package admission

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fulmarrun/wire"
)

const (
	// defaultEjectShare is the maximum fraction of a pool that is ejected at once.
	defaultEjectShare = 0.34
	// peakDecayTime is the time in which the excess of a latency peak over the mean
	// decays to 1/e.
	peakDecayTime = 2 * time.Second
	// latencyTTL is how long the measured latency of a target is used after its last
	// response.
	latencyTTL = 10 * time.Second
	// maxShedLatency is the maximum latency that is assumed for shed responses.
	maxShedLatency = time.Second
	// assumedLatency is the assumed latency of a target without responses while no
	// other target has any either.
	assumedLatency = time.Millisecond
	// stragglerFactor is the multiple of the median latency of the others above which a
	// target is a straggler.
	stragglerFactor = 3.0
	// stragglerFailures is the number of successive failures that eject a target.
	stragglerFailures = 5
	// minAnswersToEject is the minimum number of responses before a target can be
	// ejected for its latency.
	minAnswersToEject = 5
	// firstEjectTime is the duration of the first ejection of a target; each further
	// ejection lasts twice as long.
	firstEjectTime = time.Second
	// maxEjectTime is the maximum duration of an ejection.
	maxEjectTime = 30 * time.Second
	// rampTime is the duration of the slow start of a target that is new or reinstated.
	rampTime = 5 * time.Second
	// localCostFactor is the multiple of the cost of another member up to which a local
	// member is preferred.
	localCostFactor = 1.5
	// minRampWeight is the fraction of its weight that a target has at the beginning of
	// its slow start.
	minRampWeight = 0.1
)

// WithRoundRobin is a functional option that makes a Pool choose its members in turn,
// regardless of their latency.
func WithRoundRobin() Option {
	return func(s *settings) { s.roundRobin = true }
}

// WithMaxEjectShare is a functional option that sets the maximum fraction of a pool
// that is ejected at once; zero disables ejection.
func WithMaxEjectShare(share float64) Option {
	return func(s *settings) { s.ejectShare = share }
}

// member is the state of one target in a Pool.
type member struct {
	generation wire.Generation
	// local is true if the target is in the daemon's own failure domain.
	local    bool
	inFlight int
	// peak is the highest recent latency, decaying towards mean, which is the moving
	// average, both in nanoseconds.
	peak float64
	mean float64
	// answers counts the responses since the target was last reinstated, and failures
	// those that failed in a row.
	answers  int
	failures int
	// lastProgress is when the target last answered, or received a request while it had
	// none in flight.
	lastProgress time.Time
	measuredAt   time.Time
	// rampFrom is when the target joined or was reinstated; zero for one that was in
	// the pool from the beginning.
	rampFrom     time.Time
	ejectedUntil time.Time
	ejections    int
}

// Pool chooses among the targets of an unkeyed service: of two random members, the one
// with the lower product of peak latency and work in flight. It ejects stragglers for a
// time. It uses only its own measurements, and is not safe for concurrent use.
type Pool struct {
	members    []member
	roundRobin bool
	// lastIndex is the index of the last member that round robin chose.
	lastIndex  int
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

// SetMembers replaces the members. Members that stay keep their state; new ones start
// slowly unless the pool was empty.
func (p *Pool) SetMembers(generations []wire.Generation, now time.Time) {
	members := make([]member, 0, len(generations))
	for _, generation := range generations {
		if m := p.find(generation); m != nil {
			members = append(members, *m)
			continue
		}
		m := member{generation: generation, lastProgress: now}
		if len(p.members) > 0 {
			m.rampFrom = now
		}
		members = append(members, m)
	}
	p.members = members
}

// Pick chooses a member that is not excluded; false if there is none. An ejected member
// is chosen only if no other is left.
func (p *Pool) Pick(now time.Time, exclude ...wire.Generation) (wire.Generation, bool) {
	if p.roundRobin {
		return p.pickRoundRobin(exclude)
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
	if local := p.draw(func(m *member) bool { return m.local && usable(m) }, nil); local != nil {
		if p.cost(local, now) <= localCostFactor*p.cost(first, now) {
			return local.generation, true
		}
	}
	if second := p.draw(usable, first); second != nil && p.cost(second, now) < p.cost(first, now) {
		return second.generation, true
	}
	return first.generation, true
}

// MarkLocal sets which members are in the daemon's own failure domain. Pick prefers
// one of them unless it costs clearly more than another random member.
func (p *Pool) MarkLocal(local func(wire.Generation) bool) {
	for i := range p.members {
		p.members[i].local = local(p.members[i].generation)
	}
}

// pickRoundRobin chooses the next member that is not excluded.
func (p *Pool) pickRoundRobin(exclude []wire.Generation) (wire.Generation, bool) {
	for range p.members {
		p.lastIndex = (p.lastIndex + 1) % len(p.members)
		if m := &p.members[p.lastIndex]; !slices.Contains(exclude, m.generation) {
			return m.generation, true
		}
	}
	return 0, false
}

// draw returns a random usable member other than except, each with the same
// probability; nil if there is none.
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

// Start records that a request is sent to a member.
func (p *Pool) Start(generation wire.Generation, now time.Time) {
	m := p.find(generation)
	if m == nil {
		return
	}
	if m.inFlight == 0 {
		m.lastProgress = now
	}
	m.inFlight++
}

// Done records how a request to a member ended.
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
	p.ejectIfStraggling(m, now)
}

// Ejected returns the number of ejected members.
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

// cost returns the cost of choosing a member: lower is better. A member that has not
// answered since it was reinstated costs at least its cost measured before.
func (p *Pool) cost(m *member, now time.Time) float64 {
	cost := m.latency(now)
	if m.answers == 0 || cost == 0 {
		cost = max(cost, p.typicalLatency()/m.rampWeight(now))
	} else {
		cost /= m.rampWeight(now)
	}
	return cost * float64(m.inFlight+1)
}

// typicalLatency returns the median latency of the members.
func (p *Pool) typicalLatency() float64 {
	if median := p.median(nil); median > 0 {
		return median
	}
	return float64(assumedLatency)
}

// median returns the median of the mean latencies of all members except one; zero if
// none is known.
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

// ejectIfStraggling ejects a straggler, unless too many members are ejected already.
func (p *Pool) ejectIfStraggling(m *member, now time.Time) {
	if !p.straggles(m) {
		return
	}
	if float64(p.Ejected(now)+1) > p.ejectShare*float64(len(p.members)) {
		return
	}
	m.eject(now)
}

// straggles reports whether a member fails repeatedly or is far slower than the others.
func (p *Pool) straggles(m *member) bool {
	if m.failures >= stragglerFailures {
		return true
	}
	median := p.median(m)
	return m.answers >= minAnswersToEject && median > 0 && m.mean > stragglerFactor*median
}

func (m *member) ejected(now time.Time) bool {
	return now.Before(m.ejectedUntil)
}

// eject ejects the member for twice as long as the last time. Afterwards it starts
// slowly and is evaluated by new responses alone. Until the first of them its cost is
// the one measured before.
func (m *member) eject(now time.Time) {
	m.ejections++
	out := min(firstEjectTime<<min(m.ejections-1, 10), maxEjectTime)
	m.ejectedUntil = now.Add(out)
	m.rampFrom = m.ejectedUntil
	m.answers, m.failures = 0, 0
}

// observe records how a request ended.
func (m *member) observe(c Completion, now time.Time) {
	m.lastProgress = now
	switch c.Result {
	case Failed:
		m.failures++
	case Shed:
		m.penalize(now)
	case OK:
		m.failures = 0
		m.recordLatency(float64(c.Latency), now)
	case Cancelled:
		// A complete response would have taken even longer.
		if latency := float64(c.Latency); latency > m.mean {
			m.recordLatency(latency, now)
		}
	}
	if m.ejections > 0 && m.answers > minAnswersToEject && now.Sub(m.rampFrom) > maxEjectTime {
		m.ejections = 0
	}
}

// recordLatency updates the peak and mean latency.
func (m *member) recordLatency(latency float64, now time.Time) {
	if m.answers == 0 {
		m.mean, m.peak = latency, latency
	}
	m.peak = max(m.decayedPeak(now), latency)
	m.mean += (latency - m.mean) / 8
	m.measuredAt = now
	m.answers++
}

// penalize raises the assumed latency of a target that sheds requests, because its fast
// rejections would make it look idle.
func (m *member) penalize(now time.Time) {
	m.peak = min(2*max(m.decayedPeak(now), m.mean), float64(maxShedLatency))
	m.measuredAt = now
}

// decayedPeak returns the peak latency, which decays to the mean over time.
func (m *member) decayedPeak(now time.Time) float64 {
	keep := math.Exp(-float64(now.Sub(m.measuredAt)) / float64(peakDecayTime))
	return m.mean + (m.peak-m.mean)*keep
}

// latency returns the peak latency, or the time without a response while the member has
// requests in flight if that is longer; zero if nothing is known.
func (m *member) latency(now time.Time) float64 {
	latency := 0.0
	if now.Sub(m.measuredAt) <= latencyTTL {
		latency = m.decayedPeak(now)
	}
	if m.inFlight > 0 {
		latency = max(latency, float64(now.Sub(m.lastProgress)))
	}
	return latency
}

// rampWeight returns the weight of a member that is new or reinstated, which rises from
// minRampWeight to 1.
func (m *member) rampWeight(now time.Time) float64 {
	if m.rampFrom.IsZero() {
		return 1
	}
	share := float64(now.Sub(m.rampFrom)) / float64(rampTime)
	return min(max(share, minRampWeight), 1)
}
