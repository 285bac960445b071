package admission_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fulmarrun/admission"
)

// epoch is when every simulation starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is an action that is scheduled in a simulation.
type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) {
	last, _ := x.(event)
	*e = append(*e, last)
}

func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// sim is a discrete-event simulation in virtual time.
type sim struct {
	now    time.Time
	events events
	seq    int
	random *rand.Rand
}

func newSim(seed uint64) *sim {
	return &sim{now: epoch, random: rand.New(rand.NewPCG(seed, 1))}
}

func (s *sim) at(when time.Time, run func()) {
	s.seq++
	heap.Push(&s.events, event{when, s.seq, run})
}

func (s *sim) after(d time.Duration, run func()) { s.at(s.now.Add(d), run) }

// run executes events until none is left or the time limit is reached.
func (s *sim) run(limit time.Duration) {
	for s.events.Len() > 0 {
		e, _ := heap.Pop(&s.events).(event)
		if e.at.After(epoch.Add(limit)) {
			return
		}
		if e.at.After(s.now) {
			s.now = e.at
		}
		e.run()
	}
}

func (s *sim) elapsed() time.Duration { return s.now.Sub(epoch) }

// exponential returns a random duration with an exponential distribution.
func (s *sim) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

// arrivals calls submit at random times at the given rate per second.
func (s *sim) arrivals(rate float64, until time.Duration, submit func()) {
	var next func()
	next = func() {
		if s.elapsed() < until {
			submit()
			s.after(s.exponential(time.Duration(float64(time.Second)/rate)), next)
		}
	}
	s.after(s.exponential(time.Duration(float64(time.Second)/rate)), next)
}

// targetModel simulates a target with a limited concurrency that it does not report.
// Its requests share it: in overload all of them slow down by the overload to the power
// of overloadExponent.
type targetModel struct {
	sim *sim
	// capacity returns the number of concurrent requests that run at full speed.
	capacity func() float64
	// sheds is true if the target rejects what exceeds its capacity.
	sheds            bool
	overloadExponent float64
	// slowdown, if set, returns the factor by which all requests take longer.
	slowdown func() float64
	// progress is the work done on a request that has been in flight from the
	// beginning.
	progress   time.Duration
	advancedAt time.Time
	work       tasks
	scheduleID int
	inFlight   int
	// collapseFactor, if set, is the multiple of its capacity at which the target fails
	// all its requests; onCollapse is then called.
	collapseFactor float64
	onCollapse     func()
}

// task is a request at a targetModel: it ends when the progress reaches until.
type task struct {
	until time.Duration
	began time.Time
	end   func(admission.Completion)
}

type tasks []task

func (t tasks) Len() int { return len(t) }

func (t tasks) Less(i, j int) bool { return t[i].until < t[j].until }

func (t tasks) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *tasks) Push(x any) {
	last, _ := x.(task)
	*t = append(*t, last)
}

func (t *tasks) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}

// begin starts a request and calls end when it has ended.
func (m *targetModel) begin(service time.Duration, end func(admission.Completion)) {
	m.advance()
	m.inFlight++
	if m.sheds && float64(m.inFlight) > m.capacity() {
		m.sim.after(time.Millisecond, func() {
			m.inFlight--
			end(admission.Completion{Latency: time.Millisecond, Result: admission.Shed})
		})
		return
	}
	heap.Push(&m.work, task{m.progress + service, m.sim.now, end})
	m.schedule()
}

// fail ends all requests with a failure.
func (m *targetModel) fail() {
	m.onCollapse()
	failed := m.work
	m.work = nil
	m.sim.after(1, func() {
		for _, t := range failed {
			m.inFlight--
			t.end(admission.Completion{Latency: m.sim.now.Sub(t.began), Result: admission.Failed})
		}
	})
}

// rate returns the progress per unit of time.
func (m *targetModel) rate() float64 {
	rate := 1.0
	if excess := float64(len(m.work)) / m.capacity(); excess > 1 {
		rate = math.Pow(excess, -m.overloadExponent)
	}
	if m.slowdown != nil {
		rate /= m.slowdown()
	}
	return rate
}

func (m *targetModel) advance() {
	if !m.advancedAt.IsZero() {
		m.progress += time.Duration(float64(m.sim.now.Sub(m.advancedAt)) * m.rate())
	}
	m.advancedAt = m.sim.now
}

