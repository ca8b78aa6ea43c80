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

// Topics of the engine. All hosts follow TopicJobs and TopicStatuses. TopicRuns holds the
// scheduler's records of the runs of each job; these are much larger, and only the next
// owner reads them.
const (
	TopicJobs     = "keyed.jobs"
	TopicStatuses = "keyed.statuses"
	TopicRuns     = "keyed.runs"
)

// Key prefixes of records.
const (
	jobKeyPrefix    = "j/"
	cancelKeyPrefix = "c/"
	stateKeyPrefix  = "s/"
	// ownerKey is the key of the owner's heartbeat in TopicStatuses. The value is the
	// owner's member name.
	ownerKey = "o/owner"
)

// JobKey returns the key of an accepted job in TopicJobs.
func JobKey(id string) string { return jobKeyPrefix + id }

// CancelKey returns the key of a job's cancellation in TopicJobs.
func CancelKey(id string) string { return cancelKeyPrefix + id }

// StateKey returns the key of a job in TopicStatuses, and of the first chunk of its state in
// TopicRuns.
func StateKey(id string) string { return stateKeyPrefix + id }

// chunkSeparator separates the job id from the number of a chunk.
const chunkSeparator = "/"

// ChunkKey returns the key of a chunk of a job's state in TopicRuns.
func ChunkKey(id string, chunk int) string {
	if chunk == 0 {
		return StateKey(id)
	}
	return StateKey(id) + chunkSeparator + strconv.Itoa(chunk)
}

// ParseChunkKey returns the job id and the chunk in a key made by ChunkKey, and whether the
// key is one.
func ParseChunkKey(key string) (id string, chunk int, ok bool) {
	rest, ok := strings.CutPrefix(key, stateKeyPrefix)
	if !ok {
		return "", 0, false
	}
	id, number, numbered := strings.Cut(rest, chunkSeparator)
	if !numbered {
		return id, 0, true
	}
	chunk, err := strconv.Atoi(number)
	return id, chunk, err == nil && chunk > 0 && chunk < work.MaxChunks
}

// OwnerRecord returns a heartbeat record of the owner with the given member name.
func OwnerRecord(member string) store.Record {
	return store.Record{Key: ownerKey, Value: []byte(member)}
}

// JobEntry is the copy of a job's records.
type JobEntry struct {
	Job *work.Job // nil while only the cancellation or the status is known
	// Unreadable reports whether the job was accepted but its record cannot be decoded.
	Unreadable bool
	Cancelled  bool // a cancellation was recorded
	// CancelledMS is the time of the cancellation in Unix milliseconds, on the clock of
	// the host that accepted it.
	CancelledMS int64
	Status      work.Status
	Started     bool // a task of the job has been started
}

// Jobs is the copy of TopicJobs and TopicStatuses. No other lock is acquired while its
// lock is held.
type Jobs struct {
	mu          sync.Mutex
	entries     map[string]*JobEntry
	changed     map[string]bool // ids of jobs since the last call of TakeChanged
	notify      chan struct{}
	owner       string        // member name of the owner that wrote last
	ownerSeenAt time.Duration // when its last record was received
	ownerOffset int64         // offset of its last record, or -1
	now         boottime.Clock
	log         *zap.Logger
}

// NewJobs returns an empty copy.
func NewJobs(now boottime.Clock, log *zap.Logger) *Jobs {
	return &Jobs{entries: map[string]*JobEntry{}, changed: map[string]bool{}, notify: make(chan struct{}, 1), ownerOffset: -1, now: now, log: log}
}

// Owner returns the member name of the owner that wrote last, and the time since its last
// record was received. The name is empty before the first record of an owner.
func (j *Jobs) Owner() (member string, silent time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.owner, j.now() - j.ownerSeenAt
}

// OwnerOffset returns the offset of the last record of an owner, or -1 if there is none.
func (j *Jobs) OwnerOffset() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ownerOffset
}

// Get returns the entry of a job, and whether there is one.
func (j *Jobs) Get(id string) (JobEntry, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e, ok := j.entries[id]
	if !ok {
		return JobEntry{}, false
	}
	return *e, true
}

// All returns all entries by job id and clears the list of changed jobs.
func (j *Jobs) All() map[string]JobEntry {
	j.mu.Lock()
	defer j.mu.Unlock()
	all := make(map[string]JobEntry, len(j.entries))
	for id, e := range j.entries {
		all[id] = *e
	}
	clear(j.changed)
	return all
}

