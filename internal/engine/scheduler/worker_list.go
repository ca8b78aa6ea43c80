package scheduler

import (
	"maps"
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
	// renewed holds the ids of the workers whose entry was written since the list was loaded.
	// For the others writtenAfter is an assumption, good enough to use them.
	renewed map[string]bool
	// appliedAt is when the last records were applied.
	appliedAt time.Duration
}

func newWorkerList(t *term) *workerList {
	return &workerList{t: t, entries: map[string]*workers.Entry{}, writtenAfter: map[string]time.Duration{}, renewed: map[string]bool{}, appliedAt: t.entriesWrittenAfter}
}

// maxEntryHeartbeats is the age of a worker's entry, in heartbeat intervals, up to which the
// worker gets new runs. The platform removes an entry that is older, but not while its store
// is unavailable; the worker's capacity may have changed since.
const maxEntryHeartbeats = 3

// hasCurrentEntry reports whether the worker's entry is young enough to rely on its capacity.
func (t *term) hasCurrentEntry(w *worker, now time.Duration) bool {
	return now-w.entryWrittenAfter <= maxEntryHeartbeats*t.bounds.WorkerHeartbeatInterval
}

// oldestEntry returns a lower bound of the time when the entries that the store holds now were
// written, or 0 if there is none, because the store was unavailable until a moment ago and
// workers have not renewed their entries since.
func (t *term) oldestEntry() time.Duration {
	now, interval := t.Now(), t.bounds.WorkerHeartbeatInterval
	gap, end := t.Statuses.LastGap()
	if gap > (maxEntryHeartbeats-1)*interval && now-end < maxEntryHeartbeats*interval {
		return 0
	}
	return now
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
	entries, writtenAfter := l.entries, l.writtenAfter
	l.entries, l.writtenAfter, l.renewed = map[string]*workers.Entry{}, map[string]time.Duration{}, map[string]bool{}
	for _, r := range records {
		if e := entries[r.Key]; e != nil {
			l.entries[r.Key], l.writtenAfter[r.Key] = e, writtenAfter[r.Key]
		}
	}
	l.applyRecords(records)
}

// Apply implements replica.Sink.
func (l *workerList) Apply(records []store.Record) {
	for _, r := range records {
		if len(r.Value) > 0 {
			l.renewed[r.Key] = true
		}
	}
	l.applyRecords(records)
}

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
			// The worker gets no new runs until its next sound entry, but keeps those it has.
			l.t.RejectedEntries.Reject(r, err)
			delete(l.entries, r.Key)
			continue
		}
		l.t.RejectedEntries.Accept(r.Key)
		if former := l.entries[r.Key]; former == nil || former.Key() != e.Key() || former.ClockMS != e.ClockMS || e.ClockMS == 0 {
			l.writtenAfter[r.Key] = before
		}
		l.entries[r.Key] = e
	}
	list := make([]*workers.Entry, 0, len(l.entries))
	for _, e := range l.entries {
		list = append(list, e)
	}
	writtenAfter := maps.Clone(l.writtenAfter)
	l.t.post(func(t *term) {
		t.updateWorkers(list)
		for _, e := range list {
			if w := t.workers[e.Key()]; w != nil {
				w.entryWrittenAfter = max(w.entryWrittenAfter, writtenAfter[e.ID])
			}
		}
		for _, key := range shutDown {
			t.handleShutdown(key)
		}
	})
}

// removedByWorker reports whether a draining worker has removed its own entry: the
// entry's last update is too recent for the platform to have removed it. That is not known for an
// entry that was loaded and not updated since.
func (l *workerList) removedByWorker(id string, now time.Duration) bool {
	return l.entries[id].Draining && l.renewed[id] && now-l.writtenAfter[id] < shutdownHeartbeats*l.t.bounds.WorkerHeartbeatInterval
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
