// Package histogram keeps latencies in HDR histograms behind the interface that
// go-metrics has for samples.
//
// # Usage
//
//	latency := metrics.NewCustomTimer(metrics.NewHistogram(histogram.NewSample()), metrics.NewMeter())
//	latency.Update(took)
//
// Values are nanoseconds from [MinValue] to [MaxValue], kept to two digits; shorter and
// longer times count as those. Count, Sum and Mean are of all values; the quantiles,
// the least and the greatest are of the last one to two periods.
package histogram

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

const (
	// MinValue is the shortest time that is told apart.
	MinValue = time.Nanosecond
	// MaxValue is the longest time that is told apart.
	MaxValue = time.Minute
	// digits is the precision. Two digits take 31 KB a histogram, of which a
	// Sample has three.
	digits = 2
	// defaultPeriod is how long values count fully for the quantiles.
	defaultPeriod = 30 * time.Second
	// quantiles is how many stand for the recent values in a snapshot.
	quantiles = 100
	// windows is how many periods the quantiles are taken over.
	windows = 2
)

// Option configures a Sample.
type Option func(*Sample)

// WithPeriod is a functional option that sets how long values count fully for the
// quantiles.
func WithPeriod(d time.Duration) Option {
	return func(s *Sample) { s.period = d }
}

// WithClock is a functional option that replaces the clock.
func WithClock(now func() time.Time) Option {
	return func(s *Sample) { s.now = now }
}

// Sample is a metrics.Sample. It is safe for concurrent use.
type Sample struct {
	period time.Duration
	now    func() time.Time

	mu      sync.Mutex
	recent  *hdrhistogram.WindowedHistogram
	rotated time.Time
	count   int64
	sum     int64
}

var _ metrics.Sample = (*Sample)(nil)

// NewSample returns an empty Sample.
func NewSample(opts ...Option) *Sample {
	s := &Sample{
		period: defaultPeriod, now: time.Now,
		recent: hdrhistogram.NewWindowed(windows, int64(MinValue), int64(MaxValue), digits),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.rotated = s.now()
	return s
}

// Update takes in a time in nanoseconds.
func (s *Sample) Update(value int64) {
	value = min(max(value, int64(MinValue)), int64(MaxValue))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate()
	s.count++
	s.sum += value
	// A value within the bounds is never refused.
	_ = s.recent.Current.RecordValue(value)
}

// rotate starts new periods as time goes on; the lock is held.
func (s *Sample) rotate() {
	gone := int(s.now().Sub(s.rotated) / s.period)
	for range min(gone, windows) {
		s.recent.Rotate()
	}
	s.rotated = s.rotated.Add(time.Duration(gone) * s.period)
}

// merged returns the values of the last periods; the lock is held.
func (s *Sample) merged() *hdrhistogram.Histogram {
	s.rotate()
	return s.recent.Merge()
}

// Clear forgets all values.
func (s *Sample) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count, s.sum = 0, 0
	for range windows {
		s.recent.Rotate()
	}
}

// Count returns how many values there were.
func (s *Sample) Count() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// Sum returns the sum of all values.
func (s *Sample) Sum() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sum
}

// Mean returns the mean of all values; zero if there are none.
func (s *Sample) Mean() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count == 0 {
		return 0
	}
	return float64(s.sum) / float64(s.count)
}

// Percentile returns the value below which the share p, from 0 to 1, of the recent
// ones lies.
func (s *Sample) Percentile(p float64) float64 { return s.Percentiles([]float64{p})[0] }

// Percentiles returns several of them.
func (s *Sample) Percentiles(ps []float64) []float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	recent := s.merged()
	out := make([]float64, len(ps))
	for i, p := range ps {
		const percent = 100
		out[i] = float64(recent.ValueAtQuantile(percent * p))
	}
	return out
}

// Max returns the greatest recent value.
func (s *Sample) Max() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.merged().Max()
}

// Min returns the least recent value.
func (s *Sample) Min() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.merged().Min()
}

// StdDev returns the standard deviation of the recent values.
func (s *Sample) StdDev() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.merged().StdDev()
}

// Variance returns the variance of the recent values.
func (s *Sample) Variance() float64 {
	d := s.StdDev()
	return d * d
}

// Size returns how many recent values there are.
func (s *Sample) Size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.merged().TotalCount())
}

// Values returns evenly spread quantiles of the recent values in their place, since
// single values are not kept.
func (s *Sample) Values() []int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	recent := s.merged()
	if recent.TotalCount() == 0 {
		return nil
	}
	out := make([]int64, 0, quantiles)
	for i := range quantiles {
		const percent = 100
		out = append(out, recent.ValueAtQuantile(percent*(float64(i)+0.5)/quantiles))
	}
	return out
}

// Snapshot returns the count of all values with the quantiles of the recent ones.
func (s *Sample) Snapshot() metrics.Sample {
	return metrics.NewSampleSnapshot(s.Count(), s.Values())
}
