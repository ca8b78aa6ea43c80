// Package metrics serves a go-metrics registry in the Prometheus text format. Names use
// dots in the registry and underscores in the output; docs/metrics.md lists them with
// their units.
package metrics

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// namePrefix is the prefix of every exported name.
const namePrefix = "daisyfold_"

// quantiles lists the quantiles that are exported for histograms and timers.
var quantiles = []float64{0.5, 0.95, 0.99}

// Handler returns an HTTP handler that serves the metrics of the registry.
func Handler(r gometrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		Write(w, r)
	})
}

// Write writes all metrics, sorted by name. Write errors are ignored, because they mean that
// the scraper has disconnected.
func Write(w io.Writer, r gometrics.Registry) {
	all := map[string]any{}
	var names []string
	r.Each(func(name string, m any) {
		all[name] = m
		names = append(names, name)
	})
	sort.Strings(names)
	for _, name := range names {
		writeMetric(w, exportedName(name), all[name])
	}
}

// exportedName returns the exported form of a registry name.
func exportedName(name string) string {
	return namePrefix + strings.NewReplacer(".", "_", "-", "_").Replace(name)
}

func writeMetric(w io.Writer, name string, m any) {
	switch m := m.(type) {
	case gometrics.Counter:
		writeValue(w, name, "counter", float64(m.Count()))
	case gometrics.Gauge:
		writeValue(w, name, "gauge", float64(m.Value()))
	case gometrics.GaugeFloat64:
		writeValue(w, name, "gauge", m.Value())
	case gometrics.Histogram:
		s := m.Snapshot()
		writeSummary(w, name, s.Count(), float64(s.Sum()), s.Percentiles(quantiles))
	case gometrics.Timer:
		s := m.Snapshot()
		writeSummary(w, name, s.Count(), float64(s.Sum()), s.Percentiles(quantiles))
	case gometrics.Meter:
		writeValue(w, name, "counter", float64(m.Snapshot().Count()))
	}
}

func writeValue(w io.Writer, name, metricType string, v float64) {
	_, _ = fmt.Fprintf(w, "# TYPE %s %s\n%s %g\n", name, metricType, name, v)
}

func writeSummary(w io.Writer, name string, count int64, sum float64, values []float64) {
	_, _ = fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		_, _ = fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, values[i])
	}
	_, _ = fmt.Fprintf(w, "%s_sum %g\n%s_count %d\n", name, sum, name, count)
}
