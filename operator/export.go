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

// WriteMetrics writes the metrics of r to w in Prometheus's text format, by name.
//
// A counter and a meter become a counter with the suffix _total, and a meter's
// rate over a minute a gauge with the suffix _rate. A histogram becomes a
// summary, and a timer one in seconds with the suffix _seconds; there is no
// _sum, since the registry knows that of a sample only. A name that LabelledName made
// keeps its labels.
func WriteMetrics(w io.Writer, r metrics.Registry) error {
	found := map[string]any{}
	r.Each(func(name string, metric any) { found[name] = metric })
	e := &exporter{w: bufio.NewWriter(w)}
	for _, name := range slices.Sorted(maps.Keys(found)) {
		base, labels, _ := strings.Cut(name, "{")
		e.metric(metricName(base), strings.TrimSuffix(labels, "}"), found[name])
	}
	if err := e.w.Flush(); err != nil {
		return fmt.Errorf("export metrics: %w", err)
	}
	return nil
}

// LabelledName returns the name of a metric with labels, given as names and values in turn.
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
	// typed is the name whose type was written last.
	typed string
}

func (e *exporter) metric(name, labels string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		e.single(name+"_total", labels, "counter", float64(m.Count()))
	case metrics.Gauge:
		e.single(name, labels, "gauge", float64(m.Value()))
	case metrics.GaugeFloat64:
		e.single(name, labels, "gauge", m.Value())
	case metrics.Meter:
		s := m.Snapshot()
		e.single(name+"_total", labels, "counter", float64(s.Count()))
		e.single(name+"_rate", labels, "gauge", s.Rate1())
	case metrics.Histogram:
		e.summary(name, labels, m.Percentiles, m.Count(), 1)
	case metrics.Timer:
		e.summary(name+"_seconds", labels, m.Percentiles, m.Count(), 1/float64(time.Second))
	}
}

// kind writes the type of a metric before the first line about it.
func (e *exporter) kind(name, kind string) {
	if e.typed != name {
		_, _ = fmt.Fprintf(e.w, "# TYPE %s %s\n", name, kind)
		e.typed = name
	}
}

func (e *exporter) single(name, labels, kind string, value float64) {
	e.kind(name, kind)
	_, _ = fmt.Fprintf(e.w, "%s%s %s\n", name, braced(labels), number(value))
}

// summary writes the quantiles, each multiplied by unit.
func (e *exporter) summary(name, labels string, percentiles func([]float64) []float64, count int64, unit float64) {
	quantiles := []float64{0.5, 0.9, 0.99, 0.999}
	e.kind(name, "summary")
	for i, value := range percentiles(quantiles) {
		quantile := "quantile=" + strconv.Quote(number(quantiles[i]))
		if labels != "" {
			quantile = labels + "," + quantile
		}
		_, _ = fmt.Fprintf(e.w, "%s%s %s\n", name, braced(quantile), number(value*unit))
	}
	_, _ = fmt.Fprintf(e.w, "%s_count%s %d\n", name, braced(labels), count)
}

func braced(labels string) string {
	if labels == "" {
		return ""
	}
	return "{" + labels + "}"
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
