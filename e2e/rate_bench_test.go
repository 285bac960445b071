package e2e_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fulmarrun/caller"
)

// BenchmarkRate sends requests to each of four daemons at several fixed rates: GET and
// POST alternate, for random keys, without waiting for earlier responses. A latency is
// measured from the time at which the request was due.
func BenchmarkRate(b *testing.B) {
	const duration = 10 * time.Second
	for _, rate := range []int{500, 1000, 2000, 3143} {
		b.Run(fmt.Sprintf("each=%d", rate), func(b *testing.B) {
			d := deploy(b, 4, false)
			d.awaitServing()
			d.sendAtRate(rate, 5*time.Second)
			for b.Loop() {
				l := d.sendAtRate(rate, duration)
				b.ReportMetric(float64(l.latency.ValueAtPercentile(50))/1e3, "p50-ms")
				b.ReportMetric(float64(l.latency.ValueAtPercentile(99))/1e3, "p99-ms")
				b.ReportMetric(float64(l.latency.TotalCount())/duration.Seconds(), "answered/s")
				b.ReportMetric(float64(l.failed), "failed")
				b.Logf("not answered, by reason: %v", l.reasons)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// rateResult collects the results of requests that are sent at a fixed rate.
type rateResult struct {
	client http.Client

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	failed  int
	// reasons counts the failed requests by reason.
	reasons map[string]int
}

// sendAtRate sends rate requests a second to each instance and waits for all results.
func (d *deployment) sendAtRate(rate int, duration time.Duration) *rateResult {
	l := &rateResult{
		client:  http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: 5 * time.Second},
		latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
		reasons: make(map[string]int),
	}
	defer l.client.CloseIdleConnections()
	var wg sync.WaitGroup
	for n, i := range d.instances {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(measureSeed, uint64(n)))
			start := time.Now()
			for sent := range int(duration.Seconds() * float64(rate)) {
				due := start.Add(time.Duration(sent) * time.Second / time.Duration(rate))
				time.Sleep(time.Until(due))
				method := []string{http.MethodGet, http.MethodPost}[sent%2]
				url := fmt.Sprintf("http://%s/agenda/visits/%d", i.callerAddr, random.IntN(100_000))
				wg.Go(func() { l.send(method, url, due) })
			}
		})
	}
	wg.Wait()
	return l
}

// send sends a request and records its latency since due, or the reason of its failure.
func (l *rateResult) send(method, url string, due time.Time) {
	answered, reason := false, "connection"
	if req, err := http.NewRequest(method, url, nil); err == nil {
		if resp, err := l.client.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			answered = resp.Header.Get(caller.HeaderOutcome) == "answered"
			reason = resp.Header.Get(caller.HeaderReason)
		}
	}
	took := time.Since(due)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !answered {
		l.failed++
		l.reasons[reason]++
		return
	}
	_ = l.latency.RecordValue(took.Microseconds())
}
