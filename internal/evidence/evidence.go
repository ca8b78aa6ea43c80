// Package evidence decides whether this host may start tasks in its zone (design
// D4). A start needs evidence, at most MaxAge old, that no accepted or pending
// configuration change is missing here: a reading of the log up to its head, by
// this host or a peer, or the agreement of a majority of zones that the log cannot
// be read.
package evidence

import (
	"fmt"
	"time"

	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/membership"
	"github.com/daisyfold/daisyfold/internal/model"
)

// MaxAge is the age at which evidence ends. With heartbeats within a zone every
// 0.5 s it keeps starts within 3 s of the answer to a zone change.
const MaxAge = 2 * time.Second

// Input is everything that a verdict depends on.
type Input struct {
	Now  time.Time
	Zone model.Zone
	// Config is the configuration in force; nil if there is none.
	Config *blackboard.Configuration
	// Known is the highest version that this host has heard of.
	Known int64
	// PendingOut is set while a change that takes the zone out is pending.
	PendingOut bool
	Log        journal.State
	Reports    []membership.Report
}

// Source says what a verdict rests on.
type Source string

// Sources of evidence.
const (
	SourceNone   Source = ""
	SourceLog    Source = "own log reading"
	SourcePeer   Source = "log reading of a peer"
	SourceOutage Source = "platform outage rule"
)

// Verdict tells whether tasks may start.
type Verdict struct {
	OK     bool
	Source Source
	// Why names the reason of a refusal, or the evidence.
	Why string
	// Until is when the evidence gets too old.
	Until time.Time
}

// Decide returns the verdict for the input. It has no other effect.
func Decide(in Input) Verdict {
	if why := forbidden(&in); why != "" {
		return Verdict{Why: why}
	}
	if v := fromLog(&in); v.OK {
		return v
	}
	if v := fromPeers(&in); v.OK {
		return v
	}
	return fromOutage(&in)
}

// forbidden returns why no evidence can allow a start, or "".
func forbidden(in *Input) string {
	if in.Config == nil {
		return "no configuration"
	}
	zone := in.Config.Zone(in.Zone)
	switch {
	case zone == nil:
		return fmt.Sprintf("zone %s is not in the configuration", in.Zone)
	case !zone.InService:
		return fmt.Sprintf("zone %s is out of service", in.Zone)
	case in.PendingOut:
		return fmt.Sprintf("a pending change takes zone %s out of service", in.Zone)
	case in.Known > in.Config.Version:
		return fmt.Sprintf("version %d is known, version %d is in force", in.Known, in.Config.Version)
	}
	return ""
}

func fresh(in *Input, t time.Time) bool {
	return !t.IsZero() && in.Now.Sub(t) <= MaxAge
}

func fromLog(in *Input) Verdict {
	if !fresh(in, in.Log.LastHeadRead) {
		return Verdict{}
	}
	return Verdict{OK: true, Source: SourceLog, Why: string(SourceLog), Until: in.Log.LastHeadRead.Add(MaxAge)}
}

// fromPeers uses the newest log reading of a peer. The peer's version is not above
// the one in force, or forbidden would have refused.
func fromPeers(in *Input) Verdict {
	var best membership.Report
	for _, r := range in.Reports {
		if !r.Called && r.LogAt.After(best.LogAt) {
			best = r
		}
	}
	if !fresh(in, best.LogAt) {
		return Verdict{}
	}
	return Verdict{
		OK: true, Source: SourcePeer, Until: best.LogAt.Add(MaxAge),
		Why: fmt.Sprintf("%s %s", SourcePeer, best.Host),
	}
}

// fromOutage applies the platform outage rule: hosts in more than half of the
// configured zones were in contact and none of them can read the log.
func fromOutage(in *Input) Verdict {
	if in.Log.Reachable {
		return Verdict{Why: "the last log reading is too old"}
	}
	latest := map[model.Zone]time.Time{in.Zone: in.Now}
	for _, r := range in.Reports {
		if r.Called || !fresh(in, r.At) {
			continue
		}
		if r.LogReachable {
			return Verdict{Why: fmt.Sprintf("host %s can read the log, but its reading is too old", r.Host)}
		}
		if r.At.After(latest[r.Zone]) {
			latest[r.Zone] = r.At
		}
	}
	return majority(in, latest)
}

func majority(in *Input, latest map[model.Zone]time.Time) Verdict {
	zones := in.Config.Parsed.AvailabilityZones
	heard := 0
	until := in.Now
	for _, z := range zones {
		at, ok := latest[z.Name]
		if !ok {
			continue
		}
		heard++
		if at.Before(until) {
			until = at
		}
	}
	why := fmt.Sprintf("hosts of %d of %d zones say that the log cannot be read", heard, len(zones))
	if 2*heard <= len(zones) {
		return Verdict{Why: "the log cannot be read and only " + why}
	}
	return Verdict{OK: true, Source: SourceOutage, Why: why, Until: until.Add(MaxAge)}
}
