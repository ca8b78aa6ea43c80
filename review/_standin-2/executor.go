package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/store"
)

// executor is a stand-in for one executor. It carries out orders as the protocol's page says.
type executor struct {
	d       *deployment
	address string
	machine string

	mu       sync.Mutex
	labels   []string
	capacity capacity
	former   capacity  // before it shrank
	shrankAt time.Time // zero if it has not
	cut      bool      // cannot reach the platform's store
	heldAt   time.Time // when the last hold arrived
	id       string
	up       bool
	closed   bool
	listener net.Listener
	server   *http.Server
	born     time.Time
	fence    int64
	leaseEnd time.Time
	runs     map[string]*taskRun // by task
	highest  map[string]int      // highest run stopped or ended, by task
	ends     [][]any
	lastEnd  int64
	changed  chan struct{}
	missed   int
}

// capacity is what an executor has, or what a task requires.
type capacity struct{ cpu, memMB, gpu int }

// wholeCapacity is the capacity of the site's executors.
var wholeCapacity = capacity{128000, 524288, 8}

func (c capacity) plus(o capacity) capacity {
	return capacity{c.cpu + o.cpu, c.memMB + o.memMB, c.gpu + o.gpu}
}

func (c capacity) fits(o capacity) bool {
	return c.cpu <= o.cpu && c.memMB <= o.memMB && c.gpu <= o.gpu
}

func (c capacity) wire() map[string]any {
	return map[string]any{"cpu": c.cpu, "memMb": c.memMB, "gpu": c.gpu}
}

// taskRun is a run that has not ended.
type taskRun struct {
	task    string
	number  int
	started time.Time
	work    time.Duration
	timer   *time.Timer
}

// addExecutor starts an executor on a machine of its own.
func (d *deployment) addExecutor(labels ...string) (*executor, error) {
	i := len(d.executors) + 1
	x := &executor{d: d, machine: fmt.Sprintf("m-%02d", i), id: fmt.Sprintf("i-%02d", i), labels: labels, capacity: wholeCapacity}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x.address = l.Addr().String()
	d.executors = append(d.executors, x)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.startLocked(l)
	go x.checkIn()
	return x, nil
}

// startLocked begins a life of the executor. The caller holds the lock.
func (x *executor) startLocked(l net.Listener) {
	x.up, x.listener, x.born, x.fence, x.lastEnd, x.missed = true, l, time.Now(), 0, 0, 0
	x.runs, x.highest, x.ends = map[string]*taskRun{}, map[string]int{}, nil
	x.changed = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", x.start)
	mux.HandleFunc("POST /-/run-stop", x.stop)
	mux.HandleFunc("POST /-/hold", x.hold)
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	x.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func(s *http.Server) { _ = s.Serve(l) }(x.server)
	x.publishLocked()
	x.d.record.note(x.id, "executor starts on %s", x.machine)
}

// crash ends the life of the executor and everything that runs on it.
func (x *executor) crash(why string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.up {
		return
	}
	x.up = false
	lost := 0
	for _, r := range x.runs {
		r.timer.Stop()
		lost++
		x.d.record.note(x.id, "loses run %d of %s after %.1f s", r.number, r.task, time.Since(r.started).Seconds())
	}
	close(x.changed)
	_ = x.server.Close()
	x.d.record.note(x.id, "executor is down: %s; %d runs lost", why, lost)
}

// restart begins the next life at the same address; id is empty to keep the id.
func (x *executor) restart(id string) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed || x.up {
		return nil
	}
	l, err := net.Listen("tcp", x.address)
	if err != nil {
		return err
	}
	if id != "" {
		x.d.store.Put("keyed.servers", store.Record{Key: x.id})
		x.id = id
	}
	x.startLocked(l)
	return nil
}

func (x *executor) close() {
	x.crash("the case is over")
	x.mu.Lock()
	x.closed = true
	x.mu.Unlock()
}

func (x *executor) clockMS() int64 { return time.Since(x.born).Milliseconds() + 1000 }

// publishLocked writes the executor's entry. The caller holds the lock.
func (x *executor) publishLocked() {
	if x.cut {
		return
	}
	x.d.store.Put("keyed.servers", store.Record{Key: x.id, Value: mustMarshal(map[string]any{
		"service": serviceName, "address": x.address, "zone": "nuwara", "version": "1", "slots": 8, "state": "ready",
		"coldLeftMs": 0, "seq": time.Now().UnixMilli(), "born": x.born.UnixMilli(), "machine": x.machine, "labels": x.labels,
		"capacity": x.capacity.wire(), "clockMs": x.clockMS(),
	})})
}

