package replica

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/boottime"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// Topics of the engine. All hosts follow submissions and statuses; what the scheduler
// knows of the runs of a job is much larger and is read only by the next scheduler.
const (
	TopicJobs     = "keyed.jobs"
	TopicStatuses = "keyed.statuses"
	TopicRuns     = "keyed.runs"
)

// Key prefixes of records.
const (
	prefixJob    = "j/"
	prefixCancel = "c/"
	prefixState  = "s/"
	// ownerKey is the key of the scheduler's sign of life in TopicStatuses; its value is
	// the scheduler's name in the group.
	ownerKey = "o/owner"
)

// JobKey is the key of an accepted job's record.
func JobKey(id string) string { return prefixJob + id }

// CancelKey is the key of a cancellation's record.
func CancelKey(id string) string { return prefixCancel + id }

// StateKey is the key of a job in TopicStatuses and TopicRuns.
func StateKey(id string) string { return prefixState + id }

// StateID returns the job of a key in TopicRuns.
func StateID(key string) (string, bool) { return strings.CutPrefix(key, prefixState) }

// OwnerRecord is a sign of life of the scheduler with the given name.
func OwnerRecord(member string) store.Record {
	return store.Record{Key: ownerKey, Value: []byte(member)}
}

// Entry is what a host knows of a job.
type Entry struct {
	Job       *work.Job // nil while only its cancellation or state is known
	Cancelled bool      // a cancellation was acknowledged
	// CancelledMS is when, in Unix milliseconds at the host that took it.
	CancelledMS int64
	Status      work.Status
	Started     bool
}

// Jobs is the copy of submissions and statuses. Its lock is a leaf: nothing else is
// locked while it is held.
type Jobs struct {
	mu      sync.Mutex
	entries map[string]*Entry
	changed map[string]bool
	notify  chan struct{}
	owner   string        // the scheduler that wrote last
	ownerAt time.Duration // when its last record came in
	now     boottime.Clock
	log     *zap.Logger
}

// NewJobs returns an empty copy.
func NewJobs(now boottime.Clock, log *zap.Logger) *Jobs {
	return &Jobs{entries: map[string]*Entry{}, changed: map[string]bool{}, notify: make(chan struct{}, 1), now: now, log: log}
}

// Owner returns the name of the scheduler that wrote last, and how long ago its last
// record came in.
func (j *Jobs) Owner() (member string, silent time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.owner, j.now() - j.ownerAt
}

// Get returns what is known of a job.
func (j *Jobs) Get(id string) (Entry, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e, ok := j.entries[id]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// All returns what is known of every job and forgets which ones changed.
func (j *Jobs) All() map[string]Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	all := make(map[string]Entry, len(j.entries))
	for id, e := range j.entries {
		all[id] = *e
	}
	clear(j.changed)
	return all
}

// Waiting counts the accepted jobs of a queue, without those that have times, of which no
// task has been started.
func (j *Jobs) Waiting(queue string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for _, e := range j.entries {
		if e.Job != nil && e.Job.Queue == queue && e.Job.Occurrences == 0 && !e.Started && !e.Status.Ended() && !e.Cancelled {
			n++
		}
	}
	return n
}

// Changed receives after jobs or cancellations came in; TakeChanged names them.
func (j *Jobs) Changed() <-chan struct{} { return j.notify }

// Strays returns the ids of cancellations from before a time whose job never came.
func (j *Jobs) Strays(beforeMS int64) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var ids []string
	for id, e := range j.entries {
		if e.Job == nil && e.Cancelled && e.CancelledMS < beforeMS {
			ids = append(ids, id)
		}
	}
	return ids
}

// CancelValue is the value of a cancellation's record.
func CancelValue(at time.Time) []byte { return strconv.AppendInt(nil, at.UnixMilli(), 10) }

