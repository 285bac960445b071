package admission

import (
	"slices"
	"time"
)

const (
	// workSamples is the number of latencies of a kind that are kept.
	workSamples = 64
	// minWorkSamples is the number of latencies from which on a kind's are known.
	minWorkSamples = 8
	// workRefresh is after how many latencies the summary is calculated again.
	workRefresh = 8
	// shortQuantile is the divisor of the number of samples that gives the rank of the
	// least latency to expect. A low quantile is used because many answers come sooner
	// than the mean.
	shortQuantile = 4
	// workTTL is how long a kind's latencies are used after the last one. Without an end,
	// a kind that is refused for them would never be measured again.
	workTTL = 5 * time.Second
)

// workTimes summarizes the recent latencies of one kind at the target, in nanoseconds. They
// include the nested calls that a run waits for.
type workTimes struct {
	samples [workSamples]int64
	count   int
	lastAt  time.Time
	// low is the 25th percentile and mean the mean of the samples.
	low  int64
	mean int64
}

// record adds the latency of a completion. A run that was cancelled later than low shows
// that the work takes at least that long; one cancelled earlier shows nothing.
func (w *workTimes) record(done Completion, now time.Time) {
	latency := int64(done.Latency)
	switch {
	case done.Result == OK:
	case done.Result == Cancelled && w.known(now) && latency > w.low:
	default:
		return
	}
	if !w.lastAt.IsZero() && now.Sub(w.lastAt) > workTTL {
		w.count = 0
	}
	w.lastAt = now
	w.samples[w.count%workSamples] = latency
	w.count++
	if w.count%workRefresh == 0 {
		w.summarize()
	}
}

func (w *workTimes) summarize() {
	sorted := w.samples
	recent := sorted[:min(w.count, workSamples)]
	slices.Sort(recent)
	w.low = recent[len(recent)/shortQuantile]
	sum := int64(0)
	for _, latency := range recent {
		sum += latency
	}
	w.mean = sum / int64(len(recent))
}

// known reports whether there are enough recent latencies.
func (w *workTimes) known(now time.Time) bool {
	return w.count >= minWorkSamples && now.Sub(w.lastAt) <= workTTL
}
