package scheduler

import (
	"maps"
	"time"

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

// workerList turns changes of the platform's list of workers into events of a term. The removal of an
// entry does not show whether the worker has left: the platform also removes that of a worker whose
// heartbeats are lost or carried out late. The runs of a worker that has left end with its lease.
type workerList struct {
	t       *term
	entries map[string]*workers.Entry
	// writtenAfter is an estimate of the earliest time when an entry's latest record was
	// written, by worker id: records may be read or written late.
	writtenAfter map[string]time.Duration
	// appliedAt is when the last records were applied.
	appliedAt time.Duration
}

func newWorkerList(t *term) *workerList {
	return &workerList{t: t, entries: map[string]*workers.Entry{}, writtenAfter: map[string]time.Duration{}, appliedAt: t.entriesWrittenAfter}
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
	l.entries, l.writtenAfter = map[string]*workers.Entry{}, map[string]time.Duration{}
	for _, r := range records {
		if e := entries[r.Key]; e != nil {
			l.entries[r.Key], l.writtenAfter[r.Key] = e, writtenAfter[r.Key]
		}
	}
	l.applyRecords(records)
}

// Apply implements replica.Sink.
func (l *workerList) Apply(records []store.Record) { l.applyRecords(records) }

func (l *workerList) applyRecords(records []store.Record) {
	before := l.appliedAt
	l.appliedAt = l.t.Now()
	for _, r := range records {
		if len(r.Value) == 0 {
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
	})
}
