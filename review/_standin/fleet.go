package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of the executors, as in the settings file of a small installation.
const (
	heartbeat    = 1500 * time.Millisecond
	maxLease     = 10 * time.Second
	gangTimeout  = 3 * time.Second
	saveInterval = time.Second
	restoreTime  = 100 * time.Millisecond
	stopTime     = 100 * time.Millisecond // below stopTimeoutMs
	startupTime  = time.Second            // until a task that lasts is at work
	breakTime    = 100 * time.Millisecond // until the other members of a gang notice an end
	maxListed    = 500
)

// Step is a step of a job, as submitted, with the time that its tasks take.
type Step struct {
	Count         int     `json:"count"`
	CPU           int     `json:"cpu,omitempty"`
	MemMb         int     `json:"memMb,omitempty"`
	GPU           int     `json:"gpu,omitempty"`
	EstMs         int     `json:"estMs,omitempty"`
	After         []int   `json:"after,omitempty"`
	SavesProgress bool    `json:"savesProgress,omitempty"`
	Gang          bool    `json:"gang,omitempty"`
	Requires      string  `json:"requires,omitempty"`
	AntiAffinity  int     `json:"antiAffinity,omitempty"`
	LongRunning   bool    `json:"longRunning,omitempty"`
	MayMiss       int     `json:"mayMiss,omitempty"`
	TargetMs      float64 `json:"targetMs,omitempty"`
	Fills         bool    `json:"fills,omitempty"`
	Image         string  `json:"image,omitempty"`
	duration      time.Duration
}

// Job is a job of a requester.
type Job struct {
	id, queue string
	Spec      string `json:"spec"`
	Repeats   int    `json:"repeats,omitempty"`
	FirstMs   int64  `json:"firstMs,omitempty"`
	PeriodMs  int64  `json:"periodMs,omitempty"`
	Steps     []Step `json:"steps"`
}

type taskName struct {
	job                string
	times, step, index int
}

func (n taskName) String() string { return fmt.Sprintf("%s.%d.%d.%d", n.job, n.times, n.step, n.index) }

func parseTask(s string) (n taskName, ok bool) {
	if len(s) < 17 || s[16] != '.' {
		return n, false
	}
	n.job = s[:16]
	c, err := fmt.Sscanf(s[16:], ".%d.%d.%d", &n.times, &n.step, &n.index)
	return n, err == nil && c == 3
}

type run struct {
	task     taskName
	number   int
	worker   *Worker
	step     *Step
	began    time.Time // start of its work; zero while it waits for its gang
	progress time.Duration
	timer    *time.Timer
	stopping bool
}

type end struct {
	at         time.Time
	number     int64
	task       taskName
	run        int
	how, saved string
}

// Worker is an executor.
type Worker struct {
	f                        *Fleet
	id, kind, rack, zone     string
	address                  string
	cpu, mem, gpu            int
	up, cut, failing         bool
	healed                   chan struct{} // closed when a cut ends
	server                   *http.Server
	born                     time.Time
	seq                      int
	fence, lastEnd           int64
	lease, lapsed            time.Time
	leaseTimer               *time.Timer
	runs                     map[taskName]*run
	highest                  map[taskName]int
	ends                     []end
	changed                  chan struct{}
	starts, failures, silent int
}

// Fleet is all executors of one service.
type Fleet struct {
	mu      sync.Mutex
	store   *Store
	record  *Record
	service string
	workers []*Worker
	jobs    map[string]*Job
	gangs   map[string]map[int]*run
	done    map[taskName]bool
	attempt map[taskName]map[string]int // ends of a task by kind
	noted   map[taskName]time.Time      // when a task ended done, if that was taken note of before the lease lapsed
	again   map[taskName]time.Time      // starts of tasks after they ended done
	// starts and crashed count a task's starts and the executors that crashed under it;
	// afterThree counts the starts after the third crash.
	starts, crashed, afterThree map[taskName]int
	// failAfter returns after which time of work a run fails; 0 means that it doesn't.
	failAfter func(*run) time.Duration
	// crashes reports whether a run crashes its executor, which then doesn't answer the start.
	crashes func(*run) bool
	// verbose records each start and end.
	verbose bool
	closed  bool
}

func newFleet(s *Store, r *Record, service string) *Fleet {
	return &Fleet{store: s, record: r, service: service, jobs: map[string]*Job{}, gangs: map[string]map[int]*run{},
		done: map[taskName]bool{}, noted: map[taskName]time.Time{}, again: map[taskName]time.Time{}, attempt: map[taskName]map[string]int{}, failAfter: func(*run) time.Duration { return 0 }, crashes: func(*run) bool { return false },
		starts: map[taskName]int{}, crashed: map[taskName]int{}, afterThree: map[taskName]int{}}
}

