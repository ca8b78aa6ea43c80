package jobs

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
)

const (
	// snapshotAgeDivisor divides the log's retention: an entry is appended again once its
	// base record is older than the result. The rest of the retention covers outages of
	// the log.
	snapshotAgeDivisor = 2
	// maxConcurrentSnapshots bounds the snapshots that wait for the log at the same time.
	// Concurrent snapshots share appends.
	maxConcurrentSnapshots = 64
	// deferredRetentionPeriods is how long deferred records are kept, as a multiple of the
	// log's retention. By then there is a snapshot of every job that still exists.
	deferredRetentionPeriods = 2
)

// Snapshot implements journal.Snapshotter. The live host with the lowest ID appends a
// snapshot of every job whose base record is older than half the retention. This includes
// final jobs while they are in the table, so that a newly started host does not accept a
// repeated submission as a new job.
func (s *Service) Snapshot(ctx context.Context, j journal.Journal) error {
	if !s.hasLowestLiveID() || !j.Replayed(journal.StreamJobs) {
		return nil
	}
	due := s.Table.dueForSnapshot(s.Now().Add(-s.Retention / snapshotAgeDivisor))
	slots := make(chan struct{}, maxConcurrentSnapshots)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var lastErr error
	for _, key := range due {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if err := s.appendSnapshot(ctx, j, key); err != nil {
				mu.Lock()
				lastErr = err
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return trace.Wrap(lastErr)
}

func (s *Service) appendSnapshot(ctx context.Context, j journal.Journal, key model.JobKey) error {
	body, ok := s.Table.snapshot(key)
	if !ok {
		return nil
	}
	id := fmt.Sprintf("snapshot/%s/%s/%d", key, s.Host, body.ThroughOffset)
	r, err := journal.NewRecord(journal.KindJobSnapshot, s.Host, id, s.Now(), body)
	if err != nil {
		return err
	}
	if e := s.Table.Get(key); e != nil {
		r.TraceParent = e.TraceParent
	}
	_, err = j.Append(ctx, journal.StreamJobs, r)
	return err
}

func (s *Service) hasLowestLiveID() bool {
	for _, m := range s.Board.Members.List() {
		if m.Alive && m.Host < s.Host {
			return false
		}
	}
	return true
}

// dueForSnapshot returns the jobs whose base record is older than cutoff, oldest first.
func (t *Table) dueForSnapshot(cutoff time.Time) []model.JobKey {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []model.JobKey
	for key, e := range t.entries {
		if e.BaseRecordUnixMS < cutoff.UnixMilli() {
			out = append(out, key)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		return t.entries[out[i]].BaseRecordUnixMS < t.entries[out[j]].BaseRecordUnixMS
	})
	return out
}

// snapshot returns the state of a job after the log's records up to ThroughOffset,
// without provisional records. It returns false if the job is not in the table.
func (t *Table) snapshot(key model.JobKey) (journal.JobSnapshot, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.entries[key]
	if e == nil {
		return journal.JobSnapshot{}, false
	}
	return journal.JobSnapshot{
		Job: e.Job, MoveNumber: e.MoveNumber, FailedAttempts: e.FailedAttempts,
		PlacedRecordID: e.PlacedRecordID, PlacedBy: e.PlacedBy, ThroughOffset: t.lastOffset,
	}, true
}

// HandleGap implements journal.GapObserver. It clears the table, because the log has
// dropped records that were not read; the table is rebuilt from the snapshots that follow.
func (t *Table) HandleGap(_, _ int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, e := range t.entries {
		if t.provisional[key] == nil {
			t.removeFromIndex(key, e)
		}
		delete(t.entries, key)
	}
	t.deferred = map[model.JobKey][]deferredRecord{}
	t.deferredCount = 0
}

// pruneDeferred drops the deferred records of each job whose latest deferred record was
// written before cutoffUnixMS. The caller must hold the lock.
func (t *Table) pruneDeferred(cutoffUnixMS int64) {
	for key, list := range t.deferred {
		if list[len(list)-1].record.UnixMS < cutoffUnixMS {
			t.deferredCount -= len(list)
			delete(t.deferred, key)
		}
	}
}
