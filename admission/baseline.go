package admission

import (
	"math"
	"time"
)

const (
	// bucketSize is the number of samples that close the first bucket; each
	// further one takes twice as many, up to bucketMax.
	bucketSize = 64
	// bucketMax is the greatest number of samples in a bucket.
	bucketMax = 512
	// bucketMin is the number of samples from which a mean is used.
	bucketMin = 16
	// bucketCount is the number of closed buckets that are kept.
	bucketCount = 6
	// confidence is the number of standard errors between a bucket's mean and
	// what counts as the baseline.
	confidence = 1.5
	// certainty is the number of standard errors by which a mean is surely off.
	certainty = 3
	// outweighed is how many times the samples of a bucket another must hold to
	// set it aside.
	outweighed = 4
	// bucketTTL is how long a closed bucket counts.
	bucketTTL = time.Minute
)

// sample sums up latencies.
type sample struct {
	count int
	sum   float64
	sumSq float64
	least float64
}

// add takes one latency in, in nanoseconds.
func (s *sample) add(latency float64) {
	if s.count == 0 || latency < s.least {
		s.least = latency
	}
	s.count++
	s.sum += latency
	s.sumSq += latency * latency
}

// mean returns the mean latency in nanoseconds; zero without samples.
func (s *sample) mean() float64 {
	if s.count == 0 {
		return 0
	}
	return s.sum / float64(s.count)
}

// merge takes all of another's latencies in.
func (s *sample) merge(o *sample) {
	if s.count == 0 || o.count > 0 && o.least < s.least {
		s.least = o.least
	}
	s.count += o.count
	s.sum += o.sum
	s.sumSq += o.sumSq
}

// variation returns the standard deviation as a share of the mean.
func (s *sample) variation() float64 {
	mean := s.mean()
	if s.count < 2 || mean <= 0 {
		return 0
	}
	variance := s.sumSq/float64(s.count) - mean*mean
	return math.Sqrt(max(variance, 0)) / mean
}

// upper returns the greatest mean that the samples make likely, so that few
// samples don't set a standard that chance alone met.
func (s *sample) upper() float64 {
	if s.count == 0 {
		return 0
	}
	return s.mean() * (1 + confidence*s.variation()/math.Sqrt(float64(s.count)))
}

// bucket is a closed sample and when it was closed.
type bucket struct {
	sample
	at time.Time
}

// Baseline is the target's own best latency: the lowest mean of the buckets of
// the last minute. Only samples that began while the target was lightly loaded
// may be added, so that overload does not become the measure of itself.
type Baseline struct {
	open   sample
	closed [bucketCount]bucket
	next   int
	size   int
	// best is the lowest bucket; it outlives its bucket until another closes.
	best bucket
	// mean, variation and least are read from best, or from the open bucket
	// before any was closed.
	mean      time.Duration
	variation float64
	least     time.Duration
}

// Add takes in the latency of a request that began under light load.
func (b *Baseline) Add(latency time.Duration, now time.Time) {
	b.open.add(float64(latency))
	if b.open.count >= max(b.size, bucketSize) {
		b.size = min(2*b.open.count, bucketMax)
		b.close(now)
	}
	if b.best.count == 0 && b.open.count >= bucketMin {
		b.read(&b.open)
	}
}

// read takes the baseline from a sample.
func (b *Baseline) read(s *sample) {
	b.mean = time.Duration(s.upper())
	b.variation = s.variation()
	b.least = time.Duration(s.least)
}

// Mean returns the baseline; zero while too little is known.
func (b *Baseline) Mean() time.Duration {
	return b.mean
}

// Variation returns the standard deviation of the baseline's latencies as a
// share of their mean.
func (b *Baseline) Variation() float64 {
	return b.variation
}

// Least returns the least latency in the baseline's bucket.
func (b *Baseline) Least() time.Duration {
	return b.least
}

// near returns the greatest mean of so many latencies that is near the
// baseline, with so many standard errors for chance.
func (b *Baseline) near(samples int, errors float64) float64 {
	share := errors * b.variation / math.Sqrt(float64(samples))
	return float64(b.mean) * (nearness + share)
}

// half returns the mean of so many latencies under which the baseline is surely
// at least twice too long.
func (b *Baseline) half(samples int) float64 {
	share := certainty * b.variation / math.Sqrt(float64(samples))
	return float64(b.mean) / 2 * max(0, 1-share)
}

// Stale reports whether the baseline is older than its window and should be
// measured anew.
func (b *Baseline) Stale(now time.Time) bool {
	return b.best.count > 0 && now.Sub(b.best.at) > bucketTTL
}

// Thin reports whether the baseline rests on few samples for their variation.
func (b *Baseline) Thin() bool {
	best := &b.best.sample
	if best.count == 0 {
		best = &b.open
	}
	variation := best.variation()
	return float64(best.count) < max(bucketMax*variation*variation, paceMin)
}

// Reset forgets everything.
func (b *Baseline) Reset() {
	*b = Baseline{}
}

// begin forgets everything but these samples, which are the baseline at once if
// they are enough. The fewer they are, the further it lies above their mean.
func (b *Baseline) begin(s sample) {
	b.Reset()
	b.open = s
	if s.count >= paceMin {
		b.read(&b.open)
	}
}

// Refresh closes the open bucket early if the baseline is stale and the bucket
// holds enough to be used.
func (b *Baseline) Refresh(now time.Time) {
	if b.Stale(now) && b.open.count >= bucketMin {
		b.close(now)
	}
}

// close stores the open bucket and chooses the best again.
func (b *Baseline) close(now time.Time) {
	b.closed[b.next] = bucket{sample: b.open, at: now}
	b.next = (b.next + 1) % bucketCount
	b.open = sample{}
	largest := 0
	for i := range b.closed {
		largest = max(largest, b.closed[i].count)
	}
	b.best = bucket{}
	for i := range b.closed {
		c := &b.closed[i]
		if c.count*outweighed <= largest || now.Sub(c.at) > bucketTTL {
			continue
		}
		if b.best.count == 0 || c.upper() < b.best.upper() {
			b.best = *c
		}
	}
	b.read(&b.best.sample)
}
