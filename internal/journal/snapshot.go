package journal

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// snapshotsPerRetention is the number of calls of each snapshotter within one
	// retention. Eight leaves several attempts after an outage of half the retention.
	snapshotsPerRetention = 8
	// snapshotTimeout limits one call of a snapshotter.
	snapshotTimeout = 30 * time.Second
)

// Snapshotter keeps state that must outlive the log's retention.
type Snapshotter interface {
	// Snapshot appends snapshots of the state whose records the log would otherwise drop
	// soon. It is called snapshotsPerRetention times within one retention while the log
	// is reachable, and determines itself which snapshots are due.
	Snapshot(ctx context.Context, j Journal) error
}

func (j *LogJournal) snapshotLoop(ctx context.Context) {
	if j.opts.Retention <= 0 {
		return
	}
	period := j.opts.Retention / snapshotsPerRetention
	for sleep(ctx, period) {
		if !j.State().Reachable {
			continue
		}
		for _, s := range j.snapshotters {
			j.callSnapshotter(ctx, s)
		}
	}
}

func (j *LogJournal) callSnapshotter(ctx context.Context, s Snapshotter) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	if err := s.Snapshot(ctx, j); err != nil {
		j.opts.Logger.Warn("snapshot failed; retrying at the next interval", zap.Error(err))
	}
}
