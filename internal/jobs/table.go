package jobs

import (
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
)

// Limits of the table.
const (
	// finalJobRetention is how long final jobs stay in the table.
	finalJobRetention = time.Hour
	// maxReasonsPerJob bounds the reasons kept for one job.
	maxReasonsPerJob = 8
	// maxDeferredRecords bounds the records that are kept until they become valid.
	maxDeferredRecords = 20_000
)

// provisionalEntry is a job's entry that includes records which were not read from the log
// yet.
type provisionalEntry struct {
	entry          *Entry
	unconfirmedIDs map[string]struct{} // IDs of records that were not read from the log yet
}

// deferredRecord is a record of the log that is not valid yet.
type deferredRecord struct {
	offset int64
	record journal.Record
}

// Table holds the jobs, derived from the records of the jobs stream. It implements
// journal.Applier.
type Table struct {
	blackboard.Notifier
	now func() time.Time

	mu            sync.RWMutex
	entries       map[model.JobKey]*Entry
	provisional   map[model.JobKey]*provisionalEntry
	deferred      map[model.JobKey][]deferredRecord
	deferredCount int
	waiting       map[model.ShardID]map[model.JobKey]*Entry
	active        map[model.ShardID]map[model.JobKey]*Entry
	loadByShard   map[model.ShardID]shardLoad
	reasons       map[model.JobKey][]model.Reason
	doneChannels  map[model.JobKey]chan struct{}
	lastOffset    int64                             // offset of the last applied record
	workerNames   map[model.WorkerID]model.WorkerID // names that placements share
}

// NewTable returns an empty table.
func NewTable(now func() time.Time) *Table {
	return &Table{
		now:          now,
		entries:      map[model.JobKey]*Entry{},
		provisional:  map[model.JobKey]*provisionalEntry{},
		deferred:     map[model.JobKey][]deferredRecord{},
		waiting:      map[model.ShardID]map[model.JobKey]*Entry{},
		active:       map[model.ShardID]map[model.JobKey]*Entry{},
		loadByShard:  map[model.ShardID]shardLoad{},
		reasons:      map[model.JobKey][]model.Reason{},
		doneChannels: map[model.JobKey]chan struct{}{},
		lastOffset:   -1,
		workerNames:  map[model.WorkerID]model.WorkerID{},
	}
}

// Apply applies one record of the log to the table.
func (t *Table) Apply(offset int64, r journal.Record) {
	key, ok := jobKeyOf(r)
	if !ok {
		return
	}
	t.mu.Lock()
	t.lastOffset = offset
	if r.Kind == journal.KindJobSnapshot {
		t.applySnapshot(key, r)
	} else {
		t.applyLogged(key, offset, r)
	}
	t.confirmProvisional(key, r.ID)
	t.mu.Unlock()
	t.Notify()
}

func (t *Table) applyLogged(key model.JobKey, offset int64, r journal.Record) {
	current := t.entries[key]
	if current == nil && r.Kind != journal.KindJobAccepted {
		t.deferRecord(key, offset, r)
		return
	}
	updated, ok := transition(current, r)
	switch {
	case ok:
		if r.Kind == journal.KindJobPlaced {
			t.internStrings(updated)
		}
		t.setEntry(key, updated)
		t.applyDeferred(key)
	case current != nil && mayBecomeValid(current, r):
		t.deferRecord(key, offset, r)
	}
}

func (t *Table) applySnapshot(key model.JobKey, r journal.Record) {
	var b journal.JobSnapshot
	if json.Unmarshal(r.Body, &b) != nil {
		return
	}
	if current := t.entries[key]; current != nil {
		updated := *current
		updated.BaseRecordUnixMS = r.UnixMS
		t.setEntry(key, &updated)
		return
	}
	e := &Entry{
		Job: b.Job, MoveNumber: b.MoveNumber, Digest: Digest(b.Job.Spec), BaseRecordUnixMS: r.UnixMS,
		PlacedRecordID: b.PlacedRecordID, PlacedBy: b.PlacedBy, FailedAttempts: b.FailedAttempts, TraceParent: r.TraceParent,
	}
	for _, d := range t.deferred[key] {
		if d.offset <= b.ThroughOffset {
			continue
		}
		if updated, ok := transition(e, d.record); ok {
			e = updated
		}
	}
	t.deferredCount -= len(t.deferred[key])
	delete(t.deferred, key)
	t.setEntry(key, e)
}

