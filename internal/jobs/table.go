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
	// keepFinal is how long final jobs stay in the table.
	keepFinal = time.Hour
	// maxReasons bounds the reasons kept for one job.
	maxReasons = 8
	// maxOrphans bounds the records kept for jobs whose snapshot has not been read.
	maxOrphans = 20_000
)

// overlay is a job's entry as this host knows it while some of its records are
// not in the log yet.
type overlay struct {
	entry   *Entry
	pending map[string]struct{} // ids of records not read from the log yet
}

type orphan struct {
	offset int64
	rec    journal.Record
}

// Table is the fold of the jobs stream. It implements journal.Applier.
type Table struct {
	blackboard.Notifier
	now func() time.Time

	mu      sync.RWMutex
	entries map[model.JobKey]*Entry
	over    map[model.JobKey]*overlay
	orphans map[model.JobKey][]orphan
	nOrphan int
	waiting map[model.ShardID]map[model.JobKey]*Entry
	active  map[model.ShardID]map[model.JobKey]*Entry
	load    map[model.ShardID]loads
	reasons map[model.JobKey][]model.Reason
	done    map[model.JobKey]chan struct{}
	last    int64                             // offset of the last applied record
	workers map[model.WorkerID]model.WorkerID // names that placements share
}

// NewTable returns an empty table.
func NewTable(now func() time.Time) *Table {
	return &Table{
		now:     now,
		entries: map[model.JobKey]*Entry{},
		over:    map[model.JobKey]*overlay{},
		orphans: map[model.JobKey][]orphan{},
		waiting: map[model.ShardID]map[model.JobKey]*Entry{},
		active:  map[model.ShardID]map[model.JobKey]*Entry{},
		load:    map[model.ShardID]loads{},
		reasons: map[model.JobKey][]model.Reason{},
		done:    map[model.JobKey]chan struct{}{},
		last:    -1,
		workers: map[model.WorkerID]model.WorkerID{},
	}
}

// Apply folds one record of the log into the table.
func (t *Table) Apply(offset int64, r journal.Record) {
	key, ok := keyOf(r)
	if !ok {
		return
	}
	t.mu.Lock()
	t.last = offset
	if r.Kind == journal.KindJobSnapshot {
		t.applySnapshot(key, r)
	} else {
		t.applyLogged(key, offset, r)
	}
	t.settle(key, r.ID)
	t.mu.Unlock()
	t.Notify()
}

func (t *Table) applyLogged(key model.JobKey, offset int64, r journal.Record) {
	cur := t.entries[key]
	if cur == nil && r.Kind != journal.KindJobAccepted {
		t.keepOrphan(key, offset, r)
		return
	}
	n, ok := next(cur, r)
	switch {
	case ok:
		if r.Kind == journal.KindJobPlaced {
			t.compact(n)
		}
		t.store(key, n)
		t.applyEarly(key)
	case cur != nil && early(cur, r):
		t.keepOrphan(key, offset, r)
	}
}

func (t *Table) applySnapshot(key model.JobKey, r journal.Record) {
	var b journal.JobSnapshot
	if json.Unmarshal(r.Body, &b) != nil {
		return
	}
	if cur := t.entries[key]; cur != nil {
		n := *cur
		n.BaseUnixMS = r.UnixMS
		t.store(key, &n)
		return
	}
	e := &Entry{
		Job: b.Job, Move: b.Move, Digest: Digest(b.Job.Spec), BaseUnixMS: r.UnixMS,
		PlacedRecord: b.PlacedRecord, PlacedBy: b.PlacedBy, Failures: b.Failures, Trace: r.Trace,
	}
	for _, o := range t.orphans[key] {
		if o.offset <= b.ThroughOffset {
			continue
		}
		if n, ok := next(e, o.rec); ok {
			e = n
		}
	}
	t.nOrphan -= len(t.orphans[key])
	delete(t.orphans, key)
	t.store(key, e)
}