// schedule schedules the end of the next request. It runs again after a short time at
// the latest, since the rate may change.
func (m *targetModel) schedule() {
	m.scheduleID++
	if m.collapseFactor > 0 && float64(len(m.work)) > m.collapseFactor*m.capacity() {
		m.fail()
	}
	if len(m.work) == 0 {
		return
	}
	scheduleID := m.scheduleID
	due := time.Duration(float64(m.work[0].until-m.progress) / m.rate())
	m.sim.after(min(due, 10*time.Millisecond)+1, func() {
		if scheduleID != m.scheduleID {
			return
		}
		m.advance()
		var ended []task
		for len(m.work) > 0 && m.work[0].until <= m.progress {
			last, _ := heap.Pop(&m.work).(task)
			ended = append(ended, last)
			m.inFlight--
		}
		m.schedule()
		for _, t := range ended {
			t.end(admission.Completion{Latency: m.sim.now.Sub(t.began)})
		}
	})
}

// job is one request in a simulation.
type job struct {
	ticket      admission.Ticket
	service     time.Duration
	submittedAt time.Time
	// run, if set, replaces the target: it calls end when the request has ended.
	run func(end func(admission.Completion))
	// id is the ID of the request while it waits, and end ends it at the target.
	id  uint64
	end func(admission.Completion)
	// onFinal is called once with the decision or, if the request was admitted, with
	// its completion.
	onFinal func(d admission.Decision, c admission.Completion)
}

// station is a Core with its target.
type station struct {
	sim     *sim
	core    *admission.Core
	target  *targetModel
	waiting map[uint64]*job
	// onAdmitted, if set, is called after each admission; onEnded is called before the
	// core receives a completion.
	onAdmitted func(j *job, d admission.Decision)
	onEnded    func(d admission.Decision, c admission.Completion)
}

func newStation(s *sim, target *targetModel, opts ...admission.Option) *station {
	return &station{sim: s, core: admission.NewCore(opts...), target: target, waiting: map[uint64]*job{}}
}

func (st *station) submit(j *job) {
	j.submittedAt = st.sim.now
	d := st.core.Enter(j.ticket, st.sim.now)
	if d.Verdict != admission.Waiting {
		st.decide(j, d)
		return
	}
	st.waiting[d.ID], j.id = j, d.ID
	st.scheduleExpiry(d)
	st.drain()
}

// scheduleExpiry has the core decide on a waiting request at its cutoff.
func (st *station) scheduleExpiry(d admission.Decision) {
	if d.Cutoff.IsZero() {
		return
	}
	st.sim.at(d.Cutoff, func() {
		next, ok := st.core.Expire(d.ID, st.sim.now)
		if !ok {
			return
		}
		if next.Verdict == admission.Waiting {
			st.scheduleExpiry(next)
			return
		}
		st.resolve(next)
		st.drain()
	})
}

func (st *station) drain() {
	for {
		d, ok := st.core.Next(st.sim.now)
		if !ok {
			return
		}
		st.resolve(d)
	}
}

func (st *station) resolve(d admission.Decision) {
	j := st.waiting[d.ID]
	delete(st.waiting, d.ID)
	st.decide(j, d)
}

func (st *station) decide(j *job, d admission.Decision) {
	if d.Verdict == admission.Refused {
		if j.onFinal != nil {
			j.onFinal(d, admission.Completion{})
		}
		return
	}
	if st.onAdmitted != nil {
		st.onAdmitted(j, d)
	}
	ended := false
	j.end = func(c admission.Completion) {
		if ended {
			return
		}
		ended = true
		if st.onEnded != nil {
			st.onEnded(d, c)
		}
		st.core.Done(d.Slot, c, st.sim.now)
		st.drain()
		if j.onFinal != nil {
			j.onFinal(d, c)
		}
	}
	if j.run != nil {
		j.run(j.end)
		return
	}
	st.target.begin(j.service, j.end)
}

// cancel withdraws a request. A target that has received it continues to work on it.
func (st *station) cancel(j *job) {
	done := admission.Completion{Latency: st.sim.now.Sub(j.submittedAt), Result: admission.Cancelled}
	switch {
	case st.waiting[j.id] == j:
		delete(st.waiting, j.id)
		st.core.Withdraw(j.id)
		j.onFinal(admission.Decision{Verdict: admission.Admitted}, done)
		st.drain()
	case j.end != nil:
		j.end(done)
	}
}

// percentile returns the q-quantile in milliseconds.
func percentile(latencies []time.Duration, q float64) float64 {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	i := min(int(q*float64(len(latencies))), len(latencies)-1)
	return float64(latencies[i]) / float64(time.Millisecond)
}
