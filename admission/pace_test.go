package admission_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"fulmarrun/admission"
)

// change is a target that bears so many requests of 5 ms at once and becomes
// slower by 200 ms after 2 s, for some time or for good.
type change struct {
	rate, bear float64
	lasts      time.Duration
	// cold has the target bear 2 at first when it has become slower.
	cold bool
	// What is asked for from settled after the change on, for length, is counted.
	settled, length time.Duration
	wait            time.Duration
}

// pace is what came of a change.
type pace struct {
	asked, served int
	waits         []time.Duration
	// most is the greatest number in flight, and beyond counts what is counted and
	// began in excess of one and a half times what is borne.
	most, begun, beyond int
	stats               admission.Stats
}

const paceTurn = 2 * time.Second

func (c change) slow(at time.Duration) bool {
	return at >= paceTurn && (c.lasts == 0 || at < paceTurn+c.lasts)
}

func (c change) bears(at time.Duration) float64 {
	if c.cold && c.slow(at) {
		return min(2+1.8*(at-paceTurn).Seconds(), c.bear)
	}
	return c.bear
}

// run asks for requests that run out of their time at the target after a wait. A
// request that isn't served in time counts as if it had waited as long.
func (c change) run(seed uint64, opts ...admission.Option) pace {
	s := newSim(seed)
	target := &model{sim: s, power: 2, bear: func() float64 { return c.bears(s.elapsed()) }}
	st := newStation(s, target, opts...)
	var p pace
	inFlight := 0
	st.admitted = func(*job, admission.Decision) {
		inFlight++
		p.most = max(p.most, inFlight)
		if s.elapsed() < paceTurn+c.settled {
			return
		}
		p.begun++
		if float64(inFlight) > 1.5*target.bear() {
			p.beyond++
		}
	}
	st.ended = func(admission.Decision, admission.Completion) { inFlight-- }
	s.arrivals(c.rate, paceTurn+c.settled+c.length, func() {
		service := 5*time.Millisecond + s.exponential(time.Millisecond)
		if c.slow(s.elapsed()) {
			service += 200 * time.Millisecond
		}
		deadline := s.now.Add(c.wait)
		j := &job{ticket: admission.Ticket{Deadline: deadline}}
		j.run = func(end func(admission.Completion)) { timed(s, target, service, deadline, end) }
		if s.elapsed() >= paceTurn+c.settled {
			p.asked++
			j.final = func(d admission.Decision, done admission.Completion) { p.end(j, c.wait, s.now, d, done) }
		}
		st.submit(j)
	})
	s.run(paceTurn + c.settled + c.length + c.wait)
	p.stats = st.core.Stats(s.now)
	return p
}

func (p *pace) end(j *job, wait time.Duration, now time.Time, d admission.Decision, done admission.Completion) {
	if d.Verdict == admission.Admitted && done.Result == admission.OK {
		p.served++
		wait = now.Sub(j.asked)
	}
	p.waits = append(p.waits, wait)
}

// timed hands a request to a target and cancels it when its time is over. The
// target goes on with it.
func timed(s *sim, target *model, service time.Duration, deadline time.Time, end func(admission.Completion)) {
	began, over := s.now, false
	once := func(c admission.Completion) {
		if !over {
			over = true
			end(c)
		}
	}
	target.begin(service, once)
	s.at(deadline, func() {
		once(admission.Completion{Latency: s.now.Sub(began), Result: admission.Cancelled})
	})
}

// serves checks that so great a share of what is counted is served in time.
func (c change) serves(share float64) func(seed uint64, opts ...admission.Option) error {
	return func(seed uint64, opts ...admission.Option) error {
		p := c.run(seed, opts...)
		if float64(p.served) < share*float64(p.asked) {
			return fmt.Errorf("%d of %d served, p99 %.0f ms: %+v", p.served, p.asked, percentile(p.waits, 0.99), p.stats)
		}
		return nil
	}
}

