package configsync

import (
	"context"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/journal"
)

// snapshotsPerRetention is how many snapshots the log holds at any time; several,
// so that one outage does not let the text expire.
const snapshotsPerRetention = 4

// Snapshot implements journal.Snapshotter: the live host with the lowest id appends
// the text in force again, well before retention drops the last snapshot.
func (s *Sync) Snapshot(ctx context.Context, j journal.Journal) error {
	if !s.lowestLive() || !s.ready() {
		return nil
	}
	s.mu.Lock()
	due := s.keptAt.IsZero() || s.opts.Now().Sub(s.keptAt) >= s.opts.Retention/snapshotsPerRetention
	snapshot := s.fold.snapshot()
	s.mu.Unlock()
	if !due || snapshot.Version == 0 {
		return nil
	}
	host := s.opts.Members.Self().Host
	id := fmt.Sprintf("snapshot/%s/%d/%d", host, snapshot.ThroughOffset, s.opts.Now().UnixNano())
	r, err := journal.NewRecord(journal.KindConfigSnapshot, host, id, s.opts.Now(), snapshot)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = j.Append(ctx, journal.StreamConfig, r)
	return trace.Wrap(err)
}

func (s *Sync) lowestLive() bool {
	self := s.opts.Members.Self().Host
	for _, m := range s.opts.Board.Members.List() {
		if m.Alive && m.Host < self {
			return false
		}
	}
	return true
}
