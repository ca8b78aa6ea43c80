package configsync

import (
	"context"
	"slices"
	"time"

	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/membership"
	"github.com/daisyfold/daisyfold/internal/model"
)

// A zone that cannot read the log may start tasks by the platform outage rule,
// which needs contact with a majority of zones. A change that takes a zone out is
// therefore answered only when a majority of zones holds it: the two majorities
// share a zone, whose hosts stop the starts within the age limit of evidence.

// confirmOut waits until the version that takes zones out is in force in a majority
// of zones, or at every host of the zones taken out.
func (s *Sync) confirmOut(ctx context.Context, version int64, zones []model.Zone) error {
	if len(zones) == 0 {
		return nil
	}
	begin := s.opts.Now()
	ctx, cancel := context.WithTimeout(ctx, maxZoneWait)
	defer cancel()
	for ctx.Err() == nil {
		holds := func(r membership.Report) bool {
			return r.ConfigVersion >= version && !r.AnsweredAt.Before(begin)
		}
		t := s.tally(s.inForce() >= version, holds)
		if t.majority() || t.everywhere(zones) {
			return nil
		}
		s.opts.Members.Announce(ctx)
		wait(ctx, nil, announcePeriod)
	}
	return apierror.Unknown(apierror.CodeUnknownOutcome,
		"version %d is accepted, but hosts in a majority of zones did not confirm it; tasks may still start in %v",
		version, zones)
}

// heldWidely reports whether a pending change is held by hosts in a majority of
// zones and, if it takes the zone out, by the zone's own hosts: a zone that is cut
// off from its peers may still read the log, where the change is missing.
// Answers from before since do not count: the host may have restarted.
func (s *Sync) heldWidely(id string, zone model.Zone, inService bool, since time.Time) bool {
	holds := func(r membership.Report) bool {
		return slices.Contains(r.Pending, id) && !r.AnsweredAt.Before(since)
	}
	t := s.tally(true, holds)
	if !t.majority() {
		return false
	}
	return inService || t.held[zone] || t.members[zone] == 0
}

// tally counts which zones hold a change.
type tally struct {
	configured []model.Zone
	// held are the zones whose live hosts all hold the change.
	held map[model.Zone]bool
	// members and holders count a zone's hosts, silent ones included.
	members map[model.Zone]int
	holders map[model.Zone]int
}

func (s *Sync) tally(self bool, holds func(membership.Report) bool) tally {
	t := tally{
		held: make(map[model.Zone]bool), members: make(map[model.Zone]int),
		holders: make(map[model.Zone]int),
	}
	if c := s.opts.Board.Config.Get(); c != nil {
		for _, z := range c.Parsed.AvailabilityZones {
			t.configured = append(t.configured, z.Name)
		}
	}
	holder := map[model.HostID]bool{s.opts.Members.Self().Host: self}
	for _, r := range s.opts.Members.Reports() {
		holder[r.Host] = holds(r)
	}
	missing := make(map[model.Zone]bool)
	for _, m := range s.opts.Board.Members.List() {
		t.members[m.Zone]++
		switch {
		case holder[m.Host]:
			t.holders[m.Zone]++
		case m.Alive:
			missing[m.Zone] = true
		}
	}
	for z, n := range t.holders {
		t.held[z] = n > 0 && !missing[z]
	}
	return t
}

func (t *tally) majority() bool {
	n := 0
	for _, z := range t.configured {
		if t.held[z] {
			n++
		}
	}
	return 2*n > len(t.configured)
}

// everywhere reports whether every known host of the zones holds the change.
func (t *tally) everywhere(zones []model.Zone) bool {
	for _, z := range zones {
		if t.holders[z] < t.members[z] {
			return false
		}
	}
	return true
}