func (f *Fleet) add(id, kind, rack, zone string, cpu, mem, gpu int) *Worker {
	w := &Worker{f: f, id: id, kind: kind, rack: rack, zone: zone, cpu: cpu, mem: mem, gpu: gpu, address: "127.0.0.1:0"}
	f.mu.Lock()
	f.workers = append(f.workers, w)
	w.boot()
	f.mu.Unlock()
	go func() {
		for range time.Tick(heartbeat) {
			f.mu.Lock()
			if f.closed {
				f.mu.Unlock()
				return
			}
			if w.up {
				w.silent = 0
				w.beat()
			} else if w.silent++; w.silent == 3 {
				f.store.put("keyed.servers", w.id, nil)
			}
			f.mu.Unlock()
		}
	}()
	return w
}

// boot begins a life of the executor. The caller holds the lock.
func (w *Worker) boot() {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		w.f.record.cannot("listen: %v", err)
	}
	w.address = l.Addr().String()
	w.up, w.born, w.seq, w.fence, w.lastEnd, w.lease = true, time.Now(), 0, 0, 0, time.Time{}
	w.runs, w.highest, w.ends, w.changed = map[taskName]*run{}, map[taskName]int{}, nil, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.call(w.start))
	mux.HandleFunc("POST /-/run-stop", w.call(w.stop))
	mux.HandleFunc("POST /-/hold", w.hold)
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	w.server = &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server)
	w.beat()
}

// crash ends the life of the executor with all that runs there.
func (w *Worker) crash() {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	for _, r := range w.runs {
		w.remove(r, "lost with its executor")
	}
	_ = w.server.Close()
}

// restart begins a new life under the same id and address.
func (w *Worker) restart() {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	if !w.up && !w.f.closed {
		w.boot()
	}
}

// setCut cuts the executor off from the system's machines; it runs on.
func (w *Worker) setCut(cut bool) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	if cut && !w.cut {
		w.healed = make(chan struct{})
	}
	if !cut && w.cut {
		close(w.healed)
	}
	w.cut = cut
}

// pass returns if the path to the executor is sound. In a cut, what was sent is lost and
// the channel is reset when the cut ends.
func (w *Worker) pass(r *http.Request) {
	w.f.mu.Lock()
	cut, healed, up := w.cut, w.healed, w.up
	w.f.mu.Unlock()
	if !up {
		panic(http.ErrAbortHandler)
	}
	if cut {
		select {
		case <-healed:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
}

func (w *Worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1000 }

// beat writes the executor's entry. The caller holds the lock.
func (w *Worker) beat() {
	w.seq++
	data, _ := json.Marshal(fields{
		"service": w.f.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": fields{"cpu": w.cpu, "memMb": w.mem, "gpu": w.gpu}, "labels": []string{w.kind, w.rack},
		"clockMs": w.clock(), "seq": w.seq, "born": w.born.UnixMilli(),
	})
	w.f.store.put("keyed.servers", w.id, data)
}

type order struct {
	Task, Spec, Checkpoint string
	Run                    int
	UntilMs, Fence         int64
	AckCursor, WaitMs      int64
}

// call decodes an order, checks its fence and the executor it is meant for, and answers it.
func (w *Worker) call(handle func(order) (int, fields)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.pass(r)
		w.f.mu.Lock()
		status, answer := w.check(r, o)
		if status == http.StatusOK {
			status, answer = handle(o)
		}
		answer["clockMs"] = w.clock()
		w.f.mu.Unlock()
		if status == statusCrash {
			go w.crashFor(crashTime)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		w.pass(r)
		reply(rw, status, answer)
	}
}

// statusCrash is the result of an order that crashes the executor.
const statusCrash = -1

// crashTime is how long an executor is away after a crash.
const crashTime = 3 * time.Second

// crashFor crashes the executor and starts it again after d.
func (w *Worker) crashFor(d time.Duration) {
	w.f.record.write("%s crashes", w.id)
	w.crash()
	time.Sleep(d)
	w.restart()
}

func (w *Worker) check(r *http.Request, o order) (int, fields) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		return http.StatusMisdirectedRequest, fields{}
	}
	if o.Fence < w.fence {
		return http.StatusConflict, fields{"reason": "fence"}
	}
	w.fence = o.Fence
	return http.StatusOK, fields{}
}

