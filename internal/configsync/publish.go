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

const (
	// maxIDBytes bounds an edit's ID, so that the remembered edits stay small.
	maxIDBytes = 64
	// firstReadWait bounds the wait of an edit for the first reading of the log.
	firstReadWait  = 2 * time.Second
	firstReadCheck = 50 * time.Millisecond
	// maxBehind bounds the wait for a version that this host has not read yet.
	maxBehind = 2 * time.Second
	// behindCheck is how often that wait looks at the log's state.
	behindCheck = 20 * time.Millisecond
)

// Publish replaces the text if base is the version in force and returns the new
// version. The same id publishes once and answers the same version each time. A
// text that takes a zone out is answered only when starts there have ended.
func (s *Sync) Publish(ctx context.Context, id string, base int64, text []byte) (int64, error) {
	parsed, err := s.checkEdit(id, text)
	if err != nil {
		return 0, err
	}
	id = "text/" + id // apart from the ids of zone changes
	zones := s.zonesTakenOut(base, parsed)
	version, err := s.publishOnce(ctx, id, base, text)
	if err != nil {
		return 0, err
	}
	return version, s.confirmOut(ctx, version, zones)
}

func (s *Sync) checkEdit(id string, text []byte) (*config.Config, error) {
	if id == "" || len(id) > maxIDBytes {
		return nil, apierror.NotRun(apierror.CodeBadInput, "the id must have 1 to %d bytes", maxIDBytes)
	}
	if len(text) > config.MaxBytes {
		return nil, apierror.NotRun(apierror.CodeTooLarge, "the text has %d bytes, more than %d", len(text), config.MaxBytes)
	}
	parsed, err := s.opts.Parse(text)
	if err != nil {
		e := apierror.NotRun(apierror.CodeBadInput, "the text has faults")
		if !errors.As(err, &e.Findings) {
			e.Message = err.Error()
		}
		return nil, e
	}
	return parsed, nil
}

// zonesTakenOut returns the zones that the text takes out of service, compared with
// the text of version base. Without that text it returns every zone that is out.
func (s *Sync) zonesTakenOut(base int64, next *config.Config) []model.Zone {
	if base == 0 {
		return nil
	}
	in := make(map[model.Zone]bool)
	for _, z := range next.AvailabilityZones {
		in[z.Name] = z.InService
	}
	var out []model.Zone
	if c := s.opts.Board.Config.Get(); c != nil && c.Version == base {
		for _, z := range c.Parsed.AvailabilityZones {
			if z.InService && !in[z.Name] {
				out = append(out, z.Name)
			}
		}
		return out
	}
	for z, inService := range in {
		if !inService {
			out = append(out, z)
		}
	}
	return out
}

// publishOnce appends one edit with a fixed base and returns the version it made.
func (s *Sync) publishOnce(ctx context.Context, id string, base int64, text []byte) (int64, error) {
	if version, err := s.earlier(id, text); version > 0 || err != nil {
		return version, err
	}
	if !s.awaitLog(ctx) {
		return 0, apierror.NotRun(apierror.CodeLogUnavailable, "the log service cannot be read")
	}
	if baseErr := s.checkBase(ctx, base); baseErr != nil {
		// The version that passed the base may be the one that this id made.
		if version, err := s.earlier(id, text); version > 0 || err != nil {
			return version, err
		}
		return 0, baseErr
	}
	err := s.appendEdit(ctx, id, base, text)
	return s.judge(id, base, text, err)
}

// awaitLog reports whether edits can be judged and appended. Just after the start
// the first reading of the log may still be on its way; it is worth a short wait.
func (s *Sync) awaitLog(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, firstReadWait)
	defer cancel()
	t := time.NewTicker(firstReadCheck)
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

// checkBase refuses a base that is not in force. A base above the own version is not
// written: the log would refuse the record, and its ID could not be used again when
// that version comes. It is a conflict only if the log, read to its head after the
// call began, does not have that version either.
func (s *Sync) checkBase(ctx context.Context, base int64) error {
	begin := s.opts.Now()
	ctx, cancel := context.WithTimeout(ctx, maxBehind)
	defer cancel()
	for {
		head := s.LogState().LastHeadRead
		switch current := s.folded().Version; {
		case current == base:
			return nil
		case current > base || head.After(begin):
			return conflict(base, current)
		case ctx.Err() != nil:
			return apierror.NotRun(apierror.CodeLogUnavailable, "this host has version %d and cannot read the log", current)
		}
		wait(ctx, nil, behindCheck)
	}
}

// earlier returns the version that the id made before, or 0.
func (s *Sync) earlier(id string, text []byte) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.fold.byID[id]
	if !ok {
		return 0, nil
	}
	if e.Digest != digest(text) {
		return 0, apierror.NotRun(apierror.CodeIDReused, "id %s made version %d from another text", id, e.Version)
	}
	return e.Version, nil
}

// folded returns the state that the log's records led to.
func (s *Sync) folded() journal.ConfigSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.snapshot()
}

func conflict(base, current int64) *apierror.Error {
	return apierror.NotRun(apierror.CodeVersionConflict, "the text is based on version %d, version %d is in force", base, current)
}

func (s *Sync) appendEdit(ctx context.Context, id string, base int64, text []byte) error {
	// The base is part of the record's ID: a rebased edit is another record.
	recordID := fmt.Sprintf("edit/%s/%d", id, base)
	edit := journal.ConfigEdit{ID: id, BaseVersion: base, Text: text}
	r, err := journal.NewRecord(journal.KindConfigEdit, s.opts.Members.Self().Host, recordID, s.opts.Now(), edit)
	if err != nil {
		return errors.Join(journal.ErrNotRecorded, err)
	}
	_, err = s.opts.Journal.Append(ctx, journal.StreamConfig, r)
	return err
}

// judge tells what became of an edit whose append ended with err.
func (s *Sync) judge(id string, base int64, text []byte, err error) (int64, error) {
	version, idErr := s.earlier(id, text)
	if version > 0 || idErr != nil {
		return version, idErr
	}
	state := s.folded()
	switch {
	case s.ready() && (err == nil || state.Version > base):
		// The version has passed the base, so the record can never be accepted.
		return 0, conflict(base, state.Version)
	case errors.Is(err, journal.ErrNotRecorded):
		return 0, apierror.NotRun(apierror.CodeLogUnavailable, "the edit was not written: %v", err)
	}
	return 0, apierror.Unknown(apierror.CodeUnknownOutcome, "the edit may be accepted later: %v", err)
}
