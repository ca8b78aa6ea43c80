// Package metrics serves a go-metrics registry in the text format that scrapers
// read. Names use dots in the registry and underscores in the output; docs/metrics.md
// lists them with their units.
package metrics

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// prefix starts every exported name.
const prefix = "daisyfold_"

// quantiles are those reported of histograms and timers.
var quantiles = []float64{0.5, 0.95, 0.99}

// Handler serves the registry.
func Handler(r gometrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		Write(w, r)
	})
}

// Write writes all metrics, sorted by name. Write errors end the output silently,
// because the scraper has gone.
func Write(w io.Writer, r gometrics.Registry) {
	all := map[string]any{}
	var names []string
	r.Each(func(name string, m any) {
		all[name] = m
		names = append(names, name)
	})
	sort.Strings(names)
	for _, name := range names {
		writeOne(w, exported(name), all[name])
	}
}

// exported returns the name that scrapers see.
func exported(name string) string {
	return prefix + strings.NewReplacer(".", "_", "-", "_").Replace(name)
}

func writeOne(w io.Writer, name string, m any) {
	switch m := m.(type) {
	case gometrics.Counter:
		value(w, name, "counter", float64(m.Count()))
	case gometrics.Gauge:
		value(w, name, "gauge", float64(m.Value()))
	case gometrics.GaugeFloat64:
		value(w, name, "gauge", m.Value())
	case gometrics.Histogram:
		s := m.Snapshot()
		summary(w, name, s.Count(), float64(s.Sum()), s.Percentiles(quantiles))
	case gometrics.Timer:
		s := m.Snapshot()
		summary(w, name, s.Count(), float64(s.Sum()), s.Percentiles(quantiles))
	case gometrics.Meter:
		value(w, name, "counter", float64(m.Snapshot().Count()))
	}
}

func value(w io.Writer, name, kind string, v float64) {
	_, _ = fmt.Fprintf(w, "# TYPE %s %s\n%s %g\n", name, kind, name, v)
}

func summary(w io.Writer, name string, count int64, sum float64, values []float64) {
	_, _ = fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		_, _ = fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, values[i])
	}
	_, _ = fmt.Fprintf(w, "%s_sum %g\n%s_count %d\n", name, sum, name, count)
}