// ApplyProvisional applies a record that was not read from the log yet, so that this host
// can act on it during an outage of the log. It reports whether the record was valid.
// When all provisional records of the job have been read from the log, the entry derived
// from the log replaces the provisional one.
func (t *Table) ApplyProvisional(r journal.Record) bool {
	key, ok := jobKeyOf(r)
	if !ok {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.provisional[key]
	if p != nil {
		if _, seen := p.unconfirmedIDs[r.ID]; seen {
			return true
		}
	}
	updated, ok := transition(t.currentEntry(key), r)
	if !ok {
		return false
	}
	before := t.currentEntry(key)
	if p == nil {
		p = &provisionalEntry{unconfirmedIDs: map[string]struct{}{}}
		t.provisional[key] = p
	}
	p.entry = updated
	p.unconfirmedIDs[r.ID] = struct{}{}
	t.updateIndexes(key, before, updated)
	t.Notify()
	return true
}

// confirmProvisional notes that record id was read from the log, and drops the
// provisional entry of the job once this holds for all its provisional records. The
// caller must hold the lock.
func (t *Table) confirmProvisional(key model.JobKey, id string) {
	p := t.provisional[key]
	if p == nil {
		return
	}
	delete(p.unconfirmedIDs, id)
	if len(p.unconfirmedIDs) > 0 {
		return
	}
	before := p.entry
	delete(t.provisional, key)
	t.updateIndexes(key, before, t.entries[key])
}

// setEntry replaces the entry that is derived from the log. The caller must hold the lock.
func (t *Table) setEntry(key model.JobKey, entry *Entry) {
	before := t.currentEntry(key)
	t.entries[key] = entry
	t.updateIndexes(key, before, t.currentEntry(key))
}

func (t *Table) currentEntry(key model.JobKey) *Entry {
	if p := t.provisional[key]; p != nil {
		return p.entry
	}
	return t.entries[key]
}

// updateIndexes updates the indexes after the current entry of a job changed, and closes
// the job's Done channel if it is final. The caller must hold the lock.
func (t *Table) updateIndexes(key model.JobKey, before, after *Entry) {
	if before != nil {
		t.removeFromIndex(key, before)
	}
	if after == nil {
		return
	}
	index := t.indexFor(after)
	if index != nil {
		home := after.Job.HomeShard
		if index[home] == nil {
			index[home] = map[model.JobKey]*Entry{}
		}
		index[home][key] = after
		t.addLoad(after, 1)
	}
	if after.Job.State.Final() {
		if ch := t.doneChannels[key]; ch != nil {
			close(ch)
			delete(t.doneChannels, key)
		}
	}
}

func (t *Table) removeFromIndex(key model.JobKey, e *Entry) {
	index := t.indexFor(e)
	if index == nil {
		return
	}
	delete(index[e.Job.HomeShard], key)
	t.addLoad(e, -1)
}

func (t *Table) indexFor(e *Entry) map[model.ShardID]map[model.JobKey]*Entry {
	switch e.Job.State {
	case model.JobWaiting:
		return t.waiting
	case model.JobStarting, model.JobRunning:
		return t.active
	default:
		return nil
	}
}

// Get returns the entry of a job, or nil if there is none.
func (t *Table) Get(key model.JobKey) *Entry {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.currentEntry(key)
}

// Waiting returns the waiting jobs of a shard in order of acceptance.
func (t *Table) Waiting(s model.ShardID) []*Entry {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return sortedByAcceptance(t.waiting[s])
}

// Active returns the starting and running jobs of a shard in order of acceptance.
func (t *Table) Active(s model.ShardID) []*Entry {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return sortedByAcceptance(t.active[s])
}

// WaitingOutside returns at most limit waiting jobs of all other shards, in order of
// acceptance.
func (t *Table) WaitingOutside(s model.ShardID, limit int) []*Entry {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []*Entry
	for home, index := range t.waiting {
		if home != s {
			out = append(out, sortedByAcceptance(index)...)
		}
	}
	sort.Slice(out, func(i, j int) bool { return acceptedBefore(out[i], out[j]) })
	return out[:min(limit, len(out))]
}

func sortedByAcceptance(index map[model.JobKey]*Entry) []*Entry {
	out := make([]*Entry, 0, len(index))
	for _, e := range index {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return acceptedBefore(out[i], out[j]) })
	return out
}

func acceptedBefore(a, b *Entry) bool {
	if a.Job.AcceptedUnixMS != b.Job.AcceptedUnixMS {
		return a.Job.AcceptedUnixMS < b.Job.AcceptedUnixMS
	}
	return a.Job.Spec.Key.String() < b.Job.Spec.Key.String()
}

// shardLoad is the number of accelerators of a shard's active and waiting jobs.
type shardLoad struct{ active, waiting int }

// addLoad adds the accelerators of a job to its shard's load, or subtracts them if sign is
// -1. The caller must hold the lock.
func (t *Table) addLoad(e *Entry, sign int) {
	l := t.loadByShard[e.Job.HomeShard]
	n := sign * e.Job.Spec.Accelerators()
	if e.Job.State == model.JobWaiting {
		l.waiting += n
	} else {
		l.active += n
	}
	t.loadByShard[e.Job.HomeShard] = l
}

// Load returns the number of accelerators of a shard's active jobs and of its waiting
// jobs.
func (t *Table) Load(s model.ShardID) (active, waiting int) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	l := t.loadByShard[s]
	return l.active, l.waiting
}

// AcceleratorUsage is the number of accelerators in active jobs of each organisation.
type AcceleratorUsage map[model.Organisation]int

