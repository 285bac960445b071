package admission

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// defaultHedgeCost is the maximum cost of repeating a request at which it is
	// hedged.
	defaultHedgeCost = 1.0
	// hedgePercentile is the percentile of the latency after which a second try is
	// sent.
	hedgePercentile = 95
	// minHedgeSamples is the minimum number of latencies before any request is hedged.
	minHedgeSamples = 30
	// hedgeWindow is the number of latencies after which the older histogram is
	// discarded.
	hedgeWindow = 1000
	// hedgeRefreshEvery is the number of latencies after which the percentile is
	// computed again.
	hedgeRefreshEvery = 10
	// minHedgeDelay is the shortest time after which a second try is sent. An earlier
	// one would hardly be answered sooner than a first try that takes no longer than
	// that.
	minHedgeDelay = time.Millisecond
	// maxHedgeLatency is the highest latency that the histogram resolves; longer ones
	// are recorded as this one.
	maxHedgeLatency = time.Minute
)

// WithMaxHedgeCost is a functional option that sets the maximum cost of repeating a
// request at which it is hedged. A negative cost disables hedging.
func WithMaxHedgeCost(cost float64) Option {
	return func(s *settings) { s.maxHedgeCost = cost }
}

// Hedge decides when a second try of a request is sent while the first one is
// unanswered. It is not safe for concurrent use.
type Hedge struct {
	// cost is the maximum cost of repeating a request at which it is hedged.
	cost     float64
	recent   *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	count    int
	delay    time.Duration
}

// NewHedge returns a Hedge without recorded latencies.
func NewHedge(opts ...Option) *Hedge {
	s := newSettings(opts)
	return &Hedge{cost: s.maxHedgeCost, recent: newHistogram(), previous: newHistogram()}
}

// newHistogram returns a histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxHedgeLatency.Microseconds(), 2)
}

// Record records the latency of a response. For a hedged request, only the try that was
// answered is recorded.
func (h *Hedge) Record(latency time.Duration) {
	us := min(max(latency, time.Microsecond), maxHedgeLatency).Microseconds()
	if h.recent.RecordValue(us) != nil {
		return
	}
	h.count++
	if h.count%hedgeRefreshEvery == 0 {
		h.refresh()
	}
}

// refresh computes the delay as the higher percentile of the recent and the previous
// histogram.
func (h *Hedge) refresh() {
	us := max(h.recent.ValueAtPercentile(hedgePercentile), h.previous.ValueAtPercentile(hedgePercentile))
	h.delay = max(time.Duration(us)*time.Microsecond, minHedgeDelay)
	if h.recent.TotalCount() >= hedgeWindow {
		h.recent, h.previous = h.previous, h.recent
		h.recent.Reset()
	}
}

// Delay returns how long to wait for the first response to a request with this cost of
// repeating before a second try is sent; false if the request is never hedged. The
// second try is still subject to a RetryBudget.
func (h *Hedge) Delay(cost float64) (time.Duration, bool) {
	if cost > h.cost || h.count < minHedgeSamples {
		return 0, false
	}
	return h.delay, true
}
