package daemon

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"fulmarrun/caller"
)

// counters are the metrics of the process.
type counters struct {
	answered metrics.Counter
	notRun   metrics.Counter
	unknown  metrics.Counter
	latency  metrics.Timer
	// dropped counts messages that the control goroutine had no room for.
	dropped metrics.Counter
	// moved counts slots that were given away.
	moved metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	return counters{
		answered: metrics.GetOrRegisterCounter("requests.answered", r),
		notRun:   metrics.GetOrRegisterCounter("requests.notrun", r),
		unknown:  metrics.GetOrRegisterCounter("requests.unknown", r),
		latency:  metrics.GetOrRegisterTimer("requests.latency", r),
		dropped:  metrics.GetOrRegisterCounter("control.dropped", r),
		moved:    metrics.GetOrRegisterCounter("slots.given", r),
	}
}

// count measures the requests of callers.
func (c counters) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		next.ServeHTTP(w, r)
		c.latency.UpdateSince(start)
		switch w.Header().Get(caller.HeaderOutcome) {
		case "answered":
			c.answered.Inc(1)
		case "not-run":
			c.notRun.Inc(1)
		default:
			c.unknown.Inc(1)
		}
	})
}
