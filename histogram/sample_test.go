package histogram_test

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"fulmarrun/histogram"
)

func TestSample(t *testing.T) {
	now := time.Unix(0, 0)
	s := histogram.NewSample(histogram.WithPeriod(time.Second), histogram.WithClock(func() time.Time { return now }))
	const maxValue = int64(histogram.MaxValue / histogram.MinValue)
	for _, step := range []struct {
		advance     time.Duration
		values      []int64
		size        int
		count, sum  int64
		median, max float64
	}{
		{0, []int64{10, 20, 30}, 3, 3, 60, 20, 30},
		{time.Second, []int64{50}, 4, 4, 110, 20, 50},
		{time.Second, nil, 1, 4, 110, 50, 50},
		{time.Second, []int64{0, -5}, 2, 6, 112, 1, 1},
		{10 * time.Second, []int64{2 * maxValue}, 1, 7, 112 + maxValue, float64(maxValue), float64(maxValue)},
		{10 * time.Second, nil, 0, 7, 112 + maxValue, 0, 0},
	} {
		now = now.Add(step.advance)
		for _, v := range step.values {
			s.Update(v * int64(histogram.MinValue))
		}
		if s.Size() != step.size || s.Count() != step.count || s.Sum() != step.sum*int64(histogram.MinValue) {
			t.Errorf("at %v: size %d, count %d, sum %d", now, s.Size(), s.Count(), s.Sum())
		}
		// Two significant digits keep a value to within one percent.
		if got := s.Percentile(0.5) / float64(histogram.MinValue); got < step.median || got > step.median*1.01 {
			t.Errorf("at %v: median %v, want %v", now, got, step.median)
		}
		if got := float64(s.Max()) / float64(histogram.MinValue); got < step.max || got > step.max*1.01 {
			t.Errorf("at %v: max %v, want %v", now, got, step.max)
		}
	}
	s.Clear()
	if s.Count() != 0 || s.Mean() != 0 {
		t.Errorf("count %d, mean %v after Clear", s.Count(), s.Mean())
	}
}

// TestTimerSnapshot checks that a timer over a Sample supports Snapshot, as reporters
// use it.
func TestTimerSnapshot(t *testing.T) {
	timer := metrics.NewCustomTimer(metrics.NewHistogram(histogram.NewSample()), metrics.NewMeter())
	if p := timer.Snapshot().Percentile(0.5); p != 0 {
		t.Errorf("median %v of an empty timer, want 0", p)
	}
	for i := range 1000 {
		timer.Update(time.Duration(i+1) * time.Millisecond)
	}
	s := timer.Snapshot()
	if p := time.Duration(s.Percentile(0.5)); s.Count() != 1000 || p < 490*time.Millisecond || p > 510*time.Millisecond {
		t.Errorf("count %d, median %v", s.Count(), p)
	}
}