// checkIn renews the entry at the interval of the site. The platform removes it after three
// intervals of silence.
func (x *executor) checkIn() {
	for range time.Tick(heartbeat) {
		x.mu.Lock()
		switch {
		case x.closed:
			x.mu.Unlock()
			return
		case x.up && !x.cut:
			x.missed = 0
			x.publishLocked()
		default:
			if x.missed++; x.missed == 3 {
				x.d.store.Put("keyed.servers", store.Record{Key: x.id})
			}
		}
		x.mu.Unlock()
	}
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMs    int64  `json:"untilMs"`
	Fence      int64  `json:"fence"`
	Checkpoint string `json:"checkpoint"`
	AckCursor  int64  `json:"ackCursor"`
	WaitMs     int64  `json:"waitMs"`
	Ticket     string `json:"ticket"`
}

// accept decodes an order and checks whom it is for and its fence. It returns with the lock held
// if ok is true.
func (x *executor) accept(rw http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if err := readJSON(r, &o); err != nil {
		writeJSON(rw, http.StatusBadRequest, map[string]any{})
		return o, false
	}
	x.mu.Lock()
	switch expected := r.Header.Get("Expect-Instance"); {
	case !x.up:
		x.mu.Unlock()
		panic(http.ErrAbortHandler)
	case expected != "" && expected != x.id:
		x.mu.Unlock()
		writeJSON(rw, http.StatusMisdirectedRequest, map[string]any{})
		return o, false
	case o.Fence < x.fence:
		x.refuse(rw, "fence")
		return o, false
	}
	x.fence = o.Fence
	return o, true
}

// refuse answers 409 and releases the lock.
func (x *executor) refuse(rw http.ResponseWriter, reason string) {
	clock := x.clockMS()
	x.mu.Unlock()
	writeJSON(rw, http.StatusConflict, map[string]any{"clockMs": clock, "reason": reason})
}

// extendLocked extends the lease. The caller holds the lock.
func (x *executor) extendLocked(untilMS int64) {
	if untilMS <= 0 {
		return
	}
	left := min(time.Duration(untilMS-x.clockMS())*time.Millisecond, x.d.site.holdMax)
	end := time.Now().Add(left)
	if !end.After(x.leaseEnd) {
		return
	}
	x.leaseEnd = end
	born := x.born
	time.AfterFunc(left, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if !x.up || !x.born.Equal(born) || time.Now().Before(x.leaseEnd) {
			return
		}
		for _, r := range x.runs {
			x.endLocked(r, "lapsed")
		}
	})
}

// endLocked ends a run. The caller holds the lock.
func (x *executor) endLocked(r *taskRun, how string) {
	if x.runs[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(x.runs, r.task)
	x.highest[r.task] = max(x.highest[r.task], r.number)
	x.lastEnd++
	x.ends = append(x.ends, []any{x.lastEnd, r.task, r.number, how, ""})
	close(x.changed)
	x.changed = make(chan struct{})
	x.d.record.note(x.id, "run %d of %s ends: %s, after %.1f s", r.number, r.task, how, time.Since(r.started).Seconds())
}

func (x *executor) start(rw http.ResponseWriter, request *http.Request) {
	o, ok := x.accept(rw, request)
	if !ok {
		return
	}
	current := x.runs[o.Task]
	switch {
	case current != nil && current.number == o.Run:
	case current != nil || o.Run <= x.highest[o.Task]:
		x.extendLocked(o.UntilMs)
		x.refuse(rw, "old")
		return
	case o.UntilMs < x.clockMS():
		x.refuse(rw, "late")
		return
	case x.d.needsTicket(o.Task) && !x.d.advisor.permits(o.Task, x.id, o.Ticket):
		x.refuse(rw, "ticket")
		return
	default:
		x.extendLocked(o.UntilMs)
		r := &taskRun{task: o.Task, number: o.Run, started: time.Now(), work: workOf(o.Spec)}
		r.timer = time.AfterFunc(r.work, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			if x.up {
				x.endLocked(r, "done")
			}
		})
		x.runs[o.Task] = r
		x.checkStartLocked(r)
		x.d.noteStart(o.Task)
		if x.d.deadly != nil {
			x.d.deadly(x, o.Task)
		}
		x.d.record.note(x.id, "run %d of %s starts, ordered with fence %d", o.Run, o.Task, o.Fence)
	}
	clock := x.clockMS()
	x.mu.Unlock()
	writeJSON(rw, http.StatusOK, map[string]any{"clockMs": clock})
}

// demand is what the tasks of a job require.
type demand struct {
	capacity
	label  string
	prefix string // of the queue
}

