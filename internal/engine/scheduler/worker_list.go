package scheduler

import (
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

const (
	// listReadInterval is the time between two reads of the list of workers, which
	// changes with every heartbeat of a worker.
	listReadInterval = 250 * time.Millisecond
	// listReadWait is how long the store may delay the answer to a read until the list
	// changes.
	listReadWait = time.Second
)

// shutdownHeartbeats is the number of heartbeat intervals since an entry's last update
// within which only the worker itself removes the entry. The platform removes the entry of
// a silent worker after three.
const shutdownHeartbeats = 2

// workerList turns changes of the platform's list of workers into events of a term.
type workerList struct {
	t       *term
	entries map[string]*workers.Entry
	// writtenAfter is a lower bound of the time when an entry's latest record was
	// written, by worker id.
	writtenAfter map[string]time.Duration
	// appliedAt is when the last records were applied.
	appliedAt time.Duration
}

func newWorkerList(t *term) *workerList {
	return &workerList{t: t, entries: map[string]*workers.Entry{}, writtenAfter: map[string]time.Duration{}}
}

// followWorkers keeps the list of workers current until the term ends.
func (t *term) followWorkers() {
	f := replica.NewFollower(replica.Options{
		Store: t.Store, Topic: t.WorkerTopic, Sink: newWorkerList(t), MaxWait: listReadWait, MinReadInterval: func() time.Duration { return listReadInterval }, Now: t.Now, Logger: t.log,
	})
	_ = f.Run(t.ctx) // it returns only when the term ends
}

// Reset implements replica.Sink.
func (l *workerList) Reset(records []store.Record) {
	clear(l.entries)
	clear(l.writtenAfter)
	l.applyRecords(records)
}

// Apply implements replica.Sink.
func (l *workerList) Apply(records []store.Record) { l.applyRecords(records) }

func (l *workerList) applyRecords(records []store.Record) {
	now, before := l.t.Now(), l.appliedAt
	l.appliedAt = now
	var shutDown []string
	for _, r := range records {
		if len(r.Value) == 0 {
			if e := l.entries[r.Key]; e != nil && l.removedByWorker(r.Key, now) {
				shutDown = append(shutDown, e.Key())
			}
			delete(l.entries, r.Key)
			continue
		}
		e, err := l.t.DecodeWorker(r)
		if err != nil {
			l.t.log.Warn("cannot decode a worker's entry; ignoring the worker", zap.String("worker", r.Key), zap.Error(err))
			delete(l.entries, r.Key)
			continue
		}
		l.entries[r.Key], l.writtenAfter[r.Key] = e, before
	}
	list := make([]*workers.Entry, 0, len(l.entries))
	for _, e := range l.entries {
		list = append(list, e)
	}
	l.t.post(func(t *term) {
		t.updateWorkers(list)
		for _, key := range shutDown {
			t.handleShutdown(key)
		}
	})
}

// removedByWorker reports whether a draining worker has removed its own entry: the
// entry's last update is too recent for the platform to have removed it.
func (l *workerList) removedByWorker(id string, now time.Duration) bool {
	return l.entries[id].Draining && now-l.writtenAfter[id] < shutdownHeartbeats*l.t.bounds.WorkerHeartbeatInterval
}

// handleShutdown ends the runs of a worker that has shut down.
func (t *term) handleShutdown(key string) {
	w := t.workers[key]
	if w == nil || w.dead {
		return
	}
	t.log.Info("worker has shut down", zap.String("worker", key), zap.Int("runs", len(w.runs)))
	t.markDead(w)
}
