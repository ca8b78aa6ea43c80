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

// maxPendingChanges is the maximum number of pending changes. Every heartbeat carries all
// of them.
const maxPendingChanges = 32

const (
	// pendingCheckInterval is how often the pending loop checks whether the log answers.
	pendingCheckInterval = 250 * time.Millisecond
	// originAppendDelay and otherAppendDelay spread the appends after a log outage. The
	// host that received the change from the operator appends first; the others append it
	// if that host is gone.
	originAppendDelay = 500 * time.Millisecond
	otherAppendDelay  = 1500 * time.Millisecond
	// pendingAppendTimeout is the timeout of one attempt to append a pending change. It
	// allows for an append and reading it back on a very slow log.
	pendingAppendTimeout = 20 * time.Second
)

// pendingChange is a zone change that is not in the log yet.
type pendingChange struct {
	zone         model.Zone
	outOfService bool
	id           string
	baseVersion  int64
	sequence     int32 // order among the changes of the zone
	isOrigin     bool  // this host received the change from the operator
}

// pendingChanges holds the pending changes of a host.
type pendingChanges struct {
	byID map[string]*pendingChange
	// droppedIDs are the IDs of changes that can never be accepted, for example because
	// the zone was removed.
	droppedIDs map[string]bool
}

// PendingChanges implements membership.Observer.
func (s *Sync) PendingChanges() []*peer.PendingZoneChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending.byID) == 0 {
		return nil
	}
	out := make([]*peer.PendingZoneChange, 0, len(s.pending.byID))
	for _, c := range s.pending.byID {
		out = append(out, &peer.PendingZoneChange{
			Zone: string(c.zone), Out: c.outOfService, Id: c.id, BaseVersion: c.baseVersion, Sequence: c.sequence,
		})
	}
	return out
}

// PendingOutOfService reports whether a pending change takes the zone out of service. A
// later pending change that puts the zone back in service has no effect until it is
// accepted.
func (s *Sync) PendingOutOfService(zone model.Zone) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.pending.byID {
		if c.zone == zone && c.outOfService {
			return true
		}
	}
	return false
}

// storePendingChanges stores the pending changes of a peer. The lock must be held.
func (s *Sync) storePendingChanges(changes []*peer.PendingZoneChange) {
	for _, c := range changes {
		if s.pending.byID[c.Id] != nil || s.isAcceptedOrDropped(c.Id) {
			continue
		}
		s.pending.byID[c.Id] = &pendingChange{
			zone: model.Zone(c.Zone), outOfService: c.Out, id: c.Id, baseVersion: c.BaseVersion, sequence: c.Sequence,
		}
		s.addEvent("pending change %s of zone %s received from a peer (out of service: %t)", c.Id, c.Zone, c.Out)
		s.notifyChanged()
	}
}

// isAcceptedOrDropped reports whether a change was accepted or dropped. The lock must be
// held.
func (s *Sync) isAcceptedOrDropped(id string) bool {
	if s.pending.droppedIDs[id] {
		return true
	}
	if _, ok := s.state.acceptedByID[id]; ok {
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

// removeAccepted removes the pending changes that were accepted. The lock must be held. The
// versions must already be in force or known, so that no task starts in between.
func (s *Sync) removeAccepted(edits []journal.AcceptedEdit) {
	if len(s.pending.byID) == 0 {
		return
	}
	for _, e := range edits {
		delete(s.pending.byID, e.ID)
	}
}

// addPendingChange stores an operator's change. The lock must not be held. It returns
// CodeOverloaded if too many changes are pending.
func (s *Sync) addPendingChange(id string, zone model.Zone, outOfService bool) *apierror.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending.byID[id] != nil {
		return nil
	}
	if len(s.pending.byID) >= maxPendingChanges {
		return apierror.NotRun(apierror.CodeOverloaded, "%d zone changes are pending", len(s.pending.byID))
	}
	c := &pendingChange{zone: zone, outOfService: outOfService, id: id, baseVersion: s.versionInForce(), isOrigin: true, sequence: 1}
	for _, other := range s.pending.byID {
		if other.zone == zone {
			c.sequence = max(c.sequence, other.sequence+1)
		}
	}
	s.pending.byID[id] = c
	s.addEvent("pending change %s of zone %s received from an operator (out of service: %t)", id, zone, outOfService)
	s.notifyChanged()
	return nil
}

// pendingLoop appends the pending changes after the log has answered for a while.
func (s *Sync) pendingLoop(ctx context.Context) {
	var answeringSince time.Time
	for ctx.Err() == nil {
		waitForChange(ctx, nil, pendingCheckInterval)
		if !s.opts.Journal.State().Answering || !s.ready() {
			answeringSince = time.Time{}
			continue
		}
		now := s.opts.Now()
		if answeringSince.IsZero() {
			answeringSince = now
		}
		jitter := time.Duration(s.opts.Rand() * float64(time.Second))
		for _, c := range s.duePendingChanges(now.Sub(answeringSince) - jitter) {
			s.appendPendingChange(ctx, c)
		}
	}
}

// duePendingChanges returns the changes that this host appends now, in order. answeringFor
// is how long the log has been answering, minus a random delay.
func (s *Sync) duePendingChanges(answeringFor time.Duration) []pendingChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []pendingChange
	for _, c := range s.pending.byID {
		if answeringFor >= originAppendDelay && c.isOrigin || answeringFor >= otherAppendDelay {
			due = append(due, *c)
		}
	}
	sort.Slice(due, func(i, j int) bool {
		if due[i].sequence != due[j].sequence {
			return due[i].sequence < due[j].sequence
		}
		return due[i].id < due[j].id
	})
	return due
}

// appendPendingChange tries to append a change unless an earlier change of the zone is still
// pending. It drops a change that can never be accepted.
func (s *Sync) appendPendingChange(ctx context.Context, c pendingChange) {
	if s.waitsForEarlier(c) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pendingAppendTimeout)
	defer cancel()
	version, err := s.publishZoneChange(ctx, c.id, c.zone, !c.outOfService)
	switch errorCode(err) {
	case "":
		s.addEvent("pending change %s of zone %s accepted as version %d", c.id, c.zone, version)
	case apierror.CodeNotFound, apierror.CodeTooLarge:
		s.dropPendingChange(c, err)
	default:
		s.opts.Logger.Info("cannot append a pending change yet",
			zap.String("id", c.id), zap.Error(err))
	}
}

// waitsForEarlier reports whether a change is no longer pending or must wait for an earlier
// change of its zone.
func (s *Sync) waitsForEarlier(c pendingChange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending.byID[c.id] == nil {
		return true
	}
	for _, other := range s.pending.byID {
		if other.zone == c.zone && other.sequence < c.sequence {
			return true
		}
	}
	return false
}

func (s *Sync) dropPendingChange(c pendingChange, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending.droppedIDs[c.id] = true
	delete(s.pending.byID, c.id)
	s.addEvent("pending change %s of zone %s dropped: %v", c.id, c.zone, cause)
	s.notifyChanged()
}