// ApplyProvisional folds a record that is not in the log yet, so that this host
// can act on it during a log outage. It reports whether the record was valid. The
// log's own order replaces the result once all provisional records were read back.
func (t *Table) ApplyProvisional(r journal.Record) bool {
	key, ok := keyOf(r)
	if !ok {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.over[key]
	if o != nil {
		if _, seen := o.pending[r.ID]; seen {
			return true
		}
	}
	n, ok := next(t.effective(key), r)
	if !ok {
		return false
	}
	before := t.effective(key)
	if o == nil {
		o = &overlay{pending: map[string]struct{}{}}
		t.over[key] = o
	}
	o.entry = n
	o.pending[r.ID] = struct{}{}
	t.reindex(key, before, n)
	t.Notify()
	return true
}

// settle drops the overlay of a job once all its provisional records were read.
func (t *Table) settle(key model.JobKey, id string) {
	o := t.over[key]
	if o == nil {
		return
	}
	delete(o.pending, id)
	if len(o.pending) > 0 {
		return
	}
	before := o.entry
	delete(t.over, key)
	t.reindex(key, before, t.entries[key])
}

// store replaces the logged entry. The caller holds the lock.
func (t *Table) store(key model.JobKey, n *Entry) {
	before := t.effective(key)
	t.entries[key] = n
	t.reindex(key, before, t.effective(key))
}

func (t *Table) effective(key model.JobKey) *Entry {
	if o := t.over[key]; o != nil {
		return o.entry
	}
	return t.entries[key]
}

// reindex moves a job between the indexes after its effective entry changed.
func (t *Table) reindex(key model.JobKey, before, after *Entry) {
	if before != nil {
		t.unindex(key, before)
	}
	if after == nil {
		return
	}
	index := t.indexOf(after)
	if index != nil {
		home := after.Job.HomeShard
		if index[home] == nil {
			index[home] = map[model.JobKey]*Entry{}
		}
		index[home][key] = after
		t.addLoad(after, 1)
	}
	if after.Job.State.Final() {
		if ch := t.done[key]; ch != nil {
			close(ch)
			delete(t.done, key)
		}
	}
}

func (t *Table) unindex(key model.JobKey, e *Entry) {
	index := t.indexOf(e)
	if index == nil {
		return
	}
	delete(index[e.Job.HomeShard], key)
	t.addLoad(e, -1)
}

func (t *Table) indexOf(e *Entry) map[model.ShardID]map[model.JobKey]*Entry {
	switch e.Job.State {
	case model.JobWaiting:
		return t.waiting
	case model.JobStarting, model.JobRunning:
		return t.active
	default:
		return nil
	}
}

// Get returns the entry of a job, or nil.
func (t *Table) Get(key model.JobKey) *Entry {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.effective(key)
}

// Waiting returns the waiting jobs of a shard in order of acceptance.
func (t *Table) Waiting(s model.ShardID) []*Entry {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return sorted(t.waiting[s])
}

// Active returns the starting and running jobs of a shard in order of acceptance.
func (t *Table) Active(s model.ShardID) []*Entry {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return sorted(t.active[s])
}

// WaitingElsewhere returns up to limit waiting jobs whose home is another shard.
func (t *Table) WaitingElsewhere(s model.ShardID, limit int) []*Entry {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []*Entry
	for home, index := range t.waiting {
		if home != s {
			out = append(out, sorted(index)...)
		}
	}
	sort.Slice(out, func(i, j int) bool { return before(out[i], out[j]) })
	return out[:min(limit, len(out))]
}

func sorted(index map[model.JobKey]*Entry) []*Entry {
	out := make([]*Entry, 0, len(index))
	for _, e := range index {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return before(out[i], out[j]) })
	return out
}

func before(a, b *Entry) bool {
	if a.Job.AcceptedUnixMS != b.Job.AcceptedUnixMS {
		return a.Job.AcceptedUnixMS < b.Job.AcceptedUnixMS
	}
	return a.Job.Spec.Key.String() < b.Job.Spec.Key.String()
}

// loads are the accelerators of a shard's active and waiting jobs.
type loads struct{ active, waiting int }