// CountWaiting returns the number of accepted jobs of a queue of which no task has been
// started. Repeated jobs do not count.
func (j *Jobs) CountWaiting(queue string) int {
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

// Changed returns a channel that receives a value after jobs or cancellations were
// received. TakeChanged returns their ids.
func (j *Jobs) Changed() <-chan struct{} { return j.notify }

// OrphanedCancellations returns the ids of jobs that were never received and were
// cancelled before the given time in Unix milliseconds.
func (j *Jobs) OrphanedCancellations(beforeMS int64) []string {
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

// CancelValue returns the value of the record of a cancellation at the given time.
func CancelValue(at time.Time) []byte { return strconv.AppendInt(nil, at.UnixMilli(), 10) }

// TakeChanged returns the ids of jobs that were submitted or cancelled since the last call.
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

// entry returns the entry of a job and creates it if there is none. The caller holds the
// lock.
func (j *Jobs) entry(id string) *JobEntry {
	e := j.entries[id]
	if e == nil {
		e = &JobEntry{Status: work.Queued}
		j.entries[id] = e
	}
	return e
}

// Submissions returns the sink for TopicJobs.
func (j *Jobs) Submissions() Sink { return submissionSink{j} }

// Statuses returns the sink for TopicStatuses.
func (j *Jobs) Statuses() Sink { return statusSink{j} }

type submissionSink struct{ *Jobs }

// Reset implements Sink.
func (s submissionSink) Reset(records []store.Record) {
	s.mu.Lock()
	kept := make(map[string]bool, len(records))
	for _, r := range records {
		kept[r.Key] = true
	}
	for id, e := range s.entries {
		if !kept[JobKey(id)] {
			e.Job, e.Unreadable = nil, false
		}
		if !kept[CancelKey(id)] {
			e.Cancelled = false
		}
		s.dropIfEmpty(id, e)
	}
	s.mu.Unlock()
	s.Apply(records)
}

// Apply implements Sink.
func (s submissionSink) Apply(records []store.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.applyRecord(r)
	}
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

func (s submissionSink) applyRecord(r store.Record) {
	if id, ok := strings.CutPrefix(r.Key, jobKeyPrefix); ok {
		s.applyJob(id, r.Value)
		return
	}
	if id, ok := strings.CutPrefix(r.Key, cancelKeyPrefix); ok {
		e := s.entry(id)
		e.Cancelled = len(r.Value) > 0
		// An invalid time is treated as the earliest one, 0.
		e.CancelledMS, _ = strconv.ParseInt(string(r.Value), 10, 64)
		s.changed[id] = true
		s.dropIfEmpty(id, e)
	}
}

func (s submissionSink) applyJob(id string, value []byte) {
	e := s.entry(id)
	if len(value) == 0 {
		e.Job, e.Unreadable = nil, false
		s.dropIfEmpty(id, e)
		return
	}
	if e.Job != nil {
		return // the job was submitted at two hosts; the first record is valid
	}
	job, err := work.DecodeJob(value)
	if err != nil {
		s.log.Error("a job's record cannot be decoded; the job is not run", zap.String("job", id), zap.Error(err))
		e.Unreadable = true
		return
	}
	e.Job, e.Unreadable = job, false
	s.changed[id] = true
}

// dropIfEmpty deletes an entry that holds no information. The caller holds the lock.
func (j *Jobs) dropIfEmpty(id string, e *JobEntry) {
	if e.Job == nil && !e.Unreadable && !e.Cancelled && e.Status == work.Queued && !e.Started {
		delete(j.entries, id)
	}
}

type statusSink struct{ *Jobs }

// Reset implements Sink.
func (s statusSink) Reset(records []store.Record) {
	s.mu.Lock()
	kept := make(map[string]bool, len(records))
	for _, r := range records {
		kept[r.Key] = true
	}
	for id, e := range s.entries {
		if !kept[StateKey(id)] {
			s.resetStatus(id, e)
		}
	}
	s.mu.Unlock()
	s.Apply(records)
}

// resetStatus resets a job's status after its record was deleted. The caller holds the
// lock.
func (s statusSink) resetStatus(id string, e *JobEntry) {
	e.Status, e.Started = work.Queued, false
	s.dropIfEmpty(id, e)
}

// Apply implements Sink.
func (s statusSink) Apply(records []store.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownerSeenAt = s.now()
	for _, r := range records {
		if r.Key == ownerKey {
			s.owner, s.ownerOffset = string(r.Value), r.Offset
			continue
		}
		id, ok := strings.CutPrefix(r.Key, stateKeyPrefix)
		if !ok {
			continue
		}
		e := s.entry(id)
		if len(r.Value) == 0 {
			s.resetStatus(id, e)
			continue
		}
		status, started, err := work.DecodeHeader(r.Value)
		if err != nil {
			s.log.Error("a job's status cannot be decoded; the previous one is kept", zap.String("job", id), zap.Error(err))
			s.dropIfEmpty(id, e)
			continue
		}
		e.Status, e.Started = status, started
	}
}