// UsageOutside returns the accelerator usage of each organisation in all other shards.
func (t *Table) UsageOutside(s model.ShardID) AcceleratorUsage {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := AcceleratorUsage{}
	for home, index := range t.active {
		if home == s {
			continue
		}
		for key, e := range index {
			out[key.Organisation] += e.Job.Spec.Accelerators()
		}
	}
	return out
}

// List returns at most limit jobs, newest first. An empty organisation or state matches
// all.
func (t *Table) List(org model.Organisation, state model.JobState, limit int) []model.Job {
	t.mu.RLock()
	var out []model.Job
	for key := range t.keys() {
		e := t.currentEntry(key)
		if org != "" && key.Organisation != org {
			continue
		}
		if state != "" && e.Job.State != state {
			continue
		}
		out = append(out, e.Job)
	}
	t.mu.RUnlock()
	sort.Slice(out, func(i, j int) bool { return out[i].AcceptedUnixMS > out[j].AcceptedUnixMS })
	return out[:min(limit, len(out))]
}

// keys returns the keys of all jobs, including those with only a provisional entry. The
// caller must hold the lock.
func (t *Table) keys() map[model.JobKey]struct{} {
	out := make(map[model.JobKey]struct{}, len(t.entries)+len(t.provisional))
	for k := range t.entries {
		out[k] = struct{}{}
	}
	for k := range t.provisional {
		out[k] = struct{}{}
	}
	return out
}

// Done returns a channel that is closed when the job becomes final.
func (t *Table) Done(key model.JobKey) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.currentEntry(key); e != nil && e.Job.State.Final() {
		ch := make(chan struct{})
		close(ch)
		return ch
	}
	if t.doneChannels[key] == nil {
		t.doneChannels[key] = make(chan struct{})
	}
	return t.doneChannels[key]
}

// AddReasons adds reasons to their jobs, up to maxReasonsPerJob. A reason that equals the
// job's last one is not added.
func (t *Table) AddReasons(reasons []model.Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reasons {
		kept := t.reasons[r.Job]
		if n := len(kept); n > 0 && kept[n-1].Code == r.Code && kept[n-1].Detail == r.Detail {
			continue
		}
		kept = append(kept, r)
		t.reasons[r.Job] = kept[max(0, len(kept)-maxReasonsPerJob):]
	}
}

// Reasons returns the kept reasons of a job, oldest first.
func (t *Table) Reasons(key model.JobKey) []model.Reason {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return append([]model.Reason(nil), t.reasons[key]...)
}

// Prune drops jobs that have been final for finalJobRetention, and deferred records that
// have not become valid for deferredRetentionPeriods times the log's retention.
func (t *Table) Prune(retention time.Duration) {
	now := t.now()
	cutoffUnixMS := now.Add(-finalJobRetention).UnixMilli()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pruneDeferred(now.Add(-deferredRetentionPeriods * retention).UnixMilli())
	for key, e := range t.entries {
		if e.Job.State.Final() && e.Job.EndUnixMS < cutoffUnixMS && t.provisional[key] == nil {
			delete(t.entries, key)
			delete(t.reasons, key)
		}
	}
}

// ActiveSpecs returns the specifications of the starting and running jobs of a shard.
func (t *Table) ActiveSpecs(s model.ShardID) []model.JobSpec {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]model.JobSpec, 0, len(t.active[s]))
	for _, e := range t.active[s] {
		out = append(out, e.Job.Spec)
	}
	return out
}

// UnfinishedCounts are the numbers of an organisation's waiting and active jobs, and of
// the accelerators of the active ones.
type UnfinishedCounts struct {
	Waiting, Active, Accelerators int
}

// CountUnfinished counts the jobs of each organisation that are not final.
func (t *Table) CountUnfinished() map[model.Organisation]UnfinishedCounts {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := map[model.Organisation]UnfinishedCounts{}
	for _, index := range t.waiting {
		for key := range index {
			c := out[key.Organisation]
			c.Waiting++
			out[key.Organisation] = c
		}
	}
	for _, index := range t.active {
		for key, e := range index {
			c := out[key.Organisation]
			c.Active++
			c.Accelerators += e.Job.Spec.Accelerators()
			out[key.Organisation] = c
		}
	}
	return out
}

// isEffective reports whether a logged record took effect among conflicting ones: it is
// the placement of the job's current attempt, or the acceptance of the job in the table.
// Records of other kinds do not conflict, so the result is true for them.
func (t *Table) isEffective(r journal.Record) bool {
	key, ok := jobKeyOf(r)
	if !ok {
		return false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.entries[key]
	if e == nil {
		return false
	}
	switch r.Kind {
	case journal.KindJobPlaced:
		return e.PlacedRecordID == r.ID
	case journal.KindJobAccepted:
		var b journal.JobAccepted
		return json.Unmarshal(r.Body, &b) == nil && Digest(b.Spec) == e.Digest
	default:
		return true
	}
}
