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

// BenchmarkRate sends so many requests a second to each of four daemons, reads
// and bookings in turn, for random keys, whether or not earlier ones are
// answered. A latency counts from when the request was due.
func BenchmarkRate(b *testing.B) {
	const length = 10 * time.Second
	for _, rate := range []int{500, 1000, 2000, 3143} {
		b.Run(fmt.Sprintf("each=%d", rate), func(b *testing.B) {
			d := deploy(b, 4, false)
			d.serving()
			d.drive(rate, 5*time.Second)
			for b.Loop() {
				l := d.drive(rate, length)
				b.ReportMetric(float64(l.latency.ValueAtPercentile(50))/1e3, "p50-ms")
				b.ReportMetric(float64(l.latency.ValueAtPercentile(99))/1e3, "p99-ms")
				b.ReportMetric(float64(l.latency.TotalCount())/length.Seconds(), "answered/s")
				b.ReportMetric(float64(l.failed), "failed")
				b.Logf("not answered, by reason: %v", l.reasons)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// arrivals is what came of requests at a fixed rate.
type arrivals struct {
	client http.Client

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	failed  int
	// reasons are those of the requests that were not answered.
	reasons map[string]int
}

// drive sends rate requests a second to each instance.
func (d *deployment) drive(rate int, length time.Duration) *arrivals {
	l := &arrivals{
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
			for sent := range int(length.Seconds() * float64(rate)) {
				due := start.Add(time.Duration(sent) * time.Second / time.Duration(rate))
				time.Sleep(time.Until(due))
				method := []string{http.MethodGet, http.MethodPost}[sent%2]
				url := fmt.Sprintf("http://%s/agenda/visits/%d", i.caller, random.IntN(100_000))
				wg.Go(func() { l.send(method, url, due) })
			}
		})
	}
	wg.Wait()
	return l
}

func (l *arrivals) send(method, url string, due time.Time) {
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
