package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fulmarrun/admission"
)

// holds checks a property on random seeds.
func holds(t *testing.T, runs int, oracle func(seed uint64) error) {
	t.Helper()
	if err := refute(runs, oracle); err != nil {
		t.Error(err)
	}
}

// caught checks that a property fails for a mutated version.
func caught(t *testing.T, runs int, oracle func(seed uint64) error) {
	t.Helper()
	err := refute(runs, oracle)
	if err == nil {
		t.Error("the oracle did not notice the mutation")
		return
	}
	t.Log("caught:", err)
}

// refute returns the first failure of a property on random seeds.
func refute(runs int, oracle func(seed uint64) error) error {
	params := gopter.DefaultTestParametersWithSeed(1)
	params.MinSuccessfulTests = runs
	var failure error
	property := prop.ForAll(func(seed uint64) bool {
		err := oracle(seed)
		if err != nil && failure == nil {
			failure = fmt.Errorf("seed %d: %w", seed, err)
		}
		return err == nil
	}, gen.UInt64())
	if result := property.Check(params); !result.Passed() && failure == nil {
		return fmt.Errorf("property: %v %w", result.Status, result.Error)
	}
	return failure
}

// evidence is the oracle for "no more work than it can bear". It knows what the
// target has borne: m in flight are borne once 8 requests that began with at
// least m in flight were answered since the last shed answer that counted.
type evidence struct {
	start   int
	atStart map[admission.Slot]int
	cut     int
	began   map[admission.Slot]int
	count   int
	answers [200]int
}

func newEvidence(start int) *evidence {
	return &evidence{start: start, atStart: map[admission.Slot]int{}, began: map[admission.Slot]int{}}
}

// allowed returns the greatest number that may be in flight.
func (e *evidence) allowed() int {
	total := 0
	for m := len(e.answers) - 1; m > 0; m-- {
		if total += e.answers[m]; total >= 8 {
			return max(e.start, m+admission.Step(m))
		}
	}
	return e.start
}

func (e *evidence) admit(d admission.Decision, inFlight int) error {
	e.count++
	e.atStart[d.Slot], e.began[d.Slot] = inFlight, e.count
	if allowed := e.allowed(); inFlight > allowed {
		return fmt.Errorf("%d in flight, borne at most with a step: %d", inFlight, allowed)
	}
	return nil
}

// end takes in an answer. A shed one of a request that began after the last
// that counted halves what is allowed.
func (e *evidence) end(d admission.Decision, c admission.Completion) {
	inFlight, began := e.atStart[d.Slot], e.began[d.Slot]
	if began <= e.cut {
		return
	}
	switch c.Result {
	case admission.Shed:
		e.start = max(1, e.allowed()/2)
		e.cut = e.count
		e.answers = [200]int{}
	case admission.OK:
		e.answers[inFlight]++
	default:
	}
}

// coldTarget runs a target that bears one more request with each bit of time,
// turns cold at random without a word, and sheds what it can't bear. There is
// always more work than it bears. Until it first turns cold, no more than one
// step beyond what it bears may be in flight.
func coldTarget(seed uint64, opts ...admission.Option) error {
	s := newSim(seed)
	random := rand.New(rand.NewPCG(seed, 2))
	warmSince := epoch
	warming := time.Duration(5+random.IntN(200)) * time.Millisecond
	target := &model{sim: s, sheds: true}
	target.bear = func() float64 {
		return min(2+float64(s.now.Sub(warmSince))/float64(warming), 60)
	}
	st := newStation(s, target, opts...)
	oracle := newEvidence(2)
	var failure error
	inFlight := 0
	st.admitted = func(_ *job, d admission.Decision) {
		inFlight++
		err := oracle.admit(d, inFlight)
		if bears := int(target.bear()); err == nil && warmSince.Equal(epoch) && inFlight > bears+admission.Step(bears) {
			err = fmt.Errorf("%d in flight at a target that warms and bears %d", inFlight, bears)
		}
		if err != nil && failure == nil {
			failure = fmt.Errorf("at %v: %w", s.elapsed(), err)
		}
	}
	st.ended = func(d admission.Decision, c admission.Completion) {
		inFlight--
		oracle.end(d, c)
	}
	s.arrivals(2000, 4*time.Second, func() {
		st.submit(&job{
			ticket:  admission.Ticket{Deadline: s.now.Add(100 * time.Millisecond)},
			service: time.Millisecond + s.exponential(10*time.Millisecond),
		})
	})
	s.arrivals(0.5, 4*time.Second, func() { warmSince = s.now })
	s.run(5 * time.Second)
	return failure
}

