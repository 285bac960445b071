package admission_test

import (
	"testing"
	"time"

	"fulmarrun/admission"
)

// simulateLimiter simulates a target with 20 slots that slows down when more are used,
// for some time at a fraction of its capacity.
func simulateLimiter(load float64, length time.Duration, slowdown func(at time.Duration) float64) admission.Stats {
	s := newSim(1)
	target := &targetModel{sim: s, overloadExponent: 1, capacity: func() float64 { return 20 }}
	target.slowdown = func() float64 { return slowdown(s.elapsed()) }
	st := newStation(s, target)
	s.arrivals(load*500, length, func() {
		st.submit(&job{
			ticket:  admission.Ticket{Deadline: s.now.Add(400 * time.Millisecond)},
			service: s.exponential(40 * time.Millisecond),
		})
	})
	s.run(length)
	return st.core.Stats(s.now)
}

func TestLimiter(t *testing.T) {
	cases := []struct {
		name                     string
		load                     float64
		length                   time.Duration
		slowdown                 func(at time.Duration) float64
		minLimit, maxLimit       int
		minBaseline, maxBaseline time.Duration
	}{
		{
			name: "finds the capacity of the target", load: 1.5, length: 12 * time.Second,
			slowdown: func(time.Duration) float64 { return 1 },
			minLimit: 16, maxLimit: 32, minBaseline: 36 * time.Millisecond, maxBaseline: 52 * time.Millisecond,
		},
		{
			name: "overload does not become the baseline", load: 1.5, length: 70 * time.Second,
			slowdown: func(time.Duration) float64 { return 1 },
			minLimit: 16, maxLimit: 32, minBaseline: 36 * time.Millisecond, maxBaseline: 52 * time.Millisecond,
		},
		{
			name: "discards a baseline that is too low", load: 0.5, length: 120 * time.Second,
			slowdown: func(at time.Duration) float64 {
				if at < 20*time.Second {
					return 1
				}
				return 1.6
			},
			minLimit: 14, maxLimit: 100, minBaseline: 56 * time.Millisecond, maxBaseline: 88 * time.Millisecond,
		},
		{
			name: "falls when the target becomes slow", load: 0.5, length: 24 * time.Second,
			slowdown: func(at time.Duration) float64 {
				if at < 20*time.Second {
					return 1
				}
				return 20
			},
			minLimit: 1, maxLimit: 3, minBaseline: 0, maxBaseline: 1200 * time.Millisecond,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := simulateLimiter(c.load, c.length, c.slowdown)
			if s.Limit < c.minLimit || s.Limit > c.maxLimit || s.Baseline < c.minBaseline || s.Baseline > c.maxBaseline {
				t.Errorf("limit or baseline out of range: %+v", s)
			}
			t.Logf("limit %d, baseline %v", s.Limit, s.Baseline)
		})
	}
}

func TestUnusedLimitDecays(t *testing.T) {
	cases := []struct {
		name   string
		pause  time.Duration
		rounds int
	}{
		{"low load", 31 * time.Second, 3},
		{"no load", time.Hour, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := admission.NewLimiter()
			now := epoch
			for range 2000 {
				now = now.Add(time.Millisecond)
				l.End(l.Begin(l.Limit(), true, now), admission.Completion{Latency: 10 * time.Millisecond}, now)
			}
			if l.Limit() < 20 {
				t.Fatalf("limit %d after steady load", l.Limit())
			}
			for range c.rounds {
				now = now.Add(c.pause)
				l.End(l.Begin(1, false, now), admission.Completion{Latency: 10 * time.Millisecond}, now)
			}
			if l.Limit() != 2 {
				t.Errorf("limit %d, want the start limit", l.Limit())
			}
		})
	}
}

func TestRestartResetsLimiter(t *testing.T) {
	l := admission.NewLimiter()
	now := epoch
	stale := make([]admission.StartState, 0, 2000)
	for range 2000 {
		now = now.Add(time.Millisecond)
		b := l.Begin(l.Limit(), true, now)
		stale = append(stale, l.Begin(l.Limit(), true, now))
		l.End(b, admission.Completion{Latency: 10 * time.Millisecond}, now)
	}
	l.Restart(now)
	for _, b := range stale {
		l.End(b, admission.Completion{Latency: 10 * time.Millisecond}, now)
	}
	if l.Limit() != 2 || l.Baseline() != 0 || l.Proven() != 0 {
		t.Errorf("limit %d, proven %d, baseline %v", l.Limit(), l.Proven(), l.Baseline())
	}
}

func TestHealthOnlyLowersLimit(t *testing.T) {
	cases := []struct {
		name   string
		health admission.Health
		want   int
	}{
		{"no limit reported", admission.Health{}, 10},
		{"higher limit", admission.Health{Limit: 50}, 10},
		{"lower limit", admission.Health{Limit: 3}, 3},
		{"not ready", admission.Health{Unready: true}, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			core := admission.NewCore(admission.WithStartLimit(10))
			core.Report(c.health, epoch)
			if got := core.Limit(epoch.Add(time.Second)); got != c.want {
				t.Errorf("limit %d, want %d", got, c.want)
			}
			if got := core.Limit(epoch.Add(time.Minute)); got != 10 {
				t.Errorf("limit %d after the report expired", got)
			}
		})
	}
}

// TestSetCeiling changes the ceiling of a gate in use.
func TestSetCeiling(t *testing.T) {
	for _, tc := range []struct {
		name    string
		opts    []admission.Option
		ceiling int
		want    int
	}{
		{"below the limit", []admission.Option{admission.WithStartLimit(8)}, 3, 3},
		{"above the limit", []admission.Option{admission.WithStartLimit(8)}, 30, 8},
		{"less than one", []admission.Option{admission.WithStartLimit(8)}, 0, 1},
		{"fixed", []admission.Option{admission.WithFixedLimit(8)}, 3, 8},
	} {
		t.Run(tc.name, func(t *testing.T) {
			gate := admission.NewGate(tc.opts...)
			gate.SetCeiling(tc.ceiling)
			if got := gate.Stats().Limit; got != tc.want {
				t.Errorf("limit %d, want %d", got, tc.want)
			}
		})
	}
}
