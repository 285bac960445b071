package admission

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// defaultHedgeCost is the greatest cost of repeating at which a request is
	// hedged.
	defaultHedgeCost = 1.0
	// hedgeQuantile is the percentile of latency after which a second try is
	// sent.
	hedgeQuantile = 95
	// hedgeMin is the number of latencies without which nothing is hedged.
	hedgeMin = 30
	// hedgeWindow is the number of latencies after which older ones go.
	hedgeWindow = 1000
	// hedgeRefresh is the number of latencies between two readings of the
	// percentile.
	hedgeRefresh = 10
	// hedgeShortest is the shortest time after which a second try is sent. It would
	// hardly be answered sooner than a first one that takes no longer.
	hedgeShortest = time.Millisecond
	// hedgeLongest is the longest latency that is told apart from longer ones.
	hedgeLongest = time.Minute
)

// WithMaxHedgeCost is a functional option that sets the greatest cost of repeating
// at which a request is hedged. A negative one hedges nothing.
func WithMaxHedgeCost(cost float64) Option {
	return func(s *settings) { s.hedgeCost = cost }
}

// Hedge decides when a second try of a request is sent while the first one has
// no answer. It is not safe for concurrent use.
type Hedge struct {
	cost     float64
	recent   *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	count    int
	delay    time.Duration
}

// NewHedge returns a Hedge that knows no latency.
func NewHedge(opts ...Option) *Hedge {
	s := newSettings(opts)
	return &Hedge{cost: s.hedgeCost, recent: newHistogram(), previous: newHistogram()}
}

// newHistogram returns a histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, hedgeLongest.Microseconds(), 2)
}

// Record takes in the latency of an answer. Of a hedged request, only the try
// that was answered counts.
func (h *Hedge) Record(latency time.Duration) {
	us := min(max(latency, time.Microsecond), hedgeLongest).Microseconds()
	if h.recent.RecordValue(us) != nil {
		return
	}
	h.count++
	if h.count%hedgeRefresh == 0 {
		h.refresh()
	}
}

// refresh reads the percentile from the recent latencies and the ones before.
func (h *Hedge) refresh() {
	us := max(h.recent.ValueAtPercentile(hedgeQuantile), h.previous.ValueAtPercentile(hedgeQuantile))
	h.delay = max(time.Duration(us)*time.Microsecond, hedgeShortest)
	if h.recent.TotalCount() >= hedgeWindow {
		h.recent, h.previous = h.previous, h.recent
		h.recent.Reset()
	}
}

// Delay returns how long a request with this cost of repeating waits for its
// first answer before a second try; false if it is never hedged. The second try
// is still subject to a Budget.
func (h *Hedge) Delay(cost float64) (time.Duration, bool) {
	if cost > h.cost || h.count < hedgeMin {
		return 0, false
	}
	return h.delay, true
}
