package e2e_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkPath compares the latency of a request sent directly to a target, through
// the target's own daemon, and through another daemon. The three alternate within one
// run, so that other load on the machine affects all of them equally.
func BenchmarkPath(b *testing.B) {
	d := deploy(b, 4, false)
	d.awaitServing()
	owner := d.owner("17")
	other := d.other(owner)
	routes := []struct{ name, url string }{
		{"direct", "http://" + owner.targetAddr + "/visits/17"},
		{"local", "http://" + owner.callerAddr + "/agenda/visits/17"},
		{"forwarded", "http://" + other.callerAddr + "/agenda/visits/17"},
	}
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		b.Run(method, func(b *testing.B) {
			latency := make([]*hdrhistogram.Histogram, len(routes))
			for i := range latency {
				latency[i] = hdrhistogram.New(1, int64(10*time.Second), 3)
			}
			for range 500 {
				for _, r := range routes {
					timeRequest(b, method, r.url)
				}
			}
			for b.Loop() {
				for i, r := range routes {
					_ = latency[i].RecordValue(int64(timeRequest(b, method, r.url)))
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

// timeRequest returns the time from a request to the end of its response body.
func timeRequest(b *testing.B, method, url string) time.Duration {
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
