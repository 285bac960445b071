package operator

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// namespace is the start of the name of each exported metric.
const namespace = "fulmarrun_"

// Export writes the metrics of r to w in Prometheus's text format, by name.
//
// A counter and a meter become a counter with the suffix _total, and a meter's
// rate over a minute a gauge with the suffix _rate. A histogram becomes a
// summary, and a timer one in seconds with the suffix _seconds; there is no
// _sum, since the registry knows that of a sample only.
func Export(w io.Writer, r metrics.Registry) error {
	found := map[string]any{}
	r.Each(func(name string, metric any) { found[name] = metric })
	e := &exporter{w: bufio.NewWriter(w)}
	for _, name := range slices.Sorted(maps.Keys(found)) {
		e.metric(metricName(name), found[name])
	}
	if err := e.w.Flush(); err != nil {
		return fmt.Errorf("export metrics: %w", err)
	}
	return nil
}

// exporter writes single metrics.
type exporter struct {
	w *bufio.Writer
}

func (e *exporter) metric(name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		e.single(name+"_total", "counter", float64(m.Count()))
	case metrics.Gauge:
		e.single(name, "gauge", float64(m.Value()))
	case metrics.GaugeFloat64:
		e.single(name, "gauge", m.Value())
	case metrics.Meter:
		s := m.Snapshot()
		e.single(name+"_total", "counter", float64(s.Count()))
		e.single(name+"_rate", "gauge", s.Rate1())
	case metrics.Histogram:
		s := m.Snapshot()
		e.summary(name, s.Percentiles, s.Count(), 1)
	case metrics.Timer:
		s := m.Snapshot()
		e.summary(name+"_seconds", s.Percentiles, s.Count(), 1/float64(time.Second))
	}
}

func (e *exporter) single(name, kind string, value float64) {
	_, _ = fmt.Fprintf(e.w, "# TYPE %s %s\n%s %s\n", name, kind, name, number(value))
}

// summary writes the quantiles, each multiplied by unit.
func (e *exporter) summary(name string, percentiles func([]float64) []float64, count int64, unit float64) {
	quantiles := []float64{0.5, 0.9, 0.99, 0.999}
	_, _ = fmt.Fprintf(e.w, "# TYPE %s summary\n", name)
	for i, value := range percentiles(quantiles) {
		_, _ = fmt.Fprintf(e.w, "%s{quantile=\"%s\"} %s\n", name, number(quantiles[i]), number(value*unit))
	}
	_, _ = fmt.Fprintf(e.w, "%s_count %d\n", name, count)
}

func number(v float64) string {
	return strconv.FormatFloat(v, 'g', -1, 64)
}

// metricName returns name with everything but letters and digits replaced.
func metricName(name string) string {
	return namespace + strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
			return r
		}
		return '_'
	}, name)
}