// needsTicket reports whether the task is of a queue with a policy.
func (d *deployment) needsTicket(task string) bool {
	return d.demandsByJob()[jobOf(task)].prefix == policyPrefix
}

// checkStartLocked checks the rules on the capacity and the label for a run that has just started.
// The caller holds the lock.
func (x *executor) checkStartLocked(r *taskRun) {
	used, all := capacity{}, x.d.demandsByJob()
	for task := range x.runs {
		used = used.plus(all[jobOf(task)].capacity)
	}
	room := x.capacity
	if time.Since(x.shrankAt) <= contactTime+heartbeat {
		room = x.former // a room that has shrunk counts later
	}
	if !used.fits(room) {
		x.d.record.breaks("LIMIT: the start of run %d of %s brings %s over its capacity: %+v in use of %+v", r.number, r.task, x.id, used, x.capacity)
	}
	if label := all[jobOf(r.task)].label; label != "" && !slices.Contains(x.labels, label) {
		x.d.record.breaks("ROUTE: run %d of %s, which requires the label %q, starts on %s with the labels %q", r.number, r.task, label, x.id, x.labels)
	}
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// workOf returns the work of a task that is written in its spec, in milliseconds.
func workOf(spec string) time.Duration {
	var ms int64
	if _, err := fmt.Sscanf(spec, "work %d", &ms); err != nil {
		ms = 1000
	}
	return time.Duration(ms) * time.Millisecond
}

func (x *executor) stop(rw http.ResponseWriter, request *http.Request) {
	o, ok := x.accept(rw, request)
	if !ok {
		return
	}
	x.d.record.note(x.id, "is told to stop run %d of %s", o.Run, o.Task)
	if r := x.runs[o.Task]; r != nil && r.number == o.Run {
		time.AfterFunc(x.d.site.stopTimeout/2, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			if x.up {
				x.endLocked(r, "stopped")
			}
		})
	} else {
		x.highest[o.Task] = max(x.highest[o.Task], o.Run)
	}
	clock := x.clockMS()
	x.mu.Unlock()
	writeJSON(rw, http.StatusOK, map[string]any{"clockMs": clock})
}

func (x *executor) hold(rw http.ResponseWriter, request *http.Request) {
	o, ok := x.accept(rw, request)
	if !ok {
		return
	}
	x.heldAt = time.Now()
	x.extendLocked(o.UntilMs)
	kept := x.ends[:0]
	for _, e := range x.ends {
		if e[0].(int64) > o.AckCursor {
			kept = append(kept, e)
		}
	}
	x.ends = kept
	changed, born := x.changed, x.born
	if len(x.ends) == 0 && o.WaitMs > 0 {
		x.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-request.Context().Done():
		}
		x.mu.Lock()
		if !x.up || !x.born.Equal(born) {
			x.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	running := [][]any{}
	for _, r := range x.runs {
		percent := min(100*time.Since(r.started)/max(r.work, 1), 100)
		running = append(running, []any{r.task, r.number, "", int(percent), 0})
	}
	answer := map[string]any{"clockMs": x.clockMS(), "born": x.born.UnixMilli(), "runningTasks": running, "endedRuns": append([][]any{}, x.ends...)}
	x.mu.Unlock()
	writeJSON(rw, http.StatusOK, answer)
}

// starts holds when a task of a job was first started, by job.
type starts struct {
	mu sync.Mutex
	at map[string]time.Time
}

// noteStart notes the start of a task.
func (d *deployment) noteStart(task string) {
	d.starts.mu.Lock()
	defer d.starts.mu.Unlock()
	job := jobOf(task)
	if _, known := d.starts.at[job]; !known {
		d.starts.at[job] = time.Now()
	}
}

// startedAt returns when a task of the job was first started, and whether one was.
func (d *deployment) startedAt(job string) (at time.Time, ok bool) {
	d.starts.mu.Lock()
	defer d.starts.mu.Unlock()
	at, ok = d.starts.at[job]
	return at, ok
}

// lastHold returns when the last hold arrived at the executor.
func (x *executor) lastHold() time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.heldAt
}

// become changes the kind of the executor for its next life.
func (x *executor) become(c capacity, labels ...string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.former, x.shrankAt = x.capacity, time.Now()
	x.capacity, x.labels = c, labels
}

// setCut cuts the executor off from the platform's store, or ends that.
func (x *executor) setCut(cut bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cut = cut
	x.d.record.note(x.id, "cut off from the platform's store: %v", cut)
	if !cut && x.up {
		x.publishLocked()
	}
}

// runsNow returns the number of runs on the executor.
func (x *executor) runsNow() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.runs)
}
