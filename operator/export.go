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

// namespace is the prefix of the names of exported metrics.
const namespace = "fulmarrun_"

// WriteMetrics writes the metrics of r to w in Prometheus's text format, sorted by
// name.
//
// Counters and meters become counters with the suffix _total. The one-minute rate of
// a meter also becomes a gauge with the suffix _rate. Histograms become summaries,
// and timers become summaries in seconds with the suffix _seconds. Summaries have no
// _sum, since the registry knows the sum of a sample only. Names made with
// LabelledName keep their labels.
func WriteMetrics(w io.Writer, r metrics.Registry) error {
	metricsByName := map[string]any{}
	r.Each(func(name string, metric any) { metricsByName[name] = metric })
	e := &exporter{w: bufio.NewWriter(w)}
	for _, name := range slices.Sorted(maps.Keys(metricsByName)) {
		base, labels, _ := strings.Cut(name, "{")
		e.write(metricName(base), strings.TrimSuffix(labels, "}"), metricsByName[name])
	}
	if err := e.w.Flush(); err != nil {
		return fmt.Errorf("export metrics: %w", err)
	}
	return nil
}

// LabelledName returns the name of a metric with labels. The labels alternate between
// names and values.
func LabelledName(name string, labels ...string) string {
	var b strings.Builder
	b.WriteString(name)
	for i := 0; i+1 < len(labels); i += 2 {
		b.WriteByte("{,"[min(i, 1)])
		b.WriteString(labels[i] + "=" + strconv.Quote(labels[i+1]))
	}
	if len(labels) > 1 {
		b.WriteByte('}')
	}
	return b.String()
}

// exporter writes single metrics.
type exporter struct {
	w *bufio.Writer
	// lastTyped is the name of the metric whose type was written last.
	lastTyped string
}

func (e *exporter) write(name, labels string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		e.writeValue(name+"_total", labels, "counter", float64(m.Count()))
	case metrics.Gauge:
		e.writeValue(name, labels, "gauge", float64(m.Value()))
	case metrics.GaugeFloat64:
		e.writeValue(name, labels, "gauge", m.Value())
	case metrics.Meter:
		s := m.Snapshot()
		e.writeValue(name+"_total", labels, "counter", float64(s.Count()))
		e.writeValue(name+"_rate", labels, "gauge", s.Rate1())
	case metrics.Histogram:
		e.summary(name, labels, m.Percentiles, m.Count(), 1)
	case metrics.Timer:
		e.summary(name+"_seconds", labels, m.Percentiles, m.Count(), 1/float64(time.Second))
	}
}

// writeType writes the type of a metric before its first line. It does nothing if the
// type of this metric was the last one written.
func (e *exporter) writeType(name, kind string) {
	if e.lastTyped != name {
		_, _ = fmt.Fprintf(e.w, "# TYPE %s %s\n", name, kind)
		e.lastTyped = name
	}
}

func (e *exporter) writeValue(name, labels, kind string, value float64) {
	e.writeType(name, kind)
	_, _ = fmt.Fprintf(e.w, "%s%s %s\n", name, inBraces(labels), formatNumber(value))
}

// summary writes a metric's quantiles, each multiplied by unit, and its count.
func (e *exporter) summary(name, labels string, percentiles func([]float64) []float64, count int64, unit float64) {
	quantiles := []float64{0.5, 0.9, 0.99, 0.999}
	e.writeType(name, "summary")
	for i, value := range percentiles(quantiles) {
		quantile := "quantile=" + strconv.Quote(formatNumber(quantiles[i]))
		if labels != "" {
			quantile = labels + "," + quantile
		}
		_, _ = fmt.Fprintf(e.w, "%s%s %s\n", name, inBraces(quantile), formatNumber(value*unit))
	}
	_, _ = fmt.Fprintf(e.w, "%s_count%s %d\n", name, inBraces(labels), count)
}

func inBraces(labels string) string {
	if labels == "" {
		return ""
	}
	return "{" + labels + "}"
}

func formatNumber(v float64) string {
	return strconv.FormatFloat(v, 'g', -1, 64)
}

// metricName returns the exported name of a metric: the namespace, then name with
// everything but ASCII letters and digits replaced by underscores.
func metricName(name string) string {
	return namespace + strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
			return r
		}
		return '_'
	}, name)
}
