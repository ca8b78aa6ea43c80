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
	// snapshotAge is the part of the retention after which an entry is appended
	// again. The other half covers outages of the log.
	snapshotAge = 2
	// snapshotParallel bounds the snapshots that wait for the log at once; they
	// share appends.
	snapshotParallel = 64
	// orphanRetentions is how many retentions records of unknown jobs are kept: by
	// then every job that still exists has had a snapshot.
	orphanRetentions = 2
)

// Snapshot implements journal.Snapshotter: the live host with the lowest id appends
// again every job whose base record is older than half the retention. Final jobs are
// included while the table keeps them, so that a fresh host does not accept a
// repeated submission as a new job.
func (s *Service) Snapshot(ctx context.Context, j journal.Journal) error {
	if !s.lowestLive() || !j.Replayed(journal.StreamJobs) {
		return nil
	}
	due := s.Table.due(s.Now().Add(-s.Retention / snapshotAge))
	slots := make(chan struct{}, snapshotParallel)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var first error
	for _, key := range due {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if err := s.snapshotOne(ctx, j, key); err != nil {
				mu.Lock()
				first = err
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return trace.Wrap(first)
}

func (s *Service) snapshotOne(ctx context.Context, j journal.Journal, key model.JobKey) error {
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
		r.Trace = e.Trace
	}
	_, err = j.Append(ctx, journal.StreamJobs, r)
	return err
}

func (s *Service) lowestLive() bool {
	for _, m := range s.Board.Members.List() {
		if m.Alive && m.Host < s.Host {
			return false
		}
	}
	return true
}

// due returns the jobs whose base record is older than limit, oldest first.
func (t *Table) due(limit time.Time) []model.JobKey {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []model.JobKey
	for key, e := range t.entries {
		if e.BaseUnixMS < limit.UnixMilli() {
			out = append(out, key)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		return t.entries[out[i]].BaseUnixMS < t.entries[out[j]].BaseUnixMS
	})
	return out
}

// snapshot returns a job as the log's records up to ThroughOffset left it.
func (t *Table) snapshot(key model.JobKey) (journal.JobSnapshot, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.entries[key]
	if e == nil {
		return journal.JobSnapshot{}, false
	}
	return journal.JobSnapshot{
		Job: e.Job, Move: e.Move, Failures: e.Failures,
		PlacedRecord: e.PlacedRecord, PlacedBy: e.PlacedBy, ThroughOffset: t.last,
	}, true
}

// Gap implements journal.GapObserver: records were lost to retention, so the table
// is rebuilt from the snapshots that follow.
func (t *Table) Gap(_, _ int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, e := range t.entries {
		if t.over[key] == nil {
			t.unindex(key, e)
		}
		delete(t.entries, key)
	}
	t.orphans = map[model.JobKey][]orphan{}
	t.nOrphan = 0
}

// pruneOrphans drops records of unknown jobs that are older than limit. The caller
// holds the lock.
func (t *Table) pruneOrphans(limit int64) {
	for key, list := range t.orphans {
		if list[len(list)-1].rec.UnixMS < limit {
			t.nOrphan -= len(list)
			delete(t.orphans, key)
		}
	}
}
