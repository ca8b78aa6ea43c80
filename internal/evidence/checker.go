package evidence

import (
	"fmt"
	"time"

	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/membership"
	"github.com/daisyfold/daisyfold/internal/model"
)

// Sources are the parts of the daemon that a Checker reads evidence from.
type Sources struct {
	// Zone is this host's zone.
	Zone model.Zone
	// Now returns the current time with a monotonic clock reading. The default is
	// time.Now.
	Now      func() time.Time
	Config   *blackboard.ConfigTable
	LogState func() journal.State
	Reports  func() []membership.Report
	// KnownVersion returns the highest configuration version that this host knows to
	// exist.
	KnownVersion func() int64
	// PendingOutOfService reports whether a pending change takes the zone out of
	// service.
	PendingOutOfService func(model.Zone) bool
}

// Checker decides whether tasks may start in this host's zone.
type Checker struct{ sources Sources }

// NewChecker returns a checker that reads the given sources.
func NewChecker(sources Sources) *Checker {
	if sources.Now == nil {
		sources.Now = time.Now
	}
	return &Checker{sources: sources}
}

// Check reports whether tasks may start in the zone now, and the evidence or the reason
// for the refusal. It must be called again for each start.
func (c *Checker) Check(zone model.Zone) (ok bool, reason string) {
	decision := c.Decide(zone)
	return decision.Allowed, decision.Reason
}

// Decide returns the same decision as Check, with the source of the evidence and its expiry
// time.
func (c *Checker) Decide(zone model.Zone) Decision {
	if zone != c.sources.Zone {
		return Decision{Reason: fmt.Sprintf("zone %s is not the zone of this host, %s", zone, c.sources.Zone)}
	}
	// The log state and the reports are read before the known version and the pending
	// changes, so that these include every change that the log state and the reports
	// depend on.
	in := Input{Zone: zone, Log: c.sources.LogState(), Reports: c.sources.Reports()}
	in.KnownVersion = c.sources.KnownVersion()
	in.PendingOutOfService = c.sources.PendingOutOfService(zone)
	in.Config = c.sources.Config.Get()
	in.Now = c.sources.Now()
	return Decide(in)
}