// TakeChanged returns the jobs that were submitted or cancelled since the last call.
func (j *Jobs) TakeChanged() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	ids := make([]string, 0, len(j.changed))
	for id := range j.changed {
		ids = append(ids, id)
	}
	clear(j.changed)
	return ids
}

func (j *Jobs) entry(id string) *Entry {
	e := j.entries[id]
	if e == nil {
		e = &Entry{Status: work.Queued}
		j.entries[id] = e
	}
	return e
}

// Submissions is the sink of TopicJobs.
func (j *Jobs) Submissions() Sink { return submissions{j} }

// Statuses is the sink of TopicStatuses.
func (j *Jobs) Statuses() Sink { return statuses{j} }

type submissions struct{ *Jobs }

// Reset implements Sink.
func (s submissions) Reset(records []store.Record) {
	s.mu.Lock()
	kept := make(map[string]bool, len(records))
	for _, r := range records {
		kept[r.Key] = true
	}
	for id, e := range s.entries {
		if !kept[JobKey(id)] {
			e.Job = nil
		}
		if !kept[CancelKey(id)] {
			e.Cancelled = false
		}
		s.drop(id, e)
	}
	s.mu.Unlock()
	s.Apply(records)
}

// Apply implements Sink.
func (s submissions) Apply(records []store.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.applyOne(r)
	}
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

func (s submissions) applyOne(r store.Record) {
	if id, ok := strings.CutPrefix(r.Key, prefixJob); ok {
		s.applyJob(id, r.Value)
		return
	}
	if id, ok := strings.CutPrefix(r.Key, prefixCancel); ok {
		e := s.entry(id)
		e.Cancelled = len(r.Value) > 0
		// A time that cannot be read counts as long ago.
		e.CancelledMS, _ = strconv.ParseInt(string(r.Value), 10, 64)
		s.changed[id] = true
		s.drop(id, e)
	}
}

func (s submissions) applyJob(id string, value []byte) {
	e := s.entry(id)
	if len(value) == 0 {
		e.Job = nil
		s.drop(id, e)
		return
	}
	if e.Job != nil {
		return // the same job was handed in at two hosts; the first record counts
	}
	job, err := work.DecodeJob(value)
	if err != nil {
		s.log.Error("a job's record cannot be read; it is left out", zap.String("job", id), zap.Error(err))
		s.drop(id, e)
		return
	}
	e.Job = job
	s.changed[id] = true
}

// drop forgets an entry of which nothing is left. The lock is held.
func (j *Jobs) drop(id string, e *Entry) {
	if e.Job == nil && !e.Cancelled && e.Status == work.Queued && !e.Started {
		delete(j.entries, id)
	}
}

type statuses struct{ *Jobs }

// Reset implements Sink.
func (s statuses) Reset(records []store.Record) {
	s.mu.Lock()
	kept := make(map[string]bool, len(records))
	for _, r := range records {
		kept[r.Key] = true
	}
	for id, e := range s.entries {
		if !kept[StateKey(id)] {
			s.clear(id, e)
		}
	}
	s.mu.Unlock()
	s.Apply(records)
}

// clear forgets a job's state. The lock is held.
func (s statuses) clear(id string, e *Entry) {
	e.Status, e.Started = work.Queued, false
	s.drop(id, e)
}

// Apply implements Sink.
func (s statuses) Apply(records []store.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownerAt = s.now()
	for _, r := range records {
		if r.Key == ownerKey {
			s.owner = string(r.Value)
			continue
		}
		id, ok := strings.CutPrefix(r.Key, prefixState)
		if !ok {
			continue
		}
		e := s.entry(id)
		if len(r.Value) == 0 {
			s.clear(id, e)
			continue
		}
		status, started, err := work.DecodeHeader(r.Value)
		if err != nil {
			s.log.Error("a status cannot be read; the older one stays", zap.String("job", id), zap.Error(err))
			s.drop(id, e)
			continue
		}
		e.Status, e.Started = status, started
	}
}
