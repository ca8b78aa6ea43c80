package standin

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

// TopicWorkers is the topic that holds the entries of the workers.
const TopicWorkers = "keyed.servers"

// Behaviour determines how the runs of a task proceed.
type Behaviour struct {
	Work time.Duration // run time of the task at normal speed
	// Failures is how many runs of the task, or of its gang, fail before one succeeds.
	Failures int
	// Hangs marks a task that makes no progress and never ends by itself.
	Hangs bool
	// CrashesWorker marks a task that crashes each worker that starts it.
	CrashesWorker bool
	// CrashesBeforeAnswer marks one that crashes them before they answer the start.
	CrashesBeforeAnswer bool
	// CheckpointPadding is the number of bytes that are added to each checkpoint.
	CheckpointPadding int
	// Malformed marks a task whose starts are rejected as malformed.
	Malformed bool
}

// FleetOptions are the parameters of a fleet.
type FleetOptions struct {
	// Restore is not used: a run that resumes from a checkpoint takes no extra time.
	MaxLease, StopTimeout, GangTimeout, SaveInterval, Restore, HeartbeatInterval time.Duration
	// CrossRackSlowdown divides the speed of a gang that asks for one rack but runs in
	// several.
	CrossRackSlowdown float64
	Seed              uint64
	// EndsPageSize is the largest number of ends in a report; 0 means defaultEndsPageSize.
	EndsPageSize int
	// OrderTime is the time that a worker needs for an order. Orders wait for earlier ones.
	OrderTime time.Duration
	// GangBreakTime is the time until the members of a gang notice that another one has failed.
	// Until then they may fail as well.
	GangBreakTime time.Duration
	// StaleEntries keeps the entries of workers unchanged while the store is unavailable.
	StaleEntries bool
	// NewIDAfterCrash gives workers a new id when they restart after a crash that a task
	// caused.
	NewIDAfterCrash bool
	// EncodeEntry encodes a worker's entry for TopicWorkers. If it is nil, entries have
	// the format that DecodeWorker decodes.
	EncodeEntry func(*workers.Entry) []byte
}

// Fleet simulates the workers of the platform.
type Fleet struct {
	FleetOptions
	mu        sync.Mutex
	rng       *rand.Rand
	store     *Store
	workers   map[string]*Worker // by address
	jobs      map[string]registeredJob
	gangs     map[gangKey]*gang
	failures  map[work.TaskName]int
	ledger    *Ledger
	startedAt time.Time
	// unreachable holds the pairs of host and worker id that cannot reach each other.
	unreachable map[[2]string]bool
	// lateOrderRate is the share of orders (0 to 1) that are executed 2 to 12 s later and
	// get no response.
	lateOrderRate float64
	// lostAnswerRate is the share of orders (0 to 1) that are executed but get no response.
	lostAnswerRate float64
	// forcedLateOrders is how many of the next orders are late regardless of the rate.
	forcedLateOrders int
	// latePolls is how many of the next polls that isLatePoll selects are executed after latePollDelay.
	latePolls     int
	latePollDelay time.Duration
	isLatePoll    func(workers.PollRequest) bool
	// malformedStarts counts the starts that were rejected as malformed.
	malformedStarts int
}

// registeredJob is a job with the behaviour of its tasks.
type registeredJob struct {
	*work.Job
	behaviour func(step, index int) Behaviour
}

// gangKey identifies one run of a gang.
type gangKey struct {
	job                   string
	occurrence, step, run int
}

// gang tracks the members of one run of a gang.
type gang struct {
	members         map[int]*activeRun
	finishedMembers int // members that have completed their work
	started         bool
	ended           bool
}

// defaultEndsPageSize is the page size of the platform's workers.
const defaultEndsPageSize = 500

// NewFleet returns a fleet without workers.
func NewFleet(o FleetOptions, s *Store) *Fleet {
	if o.EndsPageSize == 0 {
		o.EndsPageSize = defaultEndsPageSize
	}
	return &Fleet{
		FleetOptions: o, rng: rand.New(rand.NewPCG(o.Seed, 2)), store: s, workers: map[string]*Worker{},
		jobs: map[string]registeredJob{}, gangs: map[gangKey]*gang{}, failures: map[work.TaskName]int{},
		ledger: newLedger(), startedAt: time.Now(), unreachable: map[[2]string]bool{},
	}
}

// Ledger returns the ledger of all runs.
func (f *Fleet) Ledger() *Ledger { return f.ledger }

// MalformedStarts returns the number of starts that were rejected as malformed.
func (f *Fleet) MalformedStarts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.malformedStarts
}

// RegisterJob adds a job and the behaviour of each of its tasks. Starts of tasks of other
// jobs are violations.
func (f *Fleet) RegisterJob(j *work.Job, behaviour func(step, index int) Behaviour) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[j.ID] = registeredJob{j, behaviour}
}

// SetOrderFaults sets the shares (0 to 1) of orders that are executed late and of
// responses that are lost.
func (f *Fleet) SetOrderFaults(lateRate, lostRate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lateOrderRate, f.lostAnswerRate = lateRate, lostRate
}