func TestColdTargetReceivesWhatItBears(t *testing.T) {
	holds(t, 15, func(seed uint64) error { return coldTarget(seed) })
}

func TestColdTargetMutations(t *testing.T) {
	ignoreShed := func(c admission.Completion) admission.Completion {
		if c.Result == admission.Shed {
			c.Result = admission.OK
		}
		return c
	}
	mutations := map[string]admission.Option{
		"starts at the ceiling": admission.WithStart(100),
		"ignores shed answers":  admission.WithJudge(ignoreShed),
	}
	for name, mutation := range mutations {
		t.Run(name, func(t *testing.T) {
			caught(t, 25, func(seed uint64) error { return coldTarget(seed, mutation) })
		})
	}
}

// mutual runs two services whose requests call each other down to a depth,
// without deadlines, while shed answers pull the limits down. Every request
// must come to its end.
func mutual(seed uint64, opts ...admission.Option) error {
	s := newSim(seed)
	random := rand.New(rand.NewPCG(seed, 3))
	bear := func() float64 { return 1 + float64(random.IntN(30)) }
	var services [2]*station
	for i := range services {
		services[i] = newStation(s, &model{sim: s, bear: bear, sheds: true}, opts...)
	}
	asked, ended := 0, 0
	var call func(service int, depth uint8, done func())
	call = func(service int, depth uint8, done func()) {
		asked++
		st := services[service]
		j := &job{ticket: admission.Ticket{Depth: depth}, service: s.exponential(5 * time.Millisecond)}
		if depth < 3 && random.IntN(4) > 0 {
			j.run = func(end func(admission.Completion)) {
				call(1-service, depth+1, func() { end(admission.Completion{Latency: s.exponential(5 * time.Millisecond)}) })
			}
		}
		j.final = func(admission.Decision, admission.Completion) {
			ended++
			done()
		}
		st.submit(j)
	}
	s.arrivals(1000, time.Second, func() { call(random.IntN(2), 0, func() {}) })
	s.run(time.Hour)
	if asked != ended {
		return fmt.Errorf("locked: %d of %d calls came to an end", ended, asked)
	}
	return nil
}

func TestServicesThatCallEachOtherGoOn(t *testing.T) {
	many := admission.WithQueue(1 << 20)
	holds(t, 12, func(seed uint64) error { return mutual(seed, many) })
	caught(t, 25, func(seed uint64) error { return mutual(seed, many, admission.WithReserve(0)) })
}

// capacity is what the patient property needs to know before each admission.
type capacity struct {
	urgentWaiting int
	stats         admission.Stats
}

