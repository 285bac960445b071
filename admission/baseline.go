package admission

import (
	"math"
	"time"
)

const (
	// firstBucketSize is the number of samples that close the first bucket. Each later
	// bucket takes twice as many as the one before, up to maxBucketSize.
	firstBucketSize = 64
	// maxBucketSize is the maximum number of samples in a bucket.
	maxBucketSize = 512
	// minSamples is the number of samples from which a mean is used.
	minSamples = 16
	// bucketCount is the number of closed buckets that are kept.
	bucketCount = 6
	// upperStdErrors is the number of standard errors that are added to a bucket's mean
	// to obtain the baseline.
	upperStdErrors = 1.5
	// certainStdErrors is the maximum number of standard errors by which a mean can
	// plausibly be off.
	certainStdErrors = 3
	// outweighFactor is how many times the samples of a bucket the largest bucket must
	// hold for the smaller one to be ignored.
	outweighFactor = 4
	// bucketTTL is how long a closed bucket is used.
	bucketTTL = time.Minute
)

// latencySummary accumulates latencies in nanoseconds: their count, sum, sum of squares
// and minimum.
type latencySummary struct {
	count   int
	sum     float64
	sumSq   float64
	minimum float64
}

// add accumulates one latency in nanoseconds.
func (s *latencySummary) add(latency float64) {
	if s.count == 0 || latency < s.minimum {
		s.minimum = latency
	}
	s.count++
	s.sum += latency
	s.sumSq += latency * latency
}

// mean returns the mean latency in nanoseconds; zero without samples.
func (s *latencySummary) mean() float64 {
	if s.count == 0 {
		return 0
	}
	return s.sum / float64(s.count)
}

// merge adds all latencies of o.
func (s *latencySummary) merge(o *latencySummary) {
	if s.count == 0 || o.count > 0 && o.minimum < s.minimum {
		s.minimum = o.minimum
	}
	s.count += o.count
	s.sum += o.sum
	s.sumSq += o.sumSq
}

// variation returns the coefficient of variation: the standard deviation as a fraction
// of the mean.
func (s *latencySummary) variation() float64 {
	mean := s.mean()
	if s.count < 2 || mean <= 0 {
		return 0
	}
	variance := s.sumSq/float64(s.count) - mean*mean
	return math.Sqrt(max(variance, 0)) / mean
}

// upperMean returns the upper confidence bound of the mean, so that a mean of few
// samples that is low by chance does not become the baseline.
func (s *latencySummary) upperMean() float64 {
	if s.count == 0 {
		return 0
	}
	return s.mean() * (1 + upperStdErrors*s.variation()/math.Sqrt(float64(s.count)))
}

// bucket is a closed latencySummary and the time when it was closed.
type bucket struct {
	latencySummary
	at time.Time
}

// Baseline is the latency of the target without load: the lowest bucket mean of the
// last minute. Only latencies of requests that started under light load may be added,
// so that overload does not raise the value that it is measured against.
type Baseline struct {
	open   latencySummary
	closed [bucketCount]bucket
	next   int
	size   int
	// best is the closed bucket with the lowest mean. It stays in use after bucketTTL
	// until another bucket is closed.
	best bucket
	// mean, variation and minimum are those of best, or of the open bucket while no
	// bucket has been closed.
	mean      time.Duration
	variation float64
	minimum   time.Duration
}

// Add records the latency of a request that started under light load.
func (b *Baseline) Add(latency time.Duration, now time.Time) {
	b.open.add(float64(latency))
	if b.open.count >= max(b.size, firstBucketSize) {
		b.size = min(2*b.open.count, maxBucketSize)
		b.close(now)
	}
	if b.best.count == 0 && b.open.count >= minSamples {
		b.setFrom(&b.open)
	}
}

// setFrom sets the mean, variation and minimum from a summary.
func (b *Baseline) setFrom(s *latencySummary) {
	b.mean = time.Duration(s.upperMean())
	b.variation = s.variation()
	b.minimum = time.Duration(s.minimum)
}

// Mean returns the baseline latency; zero while there are too few samples.
func (b *Baseline) Mean() time.Duration {
	return b.mean
}

// Variation returns the standard deviation of the baseline's latencies as a fraction of
// their mean.
func (b *Baseline) Variation() float64 {
	return b.variation
}

// MinLatency returns the minimum latency of the bucket that the baseline is read from.
func (b *Baseline) MinLatency() time.Duration {
	return b.minimum
}

// nearBound returns the highest mean of the given number of latencies that still counts
// as near the baseline. It includes the given number of standard errors for random
// variation.
func (b *Baseline) nearBound(samples int, errors float64) float64 {
	share := errors * b.variation / math.Sqrt(float64(samples))
	return float64(b.mean) * (nearFactor + share)
}

// halfBound returns the mean of the given number of latencies below which the baseline
// is certainly at least twice too high.
func (b *Baseline) halfBound(samples int) float64 {
	share := certainStdErrors * b.variation / math.Sqrt(float64(samples))
	return float64(b.mean) / 2 * max(0, 1-share)
}

// Stale reports whether the best bucket is older than bucketTTL, so that the baseline
// has to be measured again.
func (b *Baseline) Stale(now time.Time) bool {
	return b.best.count > 0 && now.Sub(b.best.at) > bucketTTL
}

// Undersampled reports whether the baseline has too few samples for their variation.
func (b *Baseline) Undersampled() bool {
	best := &b.best.latencySummary
	if best.count == 0 {
		best = &b.open
	}
	variation := best.variation()
	return float64(best.count) < max(maxBucketSize*variation*variation, minBaselineSamples)
}

// Reset discards all samples.
func (b *Baseline) Reset() {
	*b = Baseline{}
}

// resetTo discards all samples but those of s, which become the baseline at once if
// there are enough. The fewer they are, the further the baseline lies above their mean.
func (b *Baseline) resetTo(s latencySummary) {
	b.Reset()
	b.open = s
	if s.count >= minBaselineSamples {
		b.setFrom(&b.open)
	}
}

// Refresh closes the open bucket early if the baseline is stale and the bucket has
// enough samples to be used.
func (b *Baseline) Refresh(now time.Time) {
	if b.Stale(now) && b.open.count >= minSamples {
		b.close(now)
	}
}

// close stores the open bucket and selects the best bucket again.
func (b *Baseline) close(now time.Time) {
	b.closed[b.next] = bucket{latencySummary: b.open, at: now}
	b.next = (b.next + 1) % bucketCount
	b.open = latencySummary{}
	largest := 0
	for i := range b.closed {
		largest = max(largest, b.closed[i].count)
	}
	b.best = bucket{}
	for i := range b.closed {
		c := &b.closed[i]
		if c.count*outweighFactor <= largest || now.Sub(c.at) > bucketTTL {
			continue
		}
		if b.best.count == 0 || c.upperMean() < b.best.upperMean() {
			b.best = *c
		}
	}
	b.setFrom(&b.best.latencySummary)
}