// DelayOrders makes the fleet execute the next n orders late and without a response.
func (f *Fleet) DelayOrders(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forcedLateOrders = n
}

// DelayPolls makes the fleet execute the next n of the selected polls after the delay and without a
// response. They reach the incarnation that the worker has then.
func (f *Fleet) DelayPolls(n int, delay time.Duration, selects func(workers.PollRequest) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latePolls, f.latePollDelay, f.isLatePoll = n, delay, selects
}

// SetUnreachable starts or ends a network partition between a host ("" for all hosts) and
// the worker with the given id.
func (f *Fleet) SetUnreachable(host, worker string, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[[2]string{host, worker}] = unreachable
}

// Worker is one simulated worker. Each restart begins a new incarnation under the same id.
type Worker struct {
	fleet           *Fleet
	entry           workers.Entry
	up              bool
	cutFromStore    bool // see SetCutFromStore
	fence           int64
	runs            map[work.TaskName]*activeRun
	highestEndedRun map[work.TaskName]int // highest run that was stopped or has ended
	ends            []workers.EndedRun    // ended runs that are not acknowledged yet
	acked           int64
	busyUntil       time.Time // when the orders that have arrived are executed
	lastEndNumber   int64
	leaseTimer      *time.Timer
	leaseEnd        time.Time
	startedAt       time.Time
	changed         chan struct{} // closed and replaced when a run ends
	closed          int           // -1 once the fleet is closed
	failing         bool          // new runs fail
	stalled         bool          // new runs make no progress
	// slowdown is the factor by which new runs take longer; 0 means 1.
	slowdown float64
	// formerCapacities are the capacities before each change.
	formerCapacities []formerCapacity
}

// formerCapacity is a capacity of a worker and when it ended.
type formerCapacity struct {
	work.Resources
	until time.Time
}

// SetCapacity changes the worker's capacity. Its entry shows the change from the next
// heartbeat on.
func (w *Worker) SetCapacity(capacity work.Resources) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.formerCapacities = append(w.formerCapacities, formerCapacity{w.entry.Capacity, time.Now()})
	w.entry.Capacity = capacity
}

// capacityNoticeTime is how long after a reduction the former capacity may still be used, in
// addition to a heartbeat interval.
const capacityNoticeTime = 3 * time.Second

// permittedCapacity returns the largest capacity that a scheduler may assume. The caller holds
// the lock.
func (w *Worker) permittedCapacity() work.Resources {
	permitted := w.entry.Capacity
	for _, f := range w.formerCapacities {
		if time.Since(f.until) <= capacityNoticeTime+w.fleet.HeartbeatInterval {
			permitted = work.Resources{
				CPU: max(permitted.CPU, f.CPU), MemoryMB: max(permitted.MemoryMB, f.MemoryMB),
				Accelerators: max(permitted.Accelerators, f.Accelerators),
			}
		}
	}
	return permitted
}

// SetFailing sets whether all runs that start on the worker fail.
func (w *Worker) SetFailing(failing bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.failing = failing
}

// activeRun is a run that has not ended.
type activeRun struct {
	worker          *Worker
	name            work.RunName
	job             registeredJob
	gangKey         gangKey
	awaitingGang    bool // waits for the other members of the gang
	startedAt       time.Time
	initialProgress time.Duration // progress of the checkpoint that the run started from
	totalWork       time.Duration // work of the whole task
	speed           float64
	stalled         bool
	slowedBy        int // percentage points by which the run is paced down
	timer           *time.Timer
	stopping        bool
}

// SetStalled sets whether runs that start on the worker make no progress.
func (w *Worker) SetStalled(stalled bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.stalled = stalled
}

// SetSlowdown makes runs that start on the worker take factor times as long.
func (w *Worker) SetSlowdown(factor float64) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.slowdown = factor
}

// AddWorker adds a worker with the given entry and starts it.
func (f *Fleet) AddWorker(e workers.Entry) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &Worker{fleet: f, entry: e}
	f.workers[e.Address] = w
	w.startIncarnation()
	go w.heartbeat()
	return w
}

// startIncarnation starts a new incarnation of the worker. The caller holds the lock.
func (w *Worker) startIncarnation() {
	w.up, w.startedAt, w.fence, w.lastEndNumber, w.acked = true, time.Now(), 0, 0, 0
	w.entry.StartMS, w.entry.Draining = w.startedAt.UnixMilli(), false
	w.runs, w.highestEndedRun, w.ends = map[work.TaskName]*activeRun{}, map[work.TaskName]int{}, nil
	w.changed = make(chan struct{})
	w.publishEntry()
}

// clockMS returns the worker's own clock in milliseconds, which starts anew with each
// incarnation.
func (w *Worker) clockMS() int64 { return time.Since(w.startedAt).Milliseconds() + 1000 }

// publishEntry appends the worker's entry to TopicWorkers.
func (w *Worker) publishEntry() {
	if w.fleet.StaleEntries && w.fleet.store.unavailable() {
		return
	}
	e := w.entry
	e.ClockMS = w.clockMS()
	encode := w.fleet.EncodeEntry
	if encode == nil {
		encode = encodeEntry
	}
	w.fleet.store.Put(TopicWorkers, store.Record{Key: e.ID, Value: encode(&e)})
}