// addLoad adds or takes away a job's accelerators. The caller holds the lock.
func (t *Table) addLoad(e *Entry, sign int) {
	l := t.load[e.Job.HomeShard]
	n := sign * e.Job.Spec.Accelerators()
	if e.Job.State == model.JobWaiting {
		l.waiting += n
	} else {
		l.active += n
	}
	t.load[e.Job.HomeShard] = l
}

// Load returns the accelerators of a shard's active jobs and of its waiting jobs.
func (t *Table) Load(s model.ShardID) (active, waiting int) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	l := t.load[s]
	return l.active, l.waiting
}

// Usage counts an organisation's accelerators in active jobs.
type Usage map[model.Organisation]int

// UsageElsewhere returns the use of each organisation outside a shard.
func (t *Table) UsageElsewhere(s model.ShardID) Usage {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := Usage{}
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

// List returns an organisation's jobs, or all jobs for an empty name, newest
// first, at most limit. An empty state matches all.
func (t *Table) List(org model.Organisation, state model.JobState, limit int) []model.Job {
	t.mu.RLock()
	var out []model.Job
	for key := range t.keys() {
		e := t.effective(key)
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

// keys returns the keys of all effective entries. The caller holds the lock.
func (t *Table) keys() map[model.JobKey]struct{} {
	out := make(map[model.JobKey]struct{}, len(t.entries)+len(t.over))
	for k := range t.entries {
		out[k] = struct{}{}
	}
	for k := range t.over {
		out[k] = struct{}{}
	}
	return out
}

// Done returns a channel that is closed when the job becomes final.
func (t *Table) Done(key model.JobKey) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.effective(key); e != nil && e.Job.State.Final() {
		ch := make(chan struct{})
		close(ch)
		return ch
	}
	if t.done[key] == nil {
		t.done[key] = make(chan struct{})
	}
	return t.done[key]
}

// AddReasons keeps the latest reasons of jobs, dropping repeats of the last one.
func (t *Table) AddReasons(rs []model.Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range rs {
		old := t.reasons[r.Job]
		if n := len(old); n > 0 && old[n-1].Code == r.Code && old[n-1].Detail == r.Detail {
			continue
		}
		old = append(old, r)
		t.reasons[r.Job] = old[max(0, len(old)-maxReasons):]
	}
}

// Reasons returns the kept reasons of a job, oldest first.
func (t *Table) Reasons(key model.JobKey) []model.Reason {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return append([]model.Reason(nil), t.reasons[key]...)
}

// Prune drops jobs that have been final for keepFinal, and records of jobs that
// stayed unknown for orphanRetentions times the log's retention.
func (t *Table) Prune(retention time.Duration) {
	now := t.now()
	limit := now.Add(-keepFinal).UnixMilli()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pruneOrphans(now.Add(-orphanRetentions * retention).UnixMilli())
	for key, e := range t.entries {
		if e.Job.State.Final() && e.Job.EndUnixMS < limit && t.over[key] == nil {
			delete(t.entries, key)
			delete(t.reasons, key)
		}
	}
}

// ActiveSpecs returns what the starting and running jobs of a shard asked for.
func (t *Table) ActiveSpecs(s model.ShardID) []model.JobSpec {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]model.JobSpec, 0, len(t.active[s]))
	for _, e := range t.active[s] {
		out = append(out, e.Job.Spec)
	}
	return out
}

// Counts are an organisation's jobs that are not final.
type Counts struct {
	Waiting, Active, Accelerators int
}

// Counts returns the jobs of each organisation that are not final.
func (t *Table) Counts() map[model.Organisation]Counts {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := map[model.Organisation]Counts{}
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

// counts reports whether a logged record is the one that decided about its job: the
// placement of the current attempt, or the acceptance of the job as it stands.
// Records of other kinds only state facts.
func (t *Table) counts(r journal.Record) bool {
	key, ok := keyOf(r)
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
		return e.PlacedRecord == r.ID
	case journal.KindJobAccepted:
		var b journal.JobAccepted
		return json.Unmarshal(r.Body, &b) == nil && Digest(b.Spec) == e.Digest
	default:
		return true
	}
}
