package admission_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"fulmarrun/admission"
)

// slowdown is a target that handles capacity requests of 5 ms at once and becomes
// slower by 200 ms after 2 s, for a duration or, if that is zero, permanently.
type slowdown struct {
	rate, capacity float64
	duration       time.Duration
	// cold limits the capacity to 2 at first when the target has become slower.
	cold bool
	// Requests that are submitted from settleTime after the slowdown on, for length,
	// are evaluated.
	settleTime, length time.Duration
	timeout            time.Duration
}

// slowdownResult is the result of a simulated slowdown.
type slowdownResult struct {
	submitted, served int
	waits             []time.Duration
	// maxInFlight is the highest number in flight, and overloaded counts the evaluated
	// requests that started at more than one and a half times the capacity.
	maxInFlight, started, overloaded int
	stats                            admission.Stats
}

const slowdownStart = 2 * time.Second

func (c slowdown) isSlow(at time.Duration) bool {
	return at >= slowdownStart && (c.duration == 0 || at < slowdownStart+c.duration)
}

func (c slowdown) capacityAt(at time.Duration) float64 {
	if c.cold && c.isSlow(at) {
		return min(2+1.8*(at-slowdownStart).Seconds(), c.capacity)
	}
	return c.capacity
}

// run submits requests that are cancelled at the target after a timeout. A request that
// isn't served in time counts as if it had waited that long.
func (c slowdown) run(seed uint64, opts ...admission.Option) slowdownResult {
	s := newSim(seed)
	target := &targetModel{sim: s, overloadExponent: 2, capacity: func() float64 { return c.capacityAt(s.elapsed()) }}
	st := newStation(s, target, opts...)
	var p slowdownResult
	inFlight := 0
	st.onAdmitted = func(*job, admission.Decision) {
		inFlight++
		p.maxInFlight = max(p.maxInFlight, inFlight)
		if s.elapsed() < slowdownStart+c.settleTime {
			return
		}
		p.started++
		if float64(inFlight) > 1.5*target.capacity() {
			p.overloaded++
		}
	}
	st.onEnded = func(admission.Decision, admission.Completion) { inFlight-- }
	s.arrivals(c.rate, slowdownStart+c.settleTime+c.length, func() {
		service := 5*time.Millisecond + s.exponential(time.Millisecond)
		if c.isSlow(s.elapsed()) {
			service += 200 * time.Millisecond
		}
		deadline := s.now.Add(c.timeout)
		j := &job{ticket: admission.Ticket{Deadline: deadline}}
		j.run = func(end func(admission.Completion)) { beginWithTimeout(s, target, service, deadline, end) }
		if s.elapsed() >= slowdownStart+c.settleTime {
			p.submitted++
			j.onFinal = func(d admission.Decision, done admission.Completion) { p.end(j, c.timeout, s.now, d, done) }
		}
		st.submit(j)
	})
	s.run(slowdownStart + c.settleTime + c.length + c.timeout)
	p.stats = st.core.Stats(s.now)
	return p
}

func (p *slowdownResult) end(j *job, wait time.Duration, now time.Time, d admission.Decision, done admission.Completion) {
	if d.Verdict == admission.Admitted && done.Result == admission.OK {
		p.served++
		wait = now.Sub(j.submittedAt)
	}
	p.waits = append(p.waits, wait)
}

// beginWithTimeout sends a request to a target and cancels it at its deadline. The
// target continues to work on it.
func beginWithTimeout(s *sim, target *targetModel, service time.Duration, deadline time.Time, end func(admission.Completion)) {
	began, ended := s.now, false
	endOnce := func(c admission.Completion) {
		if !ended {
			ended = true
			end(c)
		}
	}
	target.begin(service, endOnce)
	s.at(deadline, func() {
		endOnce(admission.Completion{Latency: s.now.Sub(began), Result: admission.Cancelled})
	})
}

