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
	// StatePending means that the change is held by hosts of a majority of zones
	// and is appended when the log returns.
	StatePending = "pending"
)

const (
	// maxZoneWait bounds the wait for the peers' answers to a zone change.
	maxZoneWait = 5 * time.Second
	// announcePeriod is the pause between two rounds of heartbeats to all hosts.
	announcePeriod = 150 * time.Millisecond
	// reachableCheck is how often an append looks whether the log still answers.
	reachableCheck = 100 * time.Millisecond
)

// SetZone takes a zone in or out of service. The edit is rebased when it races with
// another one. While the log is down the change becomes pending.
func (s *Sync) SetZone(ctx context.Context, id string, zone model.Zone, inService bool) (state string, version int64, err error) {
	if id == "" || len(id) > maxIDBytes {
		return "", 0, apierror.NotRun(apierror.CodeBadInput, "the id must have 1 to %d bytes", maxIDBytes)
	}
	if s.inForce() == 0 {
		return "", 0, apierror.NotRun(apierror.CodeNoConfiguration, "this host has no configuration")
	}
	// The change is part of the edit's id, so that an id that is used again for
	// another change is another edit.
	id = fmt.Sprintf("zone/%s/%t/%s", zone, inService, id)
	version, err = s.publishZoneNow(ctx, id, zone, inService)
	switch codeOf(err) {
	case "":
		return s.acceptedZone(ctx, version, zone, inService)
	case apierror.CodeLogUnavailable:
		return s.setPending(ctx, id, zone, inService)
	case apierror.CodeUnknownOutcome:
		state, version, pendingErr := s.setPending(ctx, id, zone, inService)
		if pendingErr != nil {
			return "", 0, err // the record that was sent may still be accepted
		}
		return state, version, nil
	}
	return "", 0, err
}

// codeOf returns the code of an error that this package made, or "" for nil.
func codeOf(err error) apierror.Code {
	var e *apierror.Error
	if errors.As(err, &e) {
		return e.Code
	}
	if err != nil {
		return apierror.CodeInternal
	}
	return ""
}

func (s *Sync) acceptedZone(ctx context.Context, version int64, zone model.Zone, inService bool) (string, int64, error) {
	if !inService {
		if err := s.confirmOut(ctx, version, []model.Zone{zone}); err != nil {
			return "", 0, err
		}
	}
	return StateAccepted, version, nil
}

// publishZoneNow is publishZone that gives up as soon as the log is unreachable, to
// leave time for the pending change.
func (s *Sync) publishZoneNow(ctx context.Context, id string, zone model.Zone, inService bool) (int64, error) {
	if !s.opts.Journal.State().Reachable {
		return 0, apierror.NotRun(apierror.CodeLogUnavailable, "the log service cannot be read")
	}
	ctx, cancel := context.WithCancel(ctx)
	var watch sync.WaitGroup
	defer watch.Wait()
	defer cancel()
	watch.Go(func() { s.cancelWhenDown(ctx, cancel) })
	return s.publishZone(ctx, id, zone, inService)
}

// publishZone edits the folded text and publishes it until it is accepted.
func (s *Sync) publishZone(ctx context.Context, id string, zone model.Zone, inService bool) (int64, error) {
	for {
		if version := s.acceptedAs(id); version > 0 {
			return version, nil
		}
		if !s.ready() {
			return 0, apierror.NotRun(apierror.CodeLogUnavailable, "the config stream is not read yet")
		}
		state := s.folded()
		text, err := s.editZone(state.Text, zone, inService)
		if err != nil {
			return 0, err
		}
		err = s.appendEdit(ctx, id, state.Version, text)
		version, err := s.judge(id, state.Version, text, err)
		if ctx.Err() != nil || !raced(err) {
			return version, err
		}
	}
}

// raced reports whether another edit came first, or another holder published the
// same change on another base.
func raced(err error) bool {
	code := codeOf(err)
	return code == apierror.CodeVersionConflict || code == apierror.CodeIDReused
}

func (s *Sync) cancelWhenDown(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		if !s.opts.Journal.State().Reachable {
			cancel()
			return
		}
		wait(ctx, nil, reachableCheck)
	}
}

// acceptedAs returns the version that an edit made, or 0.
func (s *Sync) acceptedAs(id string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.fold.byID[id]; ok {
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

func (s *Sync) editZone(text []byte, zone model.Zone, inService bool) ([]byte, error) {
	edited, err := s.opts.EditZone(text, zone, inService)
	if err != nil {
		return nil, apierror.NotRun(apierror.CodeNotFound, "zone %s: %v", zone, err)
	}
	if len(edited) > config.MaxBytes {
		return nil, apierror.NotRun(apierror.CodeTooLarge, "the edited text has %d bytes", len(edited))
	}
	if _, err := s.opts.Parse(edited); err != nil {
		return nil, apierror.NotRun(apierror.CodeNotFound, "the edited text does not parse: %v", err)
	}
	return edited, nil
}

// setPending stores the change here, spreads it and answers when enough hosts hold
// it. The change stays pending after an unknown answer.
func (s *Sync) setPending(ctx context.Context, id string, zone model.Zone, inService bool) (string, int64, error) {
	if _, err := s.editZone(s.opts.Board.Config.Get().Raw, zone, inService); err != nil {
		return "", 0, err
	}
	if err := s.addPending(id, zone, !inService); err != nil {
		return "", 0, err
	}
	begin := s.opts.Now()
	ctx, cancel := context.WithTimeout(ctx, maxZoneWait)
	defer cancel()
	for ctx.Err() == nil {
		s.opts.Members.Announce(ctx)
		if version := s.acceptedAs(id); version > 0 {
			return s.acceptedZone(ctx, version, zone, inService)
		}
		if s.heldWidely(id, zone, inService, begin) {
			return StatePending, 0, nil
		}
		wait(ctx, nil, announcePeriod)
	}
	return "", 0, apierror.Unknown(apierror.CodeUnknownOutcome,
		"the change of zone %s is pending here, but not enough hosts confirmed it", zone)
}
