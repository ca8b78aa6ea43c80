package configsync

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
)

// maxEditIDBytes limits the size of an edit's ID, so that the remembered edits stay small.
const maxEditIDBytes = 64

const (
	// firstReadTimeout limits how long an edit waits for the first read of the log.
	firstReadTimeout       = 2 * time.Second
	firstReadCheckInterval = 50 * time.Millisecond
	// baseVersionTimeout limits how long an edit waits for a base version that this host
	// has not read yet.
	baseVersionTimeout = 2 * time.Second
	// baseVersionCheckInterval is how often that wait checks the state.
	baseVersionCheckInterval = 20 * time.Millisecond
)

// Publish replaces the configuration text if base is the version in force, and returns the
// new version. It is idempotent: a repeated call with the same id and text returns the same
// version. If the text takes a zone out of service, Publish returns only after enough hosts
// have the new version, which ends starts in the zone. Errors are of type *apierror.Error.
// If the version was accepted but not confirmed by enough hosts, Publish returns it together
// with CodeUnknownOutcome.
func (s *Sync) Publish(ctx context.Context, id string, base int64, text []byte) (int64, error) {
	parsed, err := s.validateEdit(id, text)
	if err != nil {
		return 0, err
	}
	id = "text/" + id // separate from the IDs of zone changes
	zones := s.zonesTakenOut(base, parsed)
	version, err := s.publishText(ctx, id, base, text)
	if err != nil {
		return 0, err
	}
	return version, s.confirmOutOfService(ctx, version, zones)
}

// validateEdit checks an edit's ID and text and returns the parsed text.
func (s *Sync) validateEdit(id string, text []byte) (*config.Config, error) {
	if id == "" || len(id) > maxEditIDBytes {
		return nil, apierror.NotRun(apierror.CodeBadInput, "the id must be 1 to %d bytes long", maxEditIDBytes)
	}
	if len(text) > config.MaxBytes {
		return nil, apierror.NotRun(apierror.CodeTooLarge, "the text has %d bytes; the maximum is %d", len(text), config.MaxBytes)
	}
	parsed, err := s.opts.Parse(text)
	if err != nil {
		e := apierror.NotRun(apierror.CodeBadInput, "the configuration text has errors")
		if !errors.As(err, &e.Findings) {
			e.Message = err.Error()
		}
		return nil, e
	}
	return parsed, nil
}

// zonesTakenOut returns the zones that the text takes out of service compared with version
// base. If this host does not have version base in force, it returns every zone that is
// out of service in the text.
func (s *Sync) zonesTakenOut(base int64, parsed *config.Config) []model.Zone {
	if base == 0 {
		return nil
	}
	inServiceByZone := make(map[model.Zone]bool)
	for _, z := range parsed.AvailabilityZones {
		inServiceByZone[z.Name] = z.InService
	}
	var out []model.Zone
	if c := s.opts.Board.Config.Get(); c != nil && c.Version == base {
		for _, z := range c.Parsed.AvailabilityZones {
			if z.InService && !inServiceByZone[z.Name] {
				out = append(out, z.Name)
			}
		}
		return out
	}
	for z, inService := range inServiceByZone {
		if !inService {
			out = append(out, z)
		}
	}
	return out
}

// publishText appends one edit with the given base and returns the version that it created.
func (s *Sync) publishText(ctx context.Context, id string, base int64, text []byte) (int64, error) {
	if version, err := s.earlierVersion(id, text); version > 0 || err != nil {
		return version, err
	}
	if !s.waitForLog(ctx) {
		return 0, apierror.NotRun(apierror.CodeLogUnavailable, "the log service cannot be read")
	}
	if baseErr := s.checkBase(ctx, base); baseErr != nil {
		// The version above the base may have been created by this id.
		if version, err := s.earlierVersion(id, text); version > 0 || err != nil {
			return version, err
		}
		return 0, baseErr
	}
	err := s.appendEdit(ctx, id, base, text)
	return s.editOutcome(id, base, text, err)
}

// waitForLog reports whether edits can be evaluated and appended. After the start of the
// host it waits up to firstReadTimeout for the first read of the log.
func (s *Sync) waitForLog(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, firstReadTimeout)
	defer cancel()
	t := time.NewTicker(firstReadCheckInterval)
	defer t.Stop()
	for {
		state := s.opts.Journal.State()
		if state.Answering && s.ready() {
			return true
		}
		if !state.LastHeadRead.IsZero() && s.ready() {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
	}
}

// checkBase returns an error if base is not the version in force. An edit with a base above
// this host's version is not appended: it would not be accepted, and its record ID could
// not be used again once that version exists. Such a base is a conflict only if the log,
// read to its head after the call began, does not have that version either.
func (s *Sync) checkBase(ctx context.Context, base int64) error {
	startedAt := s.opts.Now()
	ctx, cancel := context.WithTimeout(ctx, baseVersionTimeout)
	defer cancel()
	for {
		head := s.LogState().LastHeadRead
		switch current := s.stateSnapshot().Version; {
		case current == base:
			return nil
		case current > base || head.After(startedAt):
			return versionConflict(base, current)
		case ctx.Err() != nil:
			return apierror.NotRun(apierror.CodeLogUnavailable, "this host has version %d and cannot read the log", current)
		}
		waitForChange(ctx, nil, baseVersionCheckInterval)
	}
}

// earlierVersion returns the version that the id has already created, or 0. It returns an
// error if the id created a version with another text.
func (s *Sync) earlierVersion(id string, text []byte) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.state.acceptedByID[id]
	if !ok {
		return 0, nil
	}
	if e.Digest != textDigest(text) {
		return 0, apierror.NotRun(apierror.CodeIDReused, "id %s already created version %d with a different text", id, e.Version)
	}
	return e.Version, nil
}

// stateSnapshot returns the state that results from the records read so far.
func (s *Sync) stateSnapshot() journal.ConfigSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.snapshot()
}

func versionConflict(base, current int64) *apierror.Error {
	return apierror.NotRun(apierror.CodeVersionConflict, "the text is based on version %d, version %d is in force", base, current)
}

func (s *Sync) appendEdit(ctx context.Context, id string, base int64, text []byte) error {
	// The record ID contains the base, because an edit with another base is another record.
	recordID := fmt.Sprintf("edit/%s/%d", id, base)
	edit := journal.ConfigEdit{ID: id, BaseVersion: base, Text: text}
	r, err := journal.NewRecord(journal.KindConfigEdit, s.opts.Members.Self().Host, recordID, s.opts.Now(), edit)
	if err != nil {
		return errors.Join(journal.ErrNotRecorded, err)
	}
	_, err = s.opts.Journal.Append(ctx, journal.StreamConfig, r)
	return err
}

// editOutcome returns the version that an edit created, or the error that describes its
// outcome. err is the error of the append.
func (s *Sync) editOutcome(id string, base int64, text []byte, err error) (int64, error) {
	version, idErr := s.earlierVersion(id, text)
	if version > 0 || idErr != nil {
		return version, idErr
	}
	snapshot := s.stateSnapshot()
	switch {
	case s.ready() && (err == nil || snapshot.Version > base):
		// The version is above the base, so the edit can never be accepted.
		return 0, versionConflict(base, snapshot.Version)
	case errors.Is(err, journal.ErrNotRecorded):
		return 0, apierror.NotRun(apierror.CodeLogUnavailable, "the edit was not appended to the log: %v", err)
	}
	return 0, apierror.Unknown(apierror.CodeUnknownOutcome, "the edit may be accepted later: %v", err)
}
