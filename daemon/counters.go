package daemon

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"fulmarrun/histogram"
	"fulmarrun/operator"
	"fulmarrun/wire"
)

// Names of metrics; docs/OPERATIONS.md lists them.
const (
	metricRequests        = "requests"
	metricLatency         = "requests.latency"
	metricAdmissionWait   = "target.wait"
	metricDroppedMessages = "control.dropped"
	metricMovedSlots      = "slots.given"
	metricHiddenLines     = "log.hidden"
	metricOwnedSlots      = "slots.owned"
	metricInFlight        = "target.inflight"
	metricQueued          = "target.queued"
	metricLimit           = "target.limit"
	metricRateLimit       = "target.rate.limit"
	metricSent            = "target.sent"
	metricConfigNumber    = "config.number"
	metricMembers         = "members"
	metricShutOut         = "requests.shutout"
	metricClients         = "clients"
	metricClientMemory    = "clients.memory.bytes"
	metricEvicted         = "clients.evicted"
	metricNoRoom          = "clients.noroom"
	metricRemainingLease  = "lease.left.seconds"
	metricStoreSilence    = "store.silent.seconds"
	metricStoreTimeline   = "store.timeline"
	metricTargetSilence   = "target.silent.seconds"
)

const (
	// maxKinds bounds the kinds with metrics of their own, since a configuration may
	// define thousands. A kind takes about 92 KB for each outcome.
	maxKinds = 32
	// otherKind is the label of all kinds beyond maxKinds.
	otherKind = "other"
)

// series is the label set of a request metric.
type series struct {
	service, kind, outcome, reason string
}

// counters are the metrics of the process.
type counters struct {
	registry metrics.Registry
	// dropped counts messages that were discarded because the inbox of the control
	// goroutine was full.
	dropped metrics.Counter
	// moved counts slots that were handed over to other members.
	moved metrics.Counter
	// hidden counts log lines that were suppressed by the rate limit.
	hidden metrics.Counter

	mu sync.RWMutex
	// kinds are the pairs of service and kind that have labels of their own.
	kinds    map[[2]string]bool
	requests map[series]metrics.Counter
	latency  map[series]metrics.Timer
	// waits are the times that requests waited for admission to the target of this daemon,
	// by service and kind.
	waits map[series]metrics.Timer
}

func newCounters(r metrics.Registry) *counters {
	return &counters{
		registry: r,
		dropped:  metrics.GetOrRegisterCounter(metricDroppedMessages, r),
		moved:    metrics.GetOrRegisterCounter(metricMovedSlots, r),
		hidden:   metrics.GetOrRegisterCounter(metricHiddenLines, r),
		kinds:    make(map[[2]string]bool),
		requests: make(map[series]metrics.Counter),
		latency:  make(map[series]metrics.Timer),
		waits:    make(map[series]metrics.Timer),
	}
}

// countRequest counts a caller's request by its outcome and records its latency.
func (c *counters) countRequest(service, kind string, r *wire.Response, took time.Duration) {
	s := series{service: service, kind: kind, outcome: r.Outcome.String(), reason: r.Reason}
	if r.Outcome == wire.OutcomeAnswered {
		s.reason = statusClass(r.Status)
	}
	requests, latency := c.metricsFor(s)
	requests.Inc(1)
	latency.Update(took)
}

// recordWait records how long a request waited for admission to the target beside this
// daemon.
func (c *counters) recordWait(service, kind string, queued time.Duration) {
	s := series{service: service, kind: kind}
	c.mu.RLock()
	waits := c.waits[s]
	c.mu.RUnlock()
	if waits == nil {
		c.mu.Lock()
		waits = c.registerWait(s)
		c.mu.Unlock()
	}
	waits.Update(queued)
}

// registerWait returns the wait timer of a kind and registers it if necessary. The
// caller holds the lock.
func (c *counters) registerWait(s series) metrics.Timer {
	s.kind = c.kindLabel(s)
	waits := c.waits[s]
	if waits == nil {
		waits = newTimer()
		c.waits[s] = waits
		_ = c.registry.Register(operator.LabelledName(metricAdmissionWait, "service", s.service, "kind", s.kind), waits)
	}
	return waits
}

// kindLabel returns the label of a kind: its name, or otherKind. The caller holds the
// lock.
func (c *counters) kindLabel(s series) string {
	kind := [2]string{s.service, s.kind}
	if !c.kinds[kind] && len(c.kinds) >= maxKinds {
		return otherKind
	}
	c.kinds[kind] = true
	return s.kind
}

func newTimer() metrics.Timer {
	return metrics.NewCustomTimer(metrics.NewHistogram(histogram.NewSample()), metrics.NewMeter())
}

// statusClass returns the class of an HTTP status, such as 2xx.
func statusClass(status uint16) string {
	return strconv.Itoa(int(status)/http.StatusContinue) + "xx"
}

// metricsFor returns the metrics of a series. Latencies are kept by outcome, not by
// reason.
func (c *counters) metricsFor(s series) (metrics.Counter, metrics.Timer) {
	c.mu.RLock()
	requests := c.requests[s]
	latency := c.latency[series{service: s.service, kind: s.kind, outcome: s.outcome}]
	c.mu.RUnlock()
	if requests != nil && latency != nil {
		return requests, latency
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register(s)
}

// register returns the metrics of a series and registers them if necessary. The caller
// holds the lock.
func (c *counters) register(s series) (metrics.Counter, metrics.Timer) {
	s.kind = c.kindLabel(s)
	requests := c.requests[s]
	if requests == nil {
		requests = metrics.NewCounter()
		c.requests[s] = requests
		_ = c.registry.Register(operator.LabelledName(metricRequests,
			"service", s.service, "kind", s.kind, "outcome", s.outcome, "reason", s.reason), requests)
	}
	s.reason = ""
	latency := c.latency[s]
	if latency == nil {
		latency = newTimer()
		c.latency[s] = latency
		_ = c.registry.Register(operator.LabelledName(metricLatency,
			"service", s.service, "kind", s.kind, "outcome", s.outcome), latency)
	}
	return requests, latency
}

// totals are counts since the start of the process.
type totals struct {
	answered, refused, unknown, hidden int64
}

// totals sums the requests of all kinds.
func (c *counters) totals() totals {
	out := totals{hidden: c.hidden.Count()}
	c.mu.RLock()
	defer c.mu.RUnlock()
	for s, requests := range c.requests {
		switch s.outcome {
		case wire.OutcomeAnswered.String():
			out.answered += requests.Count()
		case wire.OutcomeNotRun.String():
			out.refused += requests.Count()
		default:
			out.unknown += requests.Count()
		}
	}
	return out
}