func (w *Worker) extend(untilMs int64) {
	until := w.born.Add(time.Duration(untilMs-1000) * time.Millisecond)
	if limit := time.Now().Add(maxLease); until.After(limit) {
		until = limit
	}
	if untilMs == 0 || !until.After(w.lease) {
		return
	}
	w.lease = until
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	born := w.born
	w.leaseTimer = time.AfterFunc(time.Until(until), func() {
		w.f.mu.Lock()
		defer w.f.mu.Unlock()
		if !w.up || !w.born.Equal(born) || time.Now().Before(w.lease) {
			return
		}
		w.lapsed = time.Now()
		for _, r := range w.runs {
			w.finish(r, "lapsed")
		}
	})
}

func (w *Worker) start(o order) (int, fields) {
	task, ok := parseTask(o.Task)
	j := w.f.jobs[task.job]
	if !ok || j == nil || task.step >= len(j.Steps) {
		w.f.record.write("UNASKED: %s is told to start %q", w.id, o.Task)
		return http.StatusBadRequest, fields{}
	}
	current := w.runs[task]
	switch {
	case current != nil && current.number == o.Run:
		w.extend(o.UntilMs)
		return http.StatusOK, fields{}
	case current != nil || o.Run <= w.highest[task]:
		w.extend(o.UntilMs)
		return http.StatusConflict, fields{"reason": "old"}
	case o.UntilMs < w.clock():
		return http.StatusConflict, fields{"reason": "late"}
	}
	w.extend(o.UntilMs)
	r := &run{task: task, number: o.Run, worker: w, step: &j.Steps[task.step]}
	w.runs[task] = r
	w.starts++
	if w.f.done[task] {
		w.f.again[task] = time.Now()
	}
	w.f.starts[task]++
	if w.f.crashed[task] >= 3 {
		w.f.afterThree[task]++
	}
	if w.f.verbose {
		w.f.record.write("%s run %d starts on %s", task, o.Run, w.id)
	}
	if w.f.crashes(r) {
		w.f.crashed[task]++
		return statusCrash, fields{}
	}
	var ms int64
	if _, err := fmt.Sscanf(o.Checkpoint, "%08x", &ms); err == nil {
		r.progress = time.Duration(ms) * time.Millisecond
	}
	if !r.step.Gang {
		r.begin()
		return http.StatusOK, fields{}
	}
	key := fmt.Sprintf("%s.%d.%d#%d", task.job, task.times, task.step, o.Run)
	if w.f.gangs[key] == nil {
		w.f.gangs[key] = map[int]*run{}
	}
	w.f.gangs[key][task.index] = r
	r.timer = time.AfterFunc(gangTimeout, func() {
		w.f.mu.Lock()
		defer w.f.mu.Unlock()
		if w.runs[task] == r && r.began.IsZero() {
			w.finish(r, "alone")
		}
	})
	if len(w.f.gangs[key]) == r.step.Count {
		for _, m := range w.f.gangs[key] {
			m.timer.Stop()
			m.begin()
		}
	}
	return http.StatusOK, fields{}
}

// begin begins the work of a run. The caller holds the lock.
func (r *run) begin() {
	r.began = time.Now()
	f := r.worker.f
	left := r.step.duration - r.progress
	if r.progress > 0 {
		left += restoreTime
	}
	how := "done"
	if after := f.failAfter(r); after > 0 {
		left, how = after, "failed"
	} else if r.step.LongRunning {
		return
	}
	r.timer = time.AfterFunc(left, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if r.worker.runs[r.task] == r {
			r.worker.finish(r, how)
		}
	})
}

// finish ends a run and lists its end. The caller holds the lock.
func (w *Worker) finish(r *run, how string) {
	saved := ""
	if how == "stopped" {
		saved = r.saved(true)
	}
	w.remove(r, how)
	w.lastEnd++
	w.ends = append(w.ends, end{time.Now(), w.lastEnd, r.task, r.number, how, saved})
	close(w.changed)
	w.changed = make(chan struct{})
	if !r.step.Gang || how == "alone" {
		return
	}
	key := fmt.Sprintf("%s.%d.%d#%d", r.task.job, r.task.times, r.task.step, r.number)
	members := w.f.gangs[key]
	if members == nil {
		return
	}
	delete(w.f.gangs, key)
	endOthers := func(how string) {
		for _, m := range members {
			if m.worker.runs[m.task] == m {
				m.worker.finish(m, how)
			}
		}
	}
	if how == "done" {
		endOthers("done")
		return
	}
	time.AfterFunc(breakTime, func() {
		w.f.mu.Lock()
		defer w.f.mu.Unlock()
		endOthers("broken")
	})
}

func (w *Worker) remove(r *run, how string) {
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	if w.f.attempt[r.task] == nil {
		w.f.attempt[r.task] = map[string]int{}
	}
	w.f.attempt[r.task][how]++
	if how == "done" {
		w.f.done[r.task] = true
	}
	if how == "failed" {
		w.failures++
	}
	if w.f.verbose {
		w.f.record.write("%s run %d ends on %s: %s", r.task, r.number, w.id, how)
	}
}