// servesShare checks that this fraction of the evaluated requests is served in time.
func (c slowdown) servesShare(share float64) func(seed uint64, opts ...admission.Option) error {
	return func(seed uint64, opts ...admission.Option) error {
		p := c.run(seed, opts...)
		if float64(p.served) < share*float64(p.submitted) {
			return fmt.Errorf("%d of %d served, p99 %.0f ms: %+v", p.served, p.submitted, percentile(p.waits, 0.99), p.stats)
		}
		return nil
	}
}

// TestLimitAdaptsToSlowdown offers a slower target a load that requires about 10
// concurrent requests, where its capacity is 20, and a target that was slower for 2 s a
// third of its capacity.
func TestLimitAdaptsToSlowdown(t *testing.T) {
	for name, c := range map[string]struct {
		slowdown slowdown
		share    float64
		mutated  admission.Option
	}{
		"right after": {
			slowdown{rate: 50, capacity: 20, timeout: 2 * time.Second, length: 10 * time.Second},
			0.95, admission.WithFixedLimit(6),
		},
		"permanently": {
			slowdown{rate: 50, capacity: 20, timeout: 2 * time.Second, settleTime: 5 * time.Second, length: 20 * time.Second},
			0.99, admission.WithFixedLimit(9),
		},
		"temporarily": {
			slowdown{rate: 200, capacity: 4, timeout: 2 * time.Second, duration: 2 * time.Second, settleTime: 5 * time.Second, length: 10 * time.Second},
			0.99, admission.WithFixedLimit(20),
		},
	} {
		t.Run(name, func(t *testing.T) {
			oracle := c.slowdown.servesShare(c.share)
			expectHolds(t, 10, func(seed uint64) error { return oracle(seed) })
			expectCaught(t, 3, func(seed uint64) error { return oracle(seed, c.mutated) })
		})
	}
}

// checkSlowdownLoad offers a slower target more than its capacity. A load that prolongs
// the latency by less than a fifth counts as within the capacity here. The number
// in flight must never exceed that by more than one growth step or by more than half of
// it, at most 3, whichever is greater.
func checkSlowdownLoad(seed uint64, opts ...admission.Option) error {
	capacity := 2 + int(seed%19)
	c := slowdown{rate: 150, capacity: float64(capacity), timeout: 2 * time.Second, length: 10 * time.Second}
	p := c.run(seed, opts...)
	allowed := int(float64(capacity) * math.Sqrt(1.2))
	if p.maxInFlight > allowed+max(admission.GrowthStep(allowed), min(allowed/2, 3)) {
		return fmt.Errorf("%d in flight, capacity %d", p.maxInFlight, capacity)
	}
	return nil
}

func TestSlowTargetIsNotOverloaded(t *testing.T) {
	expectHolds(t, 6, func(seed uint64) error { return checkSlowdownLoad(seed) })
	capLatency := func(c admission.Completion) admission.Completion {
		c.Latency = min(c.Latency, 206*time.Millisecond)
		return c
	}
	expectCaught(t, 10, func(seed uint64) error { return checkSlowdownLoad(seed, admission.WithCompletionRewrite(capLatency)) })
}

// TestBaselineAfterSlowAnswers starts with a baseline of 5 ms, and then sends responses
// at the start limit.
func TestBaselineAfterSlowAnswers(t *testing.T) {
	const fast, slow = 5 * time.Millisecond, 205 * time.Millisecond
	for name, c := range map[string]struct {
		answers  []time.Duration
		limit    int
		baseline time.Duration
	}{
		"too few responses":      {[]time.Duration{slow, slow, slow}, 2, fast},
		"enough responses":       {[]time.Duration{slow, slow, slow, slow}, 3, slow},
		"one fast response":      {[]time.Duration{slow, slow, slow, fast, slow, slow, slow}, 2, fast},
		"high variation":         {[]time.Duration{slow, 2 * slow, 4 * slow, 8 * slow}, 2, fast},
		"fast again":             {[]time.Duration{slow, slow, slow, slow, fast, fast}, 2, fast},
		"a third of the latency": {[]time.Duration{slow, slow, slow, slow, slow / 3, slow / 3}, 2, slow},
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
				answer(fast, false)
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
