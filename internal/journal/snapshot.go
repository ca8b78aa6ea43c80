package journal

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// snapshotsPerRetention is how often owners are asked within one retention.
	// Eight leaves several attempts after an outage of half the retention.
	snapshotsPerRetention = 8
	snapshotTimeout       = 30 * time.Second
)

// Snapshotter owns records that must outlive retention.
type Snapshotter interface {
	// Snapshot appends again what is due. It is called several times within one
	// retention while the log answers, and decides itself what is due.
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
		j.opts.Logger.Warn("snapshot failed, the next call repeats it", zap.Error(err))
	}
}
