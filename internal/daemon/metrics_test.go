package daemon

import (
	"bytes"
	"os"
	"strings"
	"testing"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/daisyfold/daisyfold/internal/metrics"
	"github.com/daisyfold/daisyfold/internal/settings"
)

// TestMetricsReference checks that the catalog lists exactly the registered metrics, that
// all of them are served, and that docs/metrics.md is current.
func TestMetricsReference(t *testing.T) {
	s := &settings.Settings{Host: "brest-1", Zone: "brest"}
	r := gometrics.NewRegistry()
	d := New(Options{Settings: s, Registry: r, External: must(NewExternal(s, r, func() int { return 1 }))})
	var out bytes.Buffer
	metrics.Write(&out, d.Registry)
	described := map[string]bool{}
	for _, e := range metrics.Catalog {
		described[e.Name] = true
		if d.Registry.Get(e.Name) == nil {
			t.Errorf("%s is described but not registered", e.Name)
		}
		if !strings.Contains(out.String(), "# TYPE "+e.ExportedName()+" ") {
			t.Errorf("%s is not served", e.ExportedName())
		}
	}
	d.Registry.Each(func(name string, _ any) {
		if !described[name] {
			t.Errorf("%s is registered but not described", name)
		}
	})
	page, err := os.ReadFile("../../docs/metrics.md")
	if err != nil || string(page) != metrics.Reference() {
		t.Errorf("docs/metrics.md is not current (%v); run: daisyfold docs metrics > docs/metrics.md", err)
	}
}
