package admission_test

import (
	"testing"
	"time"

	"fulmarrun/admission"
)

// limited runs a target with 20 slots that share what is too much, for some
// time at some share of its capacity.
func limited(load float64, length time.Duration, factor func(at time.Duration) float64) admission.Stats {
	s := newSim(1)
	target := &model{sim: s, power: 1, bear: func() float64 { return 20 }}
	target.factor = func() float64 { return factor(s.elapsed()) }
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
		name          string
		load          float64
		length        time.Duration
		factor        func(at time.Duration) float64
		least, most   int
		quick, slowly time.Duration
	}{
		{
			name: "finds what the target bears", load: 1.5, length: 12 * time.Second,
			factor: func(time.Duration) float64 { return 1 },
			least:  16, most: 32, quick: 36 * time.Millisecond, slowly: 52 * time.Millisecond,
		},
		{
			name: "overload does not become the baseline", load: 1.5, length: 70 * time.Second,
			factor: func(time.Duration) float64 { return 1 },
			least:  16, most: 32, quick: 36 * time.Millisecond, slowly: 52 * time.Millisecond,
		},
		{
			name: "forgets a baseline that is too good", load: 0.5, length: 120 * time.Second,
			factor: func(at time.Duration) float64 {
				if at < 20*time.Second {
					return 1
				}
				return 1.6
			},
			least: 14, most: 100, quick: 56 * time.Millisecond, slowly: 88 * time.Millisecond,
		},
		{
			name: "falls when the target turns slow", load: 0.5, length: 24 * time.Second,
			factor: func(at time.Duration) float64 {
				if at < 20*time.Second {
					return 1
				}
				return 20
			},
			least: 1, most: 3, quick: 0, slowly: 1200 * time.Millisecond,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := limited(c.load, c.length, c.factor)
			if s.Limit < c.least || s.Limit > c.most || s.Baseline < c.quick || s.Baseline > c.slowly {
				t.Errorf("got %+v", s)
			}
			t.Logf("limit %d, baseline %v", s.Limit, s.Baseline)
		})
	}
}

func TestLimitFallsToWhatIsUsed(t *testing.T) {
	cases := []struct {
		name  string
		pause time.Duration
		times int
	}{
		{"little work", 31 * time.Second, 3},
		{"no work", time.Hour, 1},
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
				t.Fatalf("limit %d after steady work", l.Limit())
			}
			for range c.times {
				now = now.Add(c.pause)
				l.End(l.Begin(1, false, now), admission.Completion{Latency: 10 * time.Millisecond}, now)
			}
			if l.Limit() != 2 {
				t.Errorf("limit %d", l.Limit())
			}
		})
	}
}

func TestRestartForgets(t *testing.T) {
	l := admission.NewLimiter()
	now := epoch
	late := make([]admission.Began, 0, 2000)
	for range 2000 {
		now = now.Add(time.Millisecond)
		b := l.Begin(l.Limit(), true, now)
		late = append(late, l.Begin(l.Limit(), true, now))
		l.End(b, admission.Completion{Latency: 10 * time.Millisecond}, now)
	}
	l.Restart(now)
	for _, b := range late {
		l.End(b, admission.Completion{Latency: 10 * time.Millisecond}, now)
	}
	if l.Limit() != 2 || l.Baseline() != 0 || l.Proven() != 0 {
		t.Errorf("limit %d, proven %d, baseline %v", l.Limit(), l.Proven(), l.Baseline())
	}
}

func TestReportsOnlyLower(t *testing.T) {
	cases := []struct {
		name   string
		health admission.Health
		want   int
	}{
		{"says nothing", admission.Health{}, 10},
		{"wants more", admission.Health{Limit: 50}, 10},
		{"wants less", admission.Health{Limit: 3}, 3},
		{"not ready", admission.Health{Unready: true}, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			core := admission.NewCore(admission.WithStart(10))
			core.Report(c.health, epoch)
			if got := core.Limit(epoch.Add(time.Second)); got != c.want {
				t.Errorf("limit %d, want %d", got, c.want)
			}
			if got := core.Limit(epoch.Add(time.Minute)); got != 10 {
				t.Errorf("limit %d after the report is old", got)
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
		{"below the limit", []admission.Option{admission.WithStart(8)}, 3, 3},
		{"above the limit", []admission.Option{admission.WithStart(8)}, 30, 8},
		{"less than one", []admission.Option{admission.WithStart(8)}, 0, 1},
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
