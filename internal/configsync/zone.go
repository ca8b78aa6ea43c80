package configsync

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/model"
)

// States of a zone change.
const (
	// StateAccepted means that the change is in the log and in force.
	StateAccepted = "accepted"
	// StatePending means that hosts in a majority of zones store the change and append it
	// when the log is available again.
	StatePending = "pending"
)

const (
	// maxConfirmWait limits how long a change waits for confirmation by the peers.
	maxConfirmWait = 5 * time.Second
	// announceInterval is the time between two rounds of heartbeats to all hosts.
	announceInterval = 150 * time.Millisecond
	// reachabilityCheckInterval is how often an append checks whether the log is still
	// reachable.
	reachabilityCheckInterval = 100 * time.Millisecond
)

// SetZone puts a zone in service or takes it out of service. If another edit is accepted
// first, the change is applied again to the new version. While the log is down, the change
// becomes pending. state is StateAccepted or StatePending; version is 0 for a pending
// change. Errors are of type *apierror.Error; after CodeUnknownOutcome the change may still
// take effect.
func (s *Sync) SetZone(ctx context.Context, id string, zone model.Zone, inService bool) (state string, version int64, err error) {
	if id == "" || len(id) > maxEditIDBytes {
		return "", 0, apierror.NotRun(apierror.CodeBadInput, "the id must be 1 to %d bytes long", maxEditIDBytes)
	}
	if s.versionInForce() == 0 {
		return "", 0, apierror.NotRun(apierror.CodeNoConfiguration, "this host has no configuration")
	}
	// The edit ID contains the change, so that an id that is reused for another change
	// makes another edit.
	id = fmt.Sprintf("zone/%s/%t/%s", zone, inService, id)
	version, err = s.publishZoneWhileReachable(ctx, id, zone, inService)
	switch errorCode(err) {
	case "":
		return s.confirmAcceptedZone(ctx, version, zone, inService)
	case apierror.CodeLogUnavailable:
		return s.setZonePending(ctx, id, zone, inService)
	case apierror.CodeUnknownOutcome:
		state, version, pendingErr := s.setZonePending(ctx, id, zone, inService)
		if pendingErr != nil {
			return "", 0, err // the record that was sent may still be accepted
		}
		return state, version, nil
	}
	return "", 0, err
}

// errorCode returns the code of an *apierror.Error, CodeInternal for any other error, or ""
// for nil.
func errorCode(err error) apierror.Code {
	var e *apierror.Error
	if errors.As(err, &e) {
		return e.Code
	}
	if err != nil {
		return apierror.CodeInternal
	}
	return ""
}

// confirmAcceptedZone returns the result of SetZone for an accepted change. If the change
// takes the zone out of service, it first waits for confirmation.
func (s *Sync) confirmAcceptedZone(ctx context.Context, version int64, zone model.Zone, inService bool) (string, int64, error) {
	if !inService {
		if err := s.confirmOutOfService(ctx, version, []model.Zone{zone}); err != nil {
			return "", 0, err
		}
	}
	return StateAccepted, version, nil
}

// publishZoneWhileReachable is like publishZoneChange but gives up as soon as the log is
// unreachable, to leave time for storing the change as pending.
func (s *Sync) publishZoneWhileReachable(ctx context.Context, id string, zone model.Zone, inService bool) (int64, error) {
	if !s.opts.Journal.State().Reachable {
		return 0, apierror.NotRun(apierror.CodeLogUnavailable, "the log service cannot be read")
	}
	ctx, cancel := context.WithCancel(ctx)
	var watcher sync.WaitGroup
	defer watcher.Wait()
	defer cancel()
	watcher.Go(func() { s.cancelWhenUnreachable(ctx, cancel) })
	return s.publishZoneChange(ctx, id, zone, inService)
}

// publishZoneChange edits the current text and appends the edit. It repeats this while other
// edits are accepted first, and returns the version that the change created.
func (s *Sync) publishZoneChange(ctx context.Context, id string, zone model.Zone, inService bool) (int64, error) {
	for {
		if version := s.acceptedVersion(id); version > 0 {
			return version, nil
		}
		if !s.ready() {
			return 0, apierror.NotRun(apierror.CodeLogUnavailable, "the config stream has not been read yet")
		}
		snapshot := s.stateSnapshot()
		text, err := s.editZone(snapshot.Text, zone, inService)
		if err != nil {
			return 0, err
		}
		err = s.appendEdit(ctx, id, snapshot.Version, text)
		version, err := s.editOutcome(id, snapshot.Version, text, err)
		if ctx.Err() != nil || !lostRace(err) {
			return version, err
		}
	}
}

// lostRace reports whether another edit was accepted first or another host published the
// same pending change with another base.
func lostRace(err error) bool {
	code := errorCode(err)
	return code == apierror.CodeVersionConflict || code == apierror.CodeIDReused
}

// cancelWhenUnreachable calls cancel as soon as the log is unreachable. It returns when ctx
// is done.
func (s *Sync) cancelWhenUnreachable(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		if !s.opts.Journal.State().Reachable {
			cancel()
			return
		}
		waitForChange(ctx, nil, reachabilityCheckInterval)
	}
}

// acceptedVersion returns the version that an edit created, or 0.
func (s *Sync) acceptedVersion(id string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.state.acceptedByID[id]; ok {
		return e.Version
	}
	if s.fetched != nil {
		for _, e := range s.fetched.snapshot.Edits {
			if e.ID == id {
				return e.Version
			}
		}
	}
	return 0
}

// editZone returns the text with the zone in or out of service, after it parsed the result.
func (s *Sync) editZone(text []byte, zone model.Zone, inService bool) ([]byte, error) {
	edited, err := s.opts.EditZone(text, zone, inService)
	if err != nil {
		return nil, apierror.NotRun(apierror.CodeNotFound, "zone %s: %v", zone, err)
	}
	if len(edited) > config.MaxBytes {
		return nil, apierror.NotRun(apierror.CodeTooLarge, "the edited text has %d bytes, more than the maximum", len(edited))
	}
	if _, err := s.opts.Parse(edited); err != nil {
		return nil, apierror.NotRun(apierror.CodeNotFound, "the edited text does not parse: %v", err)
	}
	return edited, nil
}

// setZonePending stores the change on this host, announces it to the peers and returns when
// enough hosts store it. After CodeUnknownOutcome the change stays pending.
func (s *Sync) setZonePending(ctx context.Context, id string, zone model.Zone, inService bool) (string, int64, error) {
	if _, err := s.editZone(s.opts.Board.Config.Get().Text, zone, inService); err != nil {
		return "", 0, err
	}
	if err := s.addPendingChange(id, zone, !inService); err != nil {
		return "", 0, err
	}
	startedAt := s.opts.Now()
	ctx, cancel := context.WithTimeout(ctx, maxConfirmWait)
	defer cancel()
	for ctx.Err() == nil {
		s.opts.Members.Announce(ctx)
		if version := s.acceptedVersion(id); version > 0 {
			return s.confirmAcceptedZone(ctx, version, zone, inService)
		}
		if s.storedByMajority(id, zone, inService, startedAt) {
			return StatePending, 0, nil
		}
		waitForChange(ctx, nil, announceInterval)
	}
	return "", 0, apierror.Unknown(apierror.CodeUnknownOutcome,
		"the change of zone %s is pending on this host, but not enough hosts confirmed it", zone)
}