// TestSlowerTargetIsLearnt asks a target that became slower for what takes about
// 10 requests at once, where it bears 20, and one that was slower for 2 s for a
// third of what it bears.
func TestSlowerTargetIsLearnt(t *testing.T) {
	for name, c := range map[string]struct {
		change  change
		share   float64
		mutated admission.Option
	}{
		"at first": {
			change{rate: 50, bear: 20, wait: 2 * time.Second, length: 10 * time.Second},
			0.95, admission.WithFixedLimit(6),
		},
		"for good": {
			change{rate: 50, bear: 20, wait: 2 * time.Second, settled: 5 * time.Second, length: 20 * time.Second},
			0.99, admission.WithFixedLimit(9),
		},
		"for a time": {
			change{rate: 200, bear: 4, wait: 2 * time.Second, lasts: 2 * time.Second, settled: 5 * time.Second, length: 10 * time.Second},
			0.99, admission.WithFixedLimit(20),
		},
	} {
		t.Run(name, func(t *testing.T) {
			oracle := c.change.serves(c.share)
			holds(t, 10, func(seed uint64) error { return oracle(seed) })
			caught(t, 3, func(seed uint64) error { return oracle(seed, c.mutated) })
		})
	}
}

// bearsPace asks a target that became slower for more than it bears. What takes
// less than a fifth longer for being more than it bears counts as borne here. In
// flight there may never be more than half of that beyond, and 3 at most, or a
// step.
func bearsPace(seed uint64, opts ...admission.Option) error {
	bear := 2 + int(seed%19)
	c := change{rate: 150, bear: float64(bear), wait: 2 * time.Second, length: 10 * time.Second}
	p := c.run(seed, opts...)
	borne := int(float64(bear) * math.Sqrt(1.2))
	if p.most > borne+max(admission.Step(borne), min(borne/2, 3)) {
		return fmt.Errorf("%d in flight where %d are borne", p.most, bear)
	}
	return nil
}

func TestSlowerTargetReceivesWhatItBears(t *testing.T) {
	holds(t, 6, func(seed uint64) error { return bearsPace(seed) })
	unmoved := func(c admission.Completion) admission.Completion {
		c.Latency = min(c.Latency, 206*time.Millisecond)
		return c
	}
	caught(t, 10, func(seed uint64) error { return bearsPace(seed, admission.WithJudge(unmoved)) })
}

// TestPace begins with a baseline of 5 ms and answers at the start limit.
func TestPace(t *testing.T) {
	const quick, slow = 5 * time.Millisecond, 205 * time.Millisecond
	for name, c := range map[string]struct {
		answers  []time.Duration
		limit    int
		baseline time.Duration
	}{
		"too few":           {[]time.Duration{slow, slow, slow}, 2, quick},
		"enough":            {[]time.Duration{slow, slow, slow, slow}, 3, slow},
		"a quick one":       {[]time.Duration{slow, slow, slow, quick, slow, slow, slow}, 2, quick},
		"far apart":         {[]time.Duration{slow, 2 * slow, 4 * slow, 8 * slow}, 2, quick},
		"quick again":       {[]time.Duration{slow, slow, slow, slow, quick, quick}, 2, quick},
		"a third of before": {[]time.Duration{slow, slow, slow, slow, slow / 3, slow / 3}, 2, slow},
	} {
		t.Run(name, func(t *testing.T) {
			l := admission.NewLimiter()
			now := epoch
			answer := func(latency time.Duration, full bool) {
				b := l.Begin(2, full, now)
				now = now.Add(latency)
				l.End(b, admission.Completion{Latency: latency}, now)
			}
			for range 100 {
				answer(quick, false)
			}
			for _, latency := range c.answers {
				answer(latency, true)
			}
			if l.Limit() != c.limit || l.Baseline() != c.baseline {
				t.Errorf("limit %d, baseline %v", l.Limit(), l.Baseline())
			}
		})
	}
}
