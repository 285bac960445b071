package operator_test

import (
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"fulmarrun/operator"
)

func TestExport(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("caller.requests", r).Inc(3)
	metrics.GetOrRegisterGauge("queue-length", r).Update(-2)
	metrics.GetOrRegisterGaugeFloat64("share", r).Update(0.25)
	metrics.GetOrRegisterHistogram("size", r, metrics.NewUniformSample(100)).Update(8)
	metrics.GetOrRegisterTimer("wait", r).Update(1500 * time.Millisecond)
	metrics.GetOrRegisterMeter("work", r).Mark(5)
	var out strings.Builder
	if err := operator.WriteMetrics(&out, r); err != nil {
		t.Fatal(err)
	}
	const want = `# TYPE fulmarrun_caller_requests_total counter
fulmarrun_caller_requests_total 3
# TYPE fulmarrun_queue_length gauge
fulmarrun_queue_length -2
# TYPE fulmarrun_share gauge
fulmarrun_share 0.25
# TYPE fulmarrun_size summary
fulmarrun_size{quantile="0.5"} 8
fulmarrun_size{quantile="0.9"} 8
fulmarrun_size{quantile="0.99"} 8
fulmarrun_size{quantile="0.999"} 8
fulmarrun_size_count 1
# TYPE fulmarrun_wait_seconds summary
fulmarrun_wait_seconds{quantile="0.5"} 1.5
fulmarrun_wait_seconds{quantile="0.9"} 1.5
fulmarrun_wait_seconds{quantile="0.99"} 1.5
fulmarrun_wait_seconds{quantile="0.999"} 1.5
fulmarrun_wait_seconds_count 1
# TYPE fulmarrun_work_total counter
fulmarrun_work_total 5
# TYPE fulmarrun_work_rate gauge
`
	if !strings.HasPrefix(out.String(), want) {
		t.Errorf("got\n%s", out.String())
	}
}

func TestExportLabels(t *testing.T) {
	r := metrics.NewRegistry()
	for _, kind := range []string{"book", `vis"it`} {
		metrics.GetOrRegisterCounter(operator.LabelledName("requests", "kind", kind, "outcome", "not-run"), r).Inc(1)
		metrics.GetOrRegisterTimer(operator.LabelledName("latency", "kind", kind), r).Update(time.Second)
	}
	var out strings.Builder
	if err := operator.WriteMetrics(&out, r); err != nil {
		t.Fatal(err)
	}
	const want = `# TYPE fulmarrun_latency_seconds summary
fulmarrun_latency_seconds{kind="book",quantile="0.5"} 1
fulmarrun_latency_seconds{kind="book",quantile="0.9"} 1
fulmarrun_latency_seconds{kind="book",quantile="0.99"} 1
fulmarrun_latency_seconds{kind="book",quantile="0.999"} 1
fulmarrun_latency_seconds_count{kind="book"} 1
fulmarrun_latency_seconds{kind="vis\"it",quantile="0.5"} 1
fulmarrun_latency_seconds{kind="vis\"it",quantile="0.9"} 1
fulmarrun_latency_seconds{kind="vis\"it",quantile="0.99"} 1
fulmarrun_latency_seconds{kind="vis\"it",quantile="0.999"} 1
fulmarrun_latency_seconds_count{kind="vis\"it"} 1
# TYPE fulmarrun_requests_total counter
fulmarrun_requests_total{kind="book",outcome="not-run"} 1
fulmarrun_requests_total{kind="vis\"it",outcome="not-run"} 1
`
	if out.String() != want {
		t.Errorf("got\n%s", out.String())
	}
}