// saved returns the checkpoint of a run, of this moment or the last one that was due.
func (r *run) saved(now bool) string {
	if !r.step.SavesProgress || r.began.IsZero() {
		return ""
	}
	p := r.progress + time.Since(r.began)
	if !now {
		p = r.progress + time.Since(r.began).Truncate(saveInterval)
	}
	if p = min(p, r.step.duration); p <= 0 {
		return ""
	}
	return fmt.Sprintf("%08x%s", p.Milliseconds(), r.task.job[:8])
}

func (r *run) percent() int {
	whole := r.step.duration
	if r.step.LongRunning {
		whole = startupTime
	}
	if r.began.IsZero() || whole <= 0 {
		return 0
	}
	return int(min(100*(r.progress+time.Since(r.began))/whole, 100))
}

func (w *Worker) stop(o order) (int, fields) {
	task, ok := parseTask(o.Task)
	if !ok {
		return http.StatusBadRequest, fields{}
	}
	r := w.runs[task]
	if r == nil || r.number != o.Run {
		w.highest[task] = max(w.highest[task], o.Run)
		return http.StatusOK, fields{}
	}
	if !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTime, func() {
			w.f.mu.Lock()
			defer w.f.mu.Unlock()
			if w.runs[task] == r {
				w.finish(r, "stopped")
			}
		})
	}
	return http.StatusOK, fields{}
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.pass(r)
	w.f.mu.Lock()
	status, answer := w.check(r, o)
	if status != http.StatusOK {
		answer["clockMs"] = w.clock()
		w.f.mu.Unlock()
		reply(rw, status, answer)
		return
	}
	w.extend(o.UntilMs)
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.number > o.AckCursor {
			kept = append(kept, e)
		} else if e.how == "done" && w.lapsed.Before(e.at) {
			w.f.noted[e.task] = e.at
		}
	}
	w.ends = kept
	born, changed, wait := w.born, w.changed, len(w.ends) == 0 && o.WaitMs > 0
	w.f.mu.Unlock()
	if wait {
		timer := time.NewTimer(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
		}
		timer.Stop()
	}
	w.pass(r)
	w.f.mu.Lock()
	if !w.born.Equal(born) {
		w.f.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range w.runs {
		figure := x.step.CPU
		if x.step.TargetMs > 0 {
			figure = int(x.step.TargetMs / 2)
		}
		running = append(running, []any{x.task.String(), x.number, x.saved(false), x.percent(), figure})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListed)] {
		ended = append(ended, []any{e.number, e.task.String(), e.run, e.how, e.saved})
	}
	answer = fields{"clockMs": w.clock(), "born": w.born.UnixMilli(), "runningTasks": running, "endedRuns": ended}
	w.f.mu.Unlock()
	reply(rw, http.StatusOK, answer)
}

// running returns how many tasks of the job run, and how many of them are at work.
func (f *Fleet) running(j *Job) (running, atWork int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		for _, r := range w.runs {
			if r.task.job == j.id {
				running++
				if r.percent() == 100 {
					atWork++
				}
			}
		}
	}
	return running, atWork
}

// ended returns how many runs of the job's tasks ended, by kind, and how many tasks are done.
func (f *Fleet) ended(j *Job) (byKind map[string]int, done int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	byKind = map[string]int{}
	for t, kinds := range f.attempt {
		if t.job == j.id {
			for how, n := range kinds {
				byKind[how] += n
			}
		}
	}
	for t := range f.done {
		if t.job == j.id {
			done++
		}
	}
	return byKind, done
}

// twice returns how many tasks of the job started again after they had ended done, where
// that end was taken note of.
func (f *Fleet) twice(j *Job) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for t := range f.again {
		if _, noted := f.noted[t]; t.job == j.id && noted {
			n++
		}
	}
	return n
}

// used returns the share of the executors' cores and GPUs that running tasks need.
func (f *Fleet) used() (cpu, gpu float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var c, g, allC, allG int
	for _, w := range f.workers {
		allC, allG = allC+w.cpu, allG+w.gpu
		for _, r := range w.runs {
			g += r.step.GPU
			if !r.step.Fills {
				c += r.step.CPU
			}
		}
	}
	return float64(c) / float64(allC), float64(g) / float64(max(allG, 1))
}

// close ends all executors. The caller may hold the lock if it ends the script.
func (f *Fleet) close() {
	if f.mu.TryLock() {
		defer f.mu.Unlock()
	}
	f.closed = true
	for _, w := range f.workers {
		if w.up {
			_ = w.server.Close()
		}
	}
}
