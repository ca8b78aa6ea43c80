package configsync

import (
	"context"
	"sort"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/rpc/peer"
)

const (
	// maxPending bounds the pending changes, which every heartbeat carries.
	maxPending = 32
	// pendingPeriod is how often a holder looks whether the log answers.
	pendingPeriod = 250 * time.Millisecond
	// originWait and holderWait spread the appends after an outage. The host that
	// took the change comes first; the others step in if it is gone.
	originWait = 500 * time.Millisecond
	holderWait = 1500 * time.Millisecond
	// pendingAppendTimeout bounds one attempt to append a pending change; it covers
	// an append and its reading back on a very slow log.
	pendingAppendTimeout = 20 * time.Second
)

// pendingChange is a zone change that is not in the log yet.
type pendingChange struct {
	zone     model.Zone
	out      bool
	id       string
	base     int64
	sequence int32 // order among the changes of the zone
	origin   bool  // this host took the change from an operator
}

// pendingChanges holds the changes by their edit ID.
type pendingChanges struct {
	changes map[string]*pendingChange
	// dropped are changes that can never be accepted, such as of a removed zone.
	dropped map[string]bool
}

// Pending implements membership.Observer.
func (s *Sync) Pending() []*peer.PendingZoneChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending.changes) == 0 {
		return nil
	}
	out := make([]*peer.PendingZoneChange, 0, len(s.pending.changes))
	for _, c := range s.pending.changes {
		out = append(out, &peer.PendingZoneChange{
			Zone: string(c.zone), Out: c.out, Id: c.id, BaseVersion: c.base, Sequence: c.sequence,
		})
	}
	return out
}

// PendingOut reports whether a pending change takes the zone out of service. A
// later pending change that takes it in does not lift that before it is accepted.
func (s *Sync) PendingOut(zone model.Zone) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.pending.changes {
		if c.zone == zone && c.out {
			return true
		}
	}
	return false
}

// storePending takes over the changes that a peer holds. The lock must be held.
func (s *Sync) storePending(changes []*peer.PendingZoneChange) {
	for _, c := range changes {
		if s.pending.changes[c.Id] != nil || s.settled(c.Id) {
			continue
		}
		s.pending.changes[c.Id] = &pendingChange{
			zone: model.Zone(c.Zone), out: c.Out, id: c.Id, base: c.BaseVersion, sequence: c.Sequence,
		}
		s.event("pending change %s of zone %s stored (out=%t)", c.Id, c.Zone, c.Out)
		s.signal()
	}
}

// settled reports whether a change was accepted or dropped. The lock must be held.
func (s *Sync) settled(id string) bool {
	if s.pending.dropped[id] {
		return true
	}
	if _, ok := s.fold.byID[id]; ok {
		return true
	}
	if s.fetched == nil {
		return false
	}
	for _, e := range s.fetched.snapshot.Edits {
		if e.ID == id {
			return true
		}
	}
	return false
}

// resolve drops the pending changes that were accepted. The lock must be held, and
// the versions must be in force or known before, so that no start slips between.
func (s *Sync) resolve(edits []journal.AcceptedEdit) {
	if len(s.pending.changes) == 0 {
		return
	}
	for _, e := range edits {
		delete(s.pending.changes, e.ID)
	}
}

// addPending stores an operator's change. The lock must not be held.
func (s *Sync) addPending(id string, zone model.Zone, out bool) *apierror.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending.changes[id] != nil {
		return nil
	}
	if len(s.pending.changes) >= maxPending {
		return apierror.NotRun(apierror.CodeOverloaded, "%d zone changes are pending", len(s.pending.changes))
	}
	c := &pendingChange{zone: zone, out: out, id: id, base: s.inForce(), origin: true, sequence: 1}
	for _, other := range s.pending.changes {
		if other.zone == zone {
			c.sequence = max(c.sequence, other.sequence+1)
		}
	}
	s.pending.changes[id] = c
	s.event("pending change %s of zone %s taken (out=%t)", id, zone, out)
	s.signal()
	return nil
}

// pendingLoop appends the pending changes once the log answers.
func (s *Sync) pendingLoop(ctx context.Context) {
	var upSince time.Time
	for ctx.Err() == nil {
		wait(ctx, nil, pendingPeriod)
		if !s.opts.Journal.State().Answering || !s.ready() {
			upSince = time.Time{}
			continue
		}
		now := s.opts.Now()
		if upSince.IsZero() {
			upSince = now
		}
		jitter := time.Duration(s.opts.Rand() * float64(time.Second))
		for _, c := range s.duePending(now.Sub(upSince) - jitter) {
			s.appendPending(ctx, c)
		}
	}
}

// duePending returns the changes that this host appends now, in order. A change
// waits for the earlier ones of its zone.
func (s *Sync) duePending(up time.Duration) []pendingChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []pendingChange
	for _, c := range s.pending.changes {
		if up >= originWait && c.origin || up >= holderWait {
			all = append(all, *c)
		}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].sequence != all[j].sequence {
			return all[i].sequence < all[j].sequence
		}
		return all[i].id < all[j].id
	})
	return all
}

func (s *Sync) appendPending(ctx context.Context, c pendingChange) {
	if s.waitsForEarlier(c) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pendingAppendTimeout)
	defer cancel()
	version, err := s.publishZone(ctx, c.id, c.zone, !c.out)
	switch codeOf(err) {
	case "":
		s.event("pending change %s of zone %s accepted as version %d", c.id, c.zone, version)
	case apierror.CodeNotFound, apierror.CodeTooLarge:
		s.drop(c, err)
	default:
		s.opts.Logger.Info("pending change is not appended yet",
			zap.String("id", c.id), zap.Error(err))
	}
}

func (s *Sync) waitsForEarlier(c pendingChange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending.changes[c.id] == nil {
		return true
	}
	for _, other := range s.pending.changes {
		if other.zone == c.zone && other.sequence < c.sequence {
			return true
		}
	}
	return false
}

func (s *Sync) drop(c pendingChange, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending.dropped[c.id] = true
	delete(s.pending.changes, c.id)
	s.event("pending change %s of zone %s dropped: %v", c.id, c.zone, cause)
	s.signal()
}
