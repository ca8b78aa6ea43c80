// Package evidence decides whether this host may start tasks in its zone (design D4). A
// start needs evidence, at most MaxAge old, that this host has every accepted or pending
// configuration change. The evidence is either a read of the log up to its head, by this
// host or by a peer, or the agreement of hosts in a majority of zones that the log is
// unreachable.
package evidence

import (
	"fmt"
	"time"

	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/membership"
	"github.com/daisyfold/daisyfold/internal/model"
)

// MaxAge is the age at which evidence expires. With heartbeats every 0.5 s within a zone,
// no task starts more than 3 s after the answer to a change that takes the zone out of
// service.
const MaxAge = 2 * time.Second

// Input is everything that a decision depends on.
type Input struct {
	Now  time.Time
	Zone model.Zone
	// Config is the configuration in force, or nil if there is none.
	Config *blackboard.Configuration
	// KnownVersion is the highest configuration version that this host knows to exist.
	KnownVersion int64
	// PendingOutOfService is true while a pending change takes the zone out of service.
	PendingOutOfService bool
	Log                 journal.State
	Reports             []membership.Report
}

// Source is the kind of evidence that a decision is based on. Reasons contain its value.
type Source string

// Sources of evidence.
const (
	SourceNone   Source = ""
	SourceLog    Source = "own read of the log"
	SourcePeer   Source = "read of the log by peer"
	SourceOutage Source = "platform outage rule"
)

// Decision states whether tasks may start, and on what evidence.
type Decision struct {
	Allowed bool
	Source  Source
	// Reason describes the evidence or, if starts are not allowed, why not.
	Reason string
	// ExpiresAt is when the evidence reaches MaxAge. It is zero if starts are not
	// allowed.
	ExpiresAt time.Time
}

// Decide returns the decision for the input. It has no side effects.
func Decide(in Input) Decision {
	if reason := refusalReason(&in); reason != "" {
		return Decision{Reason: reason}
	}
	if decision := decideFromLog(&in); decision.Allowed {
		return decision
	}
	if decision := decideFromPeers(&in); decision.Allowed {
		return decision
	}
	return decideFromOutage(&in)
}

// refusalReason returns why no start is allowed whatever the evidence is, or "".
func refusalReason(in *Input) string {
	if in.Config == nil {
		return "no configuration"
	}
	zone := in.Config.Zone(in.Zone)
	switch {
	case zone == nil:
		return fmt.Sprintf("zone %s is not in the configuration", in.Zone)
	case !zone.InService:
		return fmt.Sprintf("zone %s is out of service", in.Zone)
	case in.PendingOutOfService:
		return fmt.Sprintf("a pending change takes zone %s out of service", in.Zone)
	case in.KnownVersion > in.Config.Version:
		return fmt.Sprintf("configuration version %d exists, but this host has version %d", in.KnownVersion, in.Config.Version)
	}
	return ""
}

// isFresh reports whether t is set and at most MaxAge ago.
func isFresh(in *Input, t time.Time) bool {
	return !t.IsZero() && in.Now.Sub(t) <= MaxAge
}

// decideFromLog uses this host's last read of the log up to its head.
func decideFromLog(in *Input) Decision {
	if !isFresh(in, in.Log.LastHeadRead) {
		return Decision{}
	}
	return Decision{Allowed: true, Source: SourceLog, Reason: string(SourceLog), ExpiresAt: in.Log.LastHeadRead.Add(MaxAge)}
}

// decideFromPeers uses the most recent log read of a peer. The peer's configuration
// version is not above the one in force, because refusalReason refuses that case.
func decideFromPeers(in *Input) Decision {
	var newest membership.Report
	for _, r := range in.Reports {
		if !r.FromRequest && r.LogReadAt.After(newest.LogReadAt) {
			newest = r
		}
	}
	if !isFresh(in, newest.LogReadAt) {
		return Decision{}
	}
	return Decision{
		Allowed: true, Source: SourcePeer, ExpiresAt: newest.LogReadAt.Add(MaxAge),
		Reason: fmt.Sprintf("%s %s", SourcePeer, newest.Host),
	}
}

// decideFromOutage applies the platform outage rule: a start is allowed if this host was
// recently in contact with hosts in more than half of the configured zones and none of
// them can read the log.
func decideFromOutage(in *Input) Decision {
	if in.Log.Reachable {
		return Decision{Reason: "the last read of the log is too old"}
	}
	lastContact := map[model.Zone]time.Time{in.Zone: in.Now}
	for _, r := range in.Reports {
		if r.FromRequest || !isFresh(in, r.ReportedAt) {
			continue
		}
		if r.LogReachable {
			return Decision{Reason: fmt.Sprintf("host %s can read the log, but its last read is too old", r.Host)}
		}
		if r.ReportedAt.After(lastContact[r.Zone]) {
			lastContact[r.Zone] = r.ReportedAt
		}
	}
	return decideByMajority(in, lastContact)
}

// decideByMajority allows a start if lastContact contains more than half of the configured
// zones. The evidence is as old as the oldest of these contacts.
func decideByMajority(in *Input, lastContact map[model.Zone]time.Time) Decision {
	zones := in.Config.Parsed.AvailabilityZones
	zonesInContact := 0
	oldestContact := in.Now
	for _, z := range zones {
		at, ok := lastContact[z.Name]
		if !ok {
			continue
		}
		zonesInContact++
		if at.Before(oldestContact) {
			oldestContact = at
		}
	}
	count := fmt.Sprintf("hosts in %d of %d zones report that the log is unreachable", zonesInContact, len(zones))
	if 2*zonesInContact <= len(zones) {
		return Decision{Reason: "the log is unreachable here, but only " + count}
	}
	return Decision{Allowed: true, Source: SourceOutage, Reason: count, ExpiresAt: oldestContact.Add(MaxAge)}
}
