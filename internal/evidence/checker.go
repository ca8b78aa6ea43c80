package evidence

import (
	"fmt"
	"time"

	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/membership"
	"github.com/daisyfold/daisyfold/internal/model"
)

// Sources are the parts of the daemon that evidence is read from.
type Sources struct {
	// Zone is this host's zone.
	Zone model.Zone
	// Now returns the time with its monotonic reading; time.Now if nil.
	Now      func() time.Time
	Config   *blackboard.ConfigTable
	LogState func() journal.State
	Reports  func() []membership.Report
	// Known is the highest version heard of.
	Known func() int64
	// PendingOut reports whether a change that takes the zone out is pending.
	PendingOut func(model.Zone) bool
}

// Checker gives verdicts for this host's zone.
type Checker struct{ src Sources }

// New returns a checker.
func New(src Sources) *Checker {
	if src.Now == nil {
		src.Now = time.Now
	}
	return &Checker{src: src}
}

// Check reports whether tasks may start in the zone now, and why or why not. It
// must be asked again for each start.
func (c *Checker) Check(zone model.Zone) (ok bool, why string) {
	v := c.Verdict(zone)
	return v.OK, v.Why
}

// Verdict is Check with the source of the evidence and its end.
func (c *Checker) Verdict(zone model.Zone) Verdict {
	if zone != c.src.Zone {
		return Verdict{Why: fmt.Sprintf("zone %s is not the zone of this host, %s", zone, c.src.Zone)}
	}
	// The log's state and the reports are read first: the version and the pending
	// changes then include everything that they rest on.
	in := Input{Zone: zone, Log: c.src.LogState(), Reports: c.src.Reports()}
	in.Known = c.src.Known()
	in.PendingOut = c.src.PendingOut(zone)
	in.Config = c.src.Config.Get()
	in.Now = c.src.Now()
	return Decide(in)
}
