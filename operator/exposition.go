package operator

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// metricPrefix is the prefix of every exposed metric name.
const metricPrefix = "rattanlanding_"

// quantiles are the exposed quantiles of timers and histograms.
var quantiles = []float64{0.5, 0.9, 0.95, 0.99}

// Exposition returns the registry's metrics in the Prometheus text exposition
// format, version 0.0.4, sorted by name. Timers are in seconds, histograms in the
// unit in which they were recorded.
func Exposition(registry metrics.Registry) []byte {
	var names []string
	byName := make(map[string]any)
	registry.Each(func(name string, metric any) {
		names = append(names, name)
		byName[name] = metric
	})
	slices.Sort(names)
	var b bytes.Buffer
	for _, name := range names {
		writeMetric(&b, metricName(name), byName[name])
	}
	return b.Bytes()
}

func writeMetric(b *bytes.Buffer, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		// A go-metrics counter may decrease, so it is exposed as a gauge.
		writeValue(b, name, "gauge", float64(m.Count()))
	case metrics.Gauge:
		writeValue(b, name, "gauge", float64(m.Value()))
	case metrics.GaugeFloat64:
		writeValue(b, name, "gauge", m.Value())
	case metrics.Meter:
		writeValue(b, name+"_total", "counter", float64(m.Snapshot().Count()))
	case metrics.Timer:
		s := m.Snapshot()
		writeSummary(b, name+"_seconds", s.Percentiles(quantiles), float64(s.Sum()), s.Count(), float64(time.Second))
	case metrics.Histogram:
		s := m.Snapshot()
		writeSummary(b, name, s.Percentiles(quantiles), float64(s.Sum()), s.Count(), 1)
	}
}

func writeValue(b *bytes.Buffer, name, kind string, value float64) {
	fmt.Fprintf(b, "# TYPE %s %s\n%s %g\n", name, kind, name, value)
}

// writeSummary writes a summary with all values divided by unit.
func writeSummary(b *bytes.Buffer, name string, values []float64, sum float64, count int64, unit float64) {
	fmt.Fprintf(b, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		fmt.Fprintf(b, "%s{quantile=\"%g\"} %g\n", name, q, values[i]/unit)
	}
	fmt.Fprintf(b, "%s_sum %g\n%s_count %d\n", name, sum/unit, name, count)
}

// metricName adds the prefix and replaces characters that the format does not
// allow with underscores.
func metricName(name string) string {
	return metricPrefix + strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' {
			return r
		}
		return '_'
	}, name)
}
