package configsync

import (
	"context"
	"slices"
	"time"

	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/membership"
	"github.com/daisyfold/daisyfold/internal/model"
)

// A zone that cannot read the log may start tasks under the platform outage rule, which
// requires contact with a majority of zones. A change that takes a zone out of service is
// therefore answered only after hosts in a majority of zones have it: the two majorities
// share a zone, and the reports of its hosts stop the starts within evidence.MaxAge.

// confirmOutOfService waits until the version that takes zones out of service is in force
// in a majority of zones or at every host of the zones taken out. After maxConfirmWait it
// returns an error with CodeUnknownOutcome.
func (s *Sync) confirmOutOfService(ctx context.Context, version int64, zones []model.Zone) error {
	if len(zones) == 0 {
		return nil
	}
	startedAt := s.opts.Now()
	ctx, cancel := context.WithTimeout(ctx, maxConfirmWait)
	defer cancel()
	for ctx.Err() == nil {
		hasVersion := func(r membership.Report) bool {
			return r.ConfigVersion >= version && !r.AnsweredAt.Before(startedAt)
		}
		coverage := s.coverage(s.versionInForce() >= version, hasVersion)
		if coverage.coversMajority() || coverage.coversAllHosts(zones) {
			return nil
		}
		s.opts.Members.Announce(ctx)
		waitForChange(ctx, nil, announceInterval)
	}
	return apierror.Unknown(apierror.CodeUnknownOutcome,
		"version %d is accepted, but hosts in a majority of zones did not confirm it; tasks may still start in %v",
		version, zones)
}

// storedByMajority reports whether a pending change is stored by hosts in a majority of
// zones and, if it takes the zone out of service, by the zone's own hosts: a zone that is
// partitioned from its peers may still read the log, which does not contain the change yet.
// Answers from before since do not count, because the host may have restarted.
func (s *Sync) storedByMajority(id string, zone model.Zone, inService bool, since time.Time) bool {
	hasChange := func(r membership.Report) bool {
		return slices.Contains(r.PendingIDs, id) && !r.AnsweredAt.Before(since)
	}
	coverage := s.coverage(true, hasChange)
	if !coverage.coversMajority() {
		return false
	}
	return inService || coverage.covered[zone] || coverage.hostCount[zone] == 0
}

// zoneCoverage counts the zones and hosts that have a change.
type zoneCoverage struct {
	configuredZones []model.Zone
	// covered are the zones in which at least one host and all live hosts have the change.
	covered map[model.Zone]bool
	// hostCount and coveredHostCount count all hosts of a zone and those that have the
	// change, including silent hosts.
	hostCount        map[model.Zone]int
	coveredHostCount map[model.Zone]int
}

// coverage returns the coverage of a change. selfHasChange is the result for this host;
// hasChange reports whether another host has the change according to its report.
func (s *Sync) coverage(selfHasChange bool, hasChange func(membership.Report) bool) zoneCoverage {
	result := zoneCoverage{
		covered: make(map[model.Zone]bool), hostCount: make(map[model.Zone]int),
		coveredHostCount: make(map[model.Zone]int),
	}
	if c := s.opts.Board.Config.Get(); c != nil {
		for _, z := range c.Parsed.AvailabilityZones {
			result.configuredZones = append(result.configuredZones, z.Name)
		}
	}
	covered := map[model.HostID]bool{s.opts.Members.Self().Host: selfHasChange}
	for _, r := range s.opts.Members.Reports() {
		covered[r.Host] = hasChange(r)
	}
	incomplete := make(map[model.Zone]bool)
	for _, m := range s.opts.Board.Members.List() {
		result.hostCount[m.Zone]++
		switch {
		case covered[m.Host]:
			result.coveredHostCount[m.Zone]++
		case m.Alive:
			incomplete[m.Zone] = true
		}
	}
	for z, n := range result.coveredHostCount {
		result.covered[z] = n > 0 && !incomplete[z]
	}
	return result
}

// coversMajority reports whether more than half of the configured zones are covered.
func (c *zoneCoverage) coversMajority() bool {
	n := 0
	for _, z := range c.configuredZones {
		if c.covered[z] {
			n++
		}
	}
	return 2*n > len(c.configuredZones)
}

// coversAllHosts reports whether every known host of the zones has the change.
func (c *zoneCoverage) coversAllHosts(zones []model.Zone) bool {
	for _, z := range zones {
		if c.coveredHostCount[z] < c.hostCount[z] {
			return false
		}
	}
	return true
}
