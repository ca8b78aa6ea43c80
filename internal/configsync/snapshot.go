package configsync

import (
	"context"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/journal"
)

// snapshotsPerRetention is the number of snapshots within the retention of the log. There
// are several, so that the text does not expire because of one outage.
const snapshotsPerRetention = 4

// Snapshot implements journal.Snapshotter. The live host with the lowest ID appends the
// current state well before the last snapshot exceeds the retention of the log.
func (s *Sync) Snapshot(ctx context.Context, j journal.Journal) error {
	if !s.isLowestLiveHost() || !s.ready() {
		return nil
	}
	s.mu.Lock()
	due := s.lastSnapshotAt.IsZero() || s.opts.Now().Sub(s.lastSnapshotAt) >= s.opts.Retention/snapshotsPerRetention
	snapshot := s.state.snapshot()
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

// isLowestLiveHost reports whether no live host has a lower ID than this host.
func (s *Sync) isLowestLiveHost() bool {
	self := s.opts.Members.Self().Host
	for _, m := range s.opts.Board.Members.List() {
		if m.Alive && m.Host < self {
			return false
		}
	}
	return true
}