// patientWork runs urgent work at half of the capacity and patient work with no
// deadline in abundance. A patient request may enter only while no urgent one
// waits and, if anything is in flight, three quarters of the limit are not
// taken; and some must get through in every
// second after the first, in which the limit grows to what the urgent work needs.
func patientWork(seed uint64, opts ...admission.Option) error {
	s := newSim(seed)
	st := newStation(s, &model{sim: s, bear: func() float64 { return 20 }, power: 1}, opts...)
	urgentWaiting, inFlight := 0, 0
	var failure error
	st.admitted = func(j *job, _ admission.Decision) {
		inFlight++
		if j.ticket.Class == admission.Urgent {
			urgentWaiting--
			return
		}
		c := capacity{urgentWaiting, st.core.Stats(s.now)}
		tight := inFlight > 1 && float64(inFlight) > 0.75*float64(c.stats.Limit)
		if failure == nil && (c.urgentWaiting > 0 || tight) {
			failure = fmt.Errorf("patient request admitted: %+v", c)
		}
	}
	st.ended = func(admission.Decision, admission.Completion) { inFlight-- }
	served := 0
	submit := func(class admission.Class) {
		if class == admission.Urgent {
			urgentWaiting++
		}
		j := &job{ticket: admission.Ticket{Class: class}, service: s.exponential(10 * time.Millisecond)}
		j.final = func(d admission.Decision, _ admission.Completion) {
			switch {
			case d.Verdict == admission.Refused && class == admission.Urgent:
				urgentWaiting--
			case d.Verdict == admission.Admitted && class == admission.Patient:
				served++
			}
		}
		st.submit(j)
	}
	s.arrivals(1000, 5*time.Second, func() { submit(admission.Urgent) })
	s.arrivals(500, 5*time.Second, func() { submit(admission.Patient) })
	before := 0
	for second := 2; second <= 5; second++ {
		s.at(epoch.Add(time.Duration(second)*time.Second), func() {
			if served == before && failure == nil {
				failure = fmt.Errorf("no patient request served in the second before %d s", second)
			}
			before = served
		})
	}
	s.run(5 * time.Second)
	return failure
}

func TestPatientWorkTakesOnlySpareCapacity(t *testing.T) {
	holds(t, 8, func(seed uint64) error { return patientWork(seed) })
	urgent := admission.WithClassify(func(ticket admission.Ticket) admission.Ticket {
		ticket.Class = admission.Urgent
		return ticket
	})
	caught(t, 15, func(seed uint64) error { return patientWork(seed, urgent) })
}

// ledger sends random messages to a Core and checks that each request gets
// exactly one final decision.
type ledger struct {
	core     *admission.Core
	now      time.Time
	paused   bool
	closed   bool
	draining bool
	inFlight []held
	waiting  map[uint64]admission.Ticket
	asked    int
	refused  int
	admitted int
}

// held is a request in flight.
type held struct {
	slot  admission.Slot
	depth uint8
}

// first takes the decision on a new request.
func (l *ledger) first(ticket admission.Ticket, d admission.Decision) error {
	switch d.Verdict {
	case admission.Refused:
		l.refused++
	case admission.Waiting:
		l.waiting[d.ID] = ticket
	case admission.Admitted:
		return l.admit(ticket, d)
	}
	return nil
}

// final takes the decision on a request that waited.
func (l *ledger) final(d admission.Decision) error {
	ticket, ok := l.waiting[d.ID]
	if !ok || d.Verdict == admission.Waiting {
		return fmt.Errorf("no request %d waits for verdict %d", d.ID, d.Verdict)
	}
	delete(l.waiting, d.ID)
	return l.first(ticket, d)
}

// admit checks an admission: the limit is kept, but by a nested call if none of
// its depth or deeper is in flight.
func (l *ledger) admit(ticket admission.Ticket, d admission.Decision) error {
	l.admitted++
	if l.paused || l.closed || l.draining {
		return fmt.Errorf("admitted to a target that is away")
	}
	if !ticket.Deadline.IsZero() && l.now.After(ticket.Deadline) {
		return fmt.Errorf("admitted after its deadline")
	}
	deeper := 0
	for _, h := range l.inFlight {
		if h.depth >= ticket.Depth {
			deeper++
		}
	}
	limit := l.core.Limit(l.now)
	if len(l.inFlight) >= limit && (ticket.Depth == 0 || deeper > 0) {
		return fmt.Errorf("depth %d admitted to %d in flight, limit %d", ticket.Depth, len(l.inFlight), limit)
	}
	l.inFlight = append(l.inFlight, held{d.Slot, ticket.Depth})
	return nil
}

