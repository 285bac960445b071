package e2e_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkPath compares the latency of a request to a target without a router,
// through the daemon beside it, and through another daemon, in one run: the
// three take turns, so that whatever else the machine does hits all alike.
func BenchmarkPath(b *testing.B) {
	d := deploy(b, 4, false)
	d.serving()
	owner := d.owner("17")
	other := d.other(owner)
	routes := []struct{ name, url string }{
		{"direct", "http://" + owner.target + "/visits/17"},
		{"local", "http://" + owner.caller + "/agenda/visits/17"},
		{"forwarded", "http://" + other.caller + "/agenda/visits/17"},
	}
	for _, kind := range []string{http.MethodGet, http.MethodPost} {
		b.Run(kind, func(b *testing.B) {
			latency := make([]*hdrhistogram.Histogram, len(routes))
			for i := range latency {
				latency[i] = hdrhistogram.New(1, int64(10*time.Second), 3)
			}
			for range 500 {
				for _, r := range routes {
					timed(b, kind, r.url)
				}
			}
			for b.Loop() {
				for i, r := range routes {
					_ = latency[i].RecordValue(int64(timed(b, kind, r.url)))
				}
			}
			b.ReportMetric(0, "ns/op")
			for i, r := range routes {
				for _, p := range []float64{50, 99} {
					value := float64(latency[i].ValueAtPercentile(p))
					b.ReportMetric(value/1e3, fmt.Sprintf("%s-p%.0f-us", r.name, p))
					b.ReportMetric(value/float64(latency[0].ValueAtPercentile(p)), fmt.Sprintf("%s-p%.0f-ratio", r.name, p))
				}
			}
		})
	}
}

func timed(b *testing.B, method, url string) time.Duration {
	start := time.Now()
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		b.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		b.Fatalf("%s: %d %v", url, resp.StatusCode, resp.Header)
	}
	buf := make([]byte, 4096)
	for {
		if _, err := resp.Body.Read(buf); err != nil {
			break
		}
	}
	_ = resp.Body.Close()
	return time.Since(start)
}
