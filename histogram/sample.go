// Package histogram implements the Sample interface of go-metrics with HDR histograms,
// for latencies.
//
// # Usage
//
//	latency := metrics.NewCustomTimer(metrics.NewHistogram(histogram.NewSample()), metrics.NewMeter())
//	latency.Update(took)
//
// Values are nanoseconds from [MinValue] to [MaxValue], with a precision of two
// significant digits; a value outside this range is recorded as the nearest bound.
// Count, Sum and Mean cover all values; the quantiles, Min and Max cover the last one
// to two periods.
package histogram

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

const (
	// MinValue is the shortest recorded time; a shorter one is recorded as MinValue.
	MinValue = time.Nanosecond
	// MaxValue is the longest recorded time; a longer one is recorded as MaxValue.
	MaxValue = time.Minute
	// significantDigits is the precision. Two digits take 31 KB for each histogram, and
	// a Sample has three histograms.
	significantDigits = 2
	// defaultPeriod is the length of a window. A value counts for the quantiles for at
	// least one period and at most windowCount periods.
	defaultPeriod = 30 * time.Second
	// snapshotQuantiles is the number of quantiles that represent the recent values in
	// a snapshot.
	snapshotQuantiles = 100
	// windowCount is the number of periods that the quantiles cover.
	windowCount = 2
)

// Option configures a Sample.
type Option func(*Sample)

// WithPeriod is a functional option that sets the length of a period of the quantiles.
func WithPeriod(d time.Duration) Option {
	return func(s *Sample) { s.period = d }
}

// WithClock is a functional option that replaces time.Now.
func WithClock(now func() time.Time) Option {
	return func(s *Sample) { s.now = now }
}

// Sample implements metrics.Sample. It is safe for concurrent use.
type Sample struct {
	period time.Duration
	now    func() time.Time

	mu           sync.Mutex
	recent       *hdrhistogram.WindowedHistogram
	lastRotation time.Time
	count        int64
	sum          int64
}

var _ metrics.Sample = (*Sample)(nil)

// NewSample returns an empty Sample.
func NewSample(opts ...Option) *Sample {
	s := &Sample{
		period: defaultPeriod, now: time.Now,
		recent: hdrhistogram.NewWindowed(windowCount, int64(MinValue), int64(MaxValue), significantDigits),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.lastRotation = s.now()
	return s
}

// Update records a time in nanoseconds.
func (s *Sample) Update(value int64) {
	value = min(max(value, int64(MinValue)), int64(MaxValue))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate()
	s.count++
	s.sum += value
	// RecordValue never fails for a value within the bounds.
	_ = s.recent.Current.RecordValue(value)
}

// rotate starts a new window for each period that has elapsed. The caller must hold
// s.mu.
func (s *Sample) rotate() {
	elapsed := int(s.now().Sub(s.lastRotation) / s.period)
	for range min(elapsed, windowCount) {
		s.recent.Rotate()
	}
	s.lastRotation = s.lastRotation.Add(time.Duration(elapsed) * s.period)
}

// mergeRecent returns the values of all current windows. The caller must hold s.mu.
func (s *Sample) mergeRecent() *hdrhistogram.Histogram {
	s.rotate()
	return s.recent.Merge()
}

// Clear removes all values.
func (s *Sample) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count, s.sum = 0, 0
	for range windowCount {
		s.recent.Rotate()
	}
}

// Count returns the number of all values since the last Clear.
func (s *Sample) Count() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// Sum returns the sum of all values since the last Clear.
func (s *Sample) Sum() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sum
}

// Mean returns the mean of all values since the last Clear; zero if there are none.
func (s *Sample) Mean() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count == 0 {
		return 0
	}
	return float64(s.sum) / float64(s.count)
}

// Percentile returns the quantile p, from 0 to 1, of the recent values.
func (s *Sample) Percentile(p float64) float64 { return s.Percentiles([]float64{p})[0] }

// Percentiles returns the quantiles ps, each from 0 to 1, of the recent values.
func (s *Sample) Percentiles(ps []float64) []float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	recent := s.mergeRecent()
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
	return s.mergeRecent().Max()
}

// Min returns the smallest recent value.
func (s *Sample) Min() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mergeRecent().Min()
}

// StdDev returns the standard deviation of the recent values.
func (s *Sample) StdDev() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mergeRecent().StdDev()
}

// Variance returns the variance of the recent values.
func (s *Sample) Variance() float64 {
	d := s.StdDev()
	return d * d
}

// Size returns the number of recent values.
func (s *Sample) Size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.mergeRecent().TotalCount())
}

// Values returns evenly spaced quantiles of the recent values, since the individual
// values are not stored.
func (s *Sample) Values() []int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	recent := s.mergeRecent()
	if recent.TotalCount() == 0 {
		return nil
	}
	out := make([]int64, 0, snapshotQuantiles)
	for i := range snapshotQuantiles {
		const percent = 100
		out = append(out, recent.ValueAtQuantile(percent*(float64(i)+0.5)/snapshotQuantiles))
	}
	return out
}

// Snapshot returns a snapshot with the count of all values and quantiles of the recent
// ones.
func (s *Sample) Snapshot() metrics.Sample {
	return metrics.NewSampleSnapshot(s.Count(), s.Values())
}