func encodeEntry(e *workers.Entry) []byte {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err) // cannot fail: the entry is a plain struct
	}
	return data
}

// DecodeWorker decodes entries that are encoded without FleetOptions.EncodeEntry.
func DecodeWorker(r store.Record) (*workers.Entry, error) {
	e := &workers.Entry{}
	if err := json.Unmarshal(r.Value, e); err != nil {
		return nil, trace.Wrap(err)
	}
	return e, nil
}

// heartbeat publishes the entry at every heartbeat interval while the worker is up, and
// deletes it after three missed heartbeats. It returns once the fleet is closed.
func (w *Worker) heartbeat() {
	missed := 0
	for range time.Tick(w.fleet.HeartbeatInterval) {
		w.fleet.mu.Lock()
		if w.closed < 0 {
			w.fleet.mu.Unlock()
			return
		}
		if w.up && !w.cutFromStore {
			missed = 0
			w.publishEntry()
		} else if missed++; missed == 3 {
			w.fleet.store.Put(TopicWorkers, store.Record{Key: w.entry.ID})
		}
		w.fleet.mu.Unlock()
	}
}

// SetCutFromStore sets whether the worker cannot reach the store, so that its entry is deleted
// after three heartbeats although it is up.
func (w *Worker) SetCutFromStore(cut bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.cutFromStore = cut
}

// DeliverLateHeartbeat writes the worker's entry as the store does with a heartbeat that it carries out
// late: the platform still counts the worker as silent.
func (w *Worker) DeliverLateHeartbeat() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.publishEntry()
}

// Crash terminates the worker and its runs at once. Its entry remains until three
// heartbeats are missed.
func (w *Worker) Crash() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.terminate(EndingCrashed)
}

// Endings of runs that end with their worker, which nobody lists.
const (
	EndingCrashed = "gone"
	EndingLeft    = "left"
)

// terminate ends the incarnation and its runs. The caller holds the lock.
func (w *Worker) terminate(ending string) {
	if !w.up {
		return
	}
	w.up = false
	for _, r := range w.runs {
		w.removeRun(r, ending)
	}
	w.notifyChanged()
}

const (
	// taskCrashDelay is the time from the start of a task that crashes its worker to the
	// crash, and taskCrashDownTime the time until the worker restarts.
	taskCrashDelay    = 10 * time.Millisecond
	taskCrashDownTime = 3 * time.Second
)

// crashByTask crashes the worker a moment after the start of a run that causes it, and
// restarts it later.
func (w *Worker) crashByTask(r *activeRun) {
	f := w.fleet
	time.AfterFunc(taskCrashDelay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if w.runs[r.name.Task] == r {
			w.crashNow(r)
		}
	})
}

// crashNow crashes the worker because of a run, and restarts it later. The caller holds the
// lock.
func (w *Worker) crashNow(r *activeRun) {
	f := w.fleet
	w.removeRun(r, endingCrashedWorker)
	w.terminate(EndingCrashed)
	time.AfterFunc(taskCrashDownTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !w.up && w.closed == 0 {
			w.restartAfterCrash()
		}
	})
}

// restartAfterCrash starts the next incarnation. The caller holds the lock.
func (w *Worker) restartAfterCrash() {
	if w.fleet.NewIDAfterCrash {
		w.fleet.store.Put(TopicWorkers, store.Record{Key: w.entry.ID})
		w.entry.ID += "x"
	}
	w.startIncarnation()
}

// Restart terminates the worker, if it is up, and starts a new incarnation with the same
// id and address.
func (w *Worker) Restart() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.terminate(EndingCrashed)
	w.startIncarnation()
}

// Drain publishes that the worker is draining, and terminates it and deletes its entry
// after delay.
func (w *Worker) Drain(delay time.Duration) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.entry.Draining, w.entry.RemainingMS = true, delay.Milliseconds()
	w.publishEntry()
	time.AfterFunc(delay, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		w.terminate(EndingLeft)
		w.fleet.store.Put(TopicWorkers, store.Record{Key: w.entry.ID})
	})
}

// CrashAfterNotice publishes that the worker is draining, and crashes it after notice. Its
// entry remains until three heartbeats are missed.
func (w *Worker) CrashAfterNotice(notice time.Duration) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.entry.Draining, w.entry.RemainingMS = true, notice.Milliseconds()
	w.publishEntry()
	time.AfterFunc(notice, w.Crash)
}

// Close terminates all workers and stops the fleet's goroutines and lease timers.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		w.terminate(EndingCrashed)
		w.closed = -1
		if w.leaseTimer != nil {
			w.leaseTimer.Stop()
		}
	}
}

// isPaused reports whether the run does no work because of its pace.
func (r *activeRun) isPaused() bool { return r.slowedBy == fullPace }

// Paused returns the number of runs that are paused.
func (f *Fleet) Paused() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		for _, r := range w.runs {
			if r.isPaused() {
				n++
			}
		}
	}
	return n
}
