package scheduler

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/daisyfold/daisyfold/internal/engine/quota"
)

const (
	// gaugeInterval is the time between two updates of the metrics by organisation.
	gaugeInterval = time.Second
	// sharePrecision is the number of units of the metric in a share of 1.
	sharePrecision = 1_000_000
)

// organisationGauges holds the names of the metrics of one organisation by what they tell.
type organisationGauges map[string]string

// set sets a metric. They exist at the owner only.
func (g organisationGauges) set(r gometrics.Registry, organisation, what string, value int64) {
	name := g[what]
	if name == "" {
		name = "organisation." + organisation + "." + what
		g[what] = name
	}
	gometrics.GetOrRegisterGauge(name, r).Update(value)
}

// updateOrganisationGauges updates the metrics by organisation. Its cost is linear in the number of
// organisations.
func (t *term) updateOrganisationGauges(now time.Duration) {
	if now-t.caps.gaugesAt < gaugeInterval {
		return
	}
	t.caps.gaugesAt = now
	for _, u := range t.quota.Usages() {
		if u.Organisation.Name != "" {
			t.updateGaugesOf(u)
		}
	}
}

func (t *term) updateGaugesOf(u quota.Usage) {
	o := u.Organisation
	g := t.caps.gauges[o.Name]
	if g == nil {
		g = organisationGauges{}
		t.caps.gauges[o.Name] = g
	}
	set := func(what string, value int) { g.set(t.Metrics, o.Name, what, int64(value)) }
	set("used_accelerators", u.Used.Accelerators)
	set("used_millicores", u.Used.CPU)
	set("used_memory_mb", u.Used.MemoryMB)
	set("cap_accelerators", o.Cap.Accelerators)
	set("cap_millicores", o.Cap.CPU)
	set("cap_memory_mb", o.Cap.MemoryMB)
	set("guaranteed_accelerators", o.GuaranteedAccelerators)
	set("share_ppm", int(u.Share*sharePrecision))
	set("waiting_tasks", t.caps.waiting[o.Name])
	set("held_tasks", t.caps.held[o.Name])
}

// removeOrganisationGauges removes the metrics by organisation at the end of a term.
func (t *term) removeOrganisationGauges() {
	for _, gauges := range t.caps.gauges {
		for _, name := range gauges {
			t.Metrics.Unregister(name)
		}
	}
}