func (l *ledger) drain() error {
	for {
		d, ok := l.core.Next(l.now)
		if !ok {
			break
		}
		if err := l.final(d); err != nil {
			return err
		}
	}
	if (l.closed || l.draining) && len(l.waiting) > 0 {
		return fmt.Errorf("%d requests kept waiting for a target that has gone", len(l.waiting))
	}
	return nil
}

// step applies one message, drawn from random.
func (l *ledger) step(random *rand.Rand) error {
	l.now = l.now.Add(time.Duration(random.IntN(10)) * time.Millisecond)
	switch random.IntN(16) {
	case 0:
		l.paused = !l.paused
		if l.paused {
			l.core.Pause()
		} else {
			l.core.Resume()
		}
	case 1:
		health := admission.Health{Draining: random.IntN(4) == 0, Limit: random.IntN(5), Load: random.Float64()}
		l.draining = health.Draining
		l.core.Report(health, l.now)
	case 2:
		for id := range l.waiting {
			if l.core.Leave(id) {
				delete(l.waiting, id)
				l.refused++
			}
			break
		}
	case 3, 4:
		for id := range l.waiting {
			if d, ok := l.core.Expire(id, l.now); ok && d.Verdict == admission.Refused {
				if err := l.final(d); err != nil {
					return err
				}
			}
			break
		}
	case 5, 6, 7, 8:
		if len(l.inFlight) > 0 {
			i := random.IntN(len(l.inFlight))
			slot := l.inFlight[i].slot
			l.inFlight[i] = l.inFlight[len(l.inFlight)-1]
			l.inFlight = l.inFlight[:len(l.inFlight)-1]
			result := [8]admission.Result{admission.Failed, admission.Shed, admission.Cancelled}[random.IntN(8)]
			done := admission.Completion{Latency: time.Duration(random.IntN(50)) * time.Millisecond, Result: result}
			if !l.core.Done(slot, done, l.now) || l.core.Done(slot, done, l.now) {
				return fmt.Errorf("a slot was not given back exactly once")
			}
		}
	default:
		l.asked++
		ticket := admission.Ticket{Class: admission.Class(random.IntN(2)), Depth: uint8(random.IntN(5))}
		if random.IntN(4) > 0 {
			ticket.Deadline = l.now.Add(time.Duration(random.IntN(200)-5) * time.Millisecond)
		}
		if err := l.first(ticket, l.core.Enter(ticket, l.now)); err != nil {
			return err
		}
	}
	return l.drain()
}

func conserved(seed uint64, opts ...admission.Option) error {
	random := rand.New(rand.NewPCG(seed, 4))
	l := &ledger{
		core:    admission.NewCore(append(opts, admission.WithStart(1+random.IntN(10)), admission.WithQueue(8))...),
		now:     epoch,
		waiting: map[uint64]admission.Ticket{},
	}
	for range 500 {
		if err := l.step(random); err != nil {
			return err
		}
		if s := l.core.Stats(l.now); s.InFlight != len(l.inFlight) || s.Queued != len(l.waiting) {
			return fmt.Errorf("counts differ: %+v", s)
		}
	}
	l.core.Close()
	l.closed = true
	if err := l.drain(); err != nil {
		return err
	}
	if l.asked != l.refused+l.admitted {
		return fmt.Errorf("%d asked, %d refused and %d admitted", l.asked, l.refused, l.admitted)
	}
	return nil
}

func TestEveryRequestIsDecidedOnce(t *testing.T) {
	holds(t, 300, func(seed uint64) error { return conserved(seed) })
	// The mutation lets a call that isn't nested use what is kept for the
	// deepest.
	nested := admission.WithClassify(func(ticket admission.Ticket) admission.Ticket {
		if ticket.Depth == 0 {
			ticket.Depth = 3
		}
		return ticket
	})
	caught(t, 300, func(seed uint64) error { return conserved(seed, nested) })
}
