package main

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/standin"
	"github.com/daisyfold/daisyfold/platform"
)

// Times of the workers, as in the settings.
const (
	heartbeat   = 1500 * time.Millisecond
	maxLease    = 10 * time.Second
	maxHoldWait = 2 * time.Second
)

// worker is a stand-in of a worker ("executor" on the platform's pages). Its processes follow one
// another at the same address; each knows nothing of the former one.
type worker struct {
	rec                *recorder
	store              *standin.Store
	id, service, zone  string
	machine            string
	labels             []string
	address            string
	cpu, memoryMB, gpu int
	mu                 sync.Mutex
	up                 bool
	busy               bool      // answers starts with 503 and does nothing
	cut                bool      // cannot reach the store
	heldAt             time.Time // when the last hold arrived
	born               time.Time
	fence              int64
	leaseEnd           int64 // on the worker's clock, in milliseconds
	runs               map[string]*taskRun
	ended              []endedRun
	lastEnd            int64
	highest            map[string]int // highest run that was stopped or has ended, by task
	changed            chan struct{}
	listener           net.Listener
	conns              map[net.Conn]bool
	started            []string // all runs that were ever started, as TASK#RUN
	endings            map[string]int
	stopHeartbeat      chan struct{}
}

type taskRun struct {
	task     string
	run      int
	began    time.Time
	duration time.Duration
	timer    *time.Timer
}

type endedRun struct {
	number int64
	task   string
	run    int
	how    string
}

func newWorker(rec *recorder, s *standin.Store, id, service, zone, rack, kind string) *worker {
	return &worker{
		rec: rec, store: s, id: id, service: service, zone: zone, machine: "m-" + id, labels: []string{kind, rack},
		cpu: 128_000, memoryMB: 524_288, gpu: 8, endings: map[string]int{},
	}
}

// start begins a process of the worker.
func (w *worker) start() error {
	l, err := net.Listen("tcp", cmp.Or(w.address, "127.0.0.1:0"))
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address, w.listener, w.up, w.born = l.Addr().String(), l, true, time.Now()
	w.fence, w.leaseEnd, w.lastEnd, w.ended = 0, 0, 0, nil
	w.runs, w.highest, w.conns = map[string]*taskRun{}, map[string]int{}, map[net.Conn]bool{}
	w.changed, w.stopHeartbeat = make(chan struct{}), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.serve(w.startRun))
	mux.HandleFunc("POST /-/run-stop", w.serve(w.stopRun))
	mux.HandleFunc("POST /-/pace", w.serve(func(order) (int, map[string]any) { return http.StatusOK, nil }))
	mux.HandleFunc("POST /-/hold", w.serve(w.hold))
	server := &http.Server{Handler: mux, ConnState: func(c net.Conn, s http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if s == http.StateNew {
			w.conns[c] = true
		}
	}}
	go func() { _ = server.Serve(l) }()
	w.register()
	go w.beat(w.stopHeartbeat)
	go w.watchLease(w.stopHeartbeat)
	w.rec.note("worker %s begins, born %d", w.id, w.born.UnixMilli())
	return nil
}

// crash ends the process of the worker: its runs are gone, and its connections are reset.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.rec.note("worker %s crashes with %d runs", w.id, len(w.runs))
	w.end()
}

// end ends the process. The caller holds the lock.
func (w *worker) end() {
	w.up = false
	for _, r := range w.runs {
		r.timer.Stop()
		w.rec.note("run %s#%d is gone with worker %s", r.task, r.run, w.id)
	}
	w.runs = map[string]*taskRun{}
	close(w.stopHeartbeat)
	_ = w.listener.Close()
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1000 }

// register writes the worker's entry, unless the worker is cut off from the store. The caller holds the lock.
func (w *worker) register() {
	if w.cut {
		return
	}
	value, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]any{"cpu": w.cpu, "memMb": w.memoryMB, "gpu": w.gpu}, "labels": w.labels,
		"clockMs": w.clock(), "born": w.born.UnixMilli(), "seq": w.clock(), "machine": w.machine,
	})
	w.store.Put(platform.TopicWorkers, store.Record{Key: w.id, Value: value})
}

func (w *worker) beat(stop chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			w.mu.Lock()
			if w.up {
				w.register()
			}
			w.mu.Unlock()
		}
	}
}

// watchLease ends all runs when the lease expires.
func (w *worker) watchLease(stop chan struct{}) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			w.mu.Lock()
			if w.up && w.clock() > w.leaseEnd {
				for _, r := range w.runs {
					w.endRun(r, "lapsed")
				}
			}
			w.mu.Unlock()
		}
	}
}

// order is the body of a call.
type order struct {
	Task       string
	Run        int
	Spec       string
	UntilMs    int64
	Fence      int64
	Checkpoint string
	AckCursor  int64
	WaitMs     int64
}

// serve returns the handler of a call, which runs with the lock held.
func (w *worker) serve(f func(order) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case !w.up:
			panic(http.ErrAbortHandler)
		case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != w.id:
			w.answer(rw, http.StatusMisdirectedRequest, nil)
			return
		case o.Fence < w.fence:
			w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
			return
		}
		if w.busy && strings.HasSuffix(r.URL.Path, "run-start") {
			w.rec.note("worker %s answers the start of %s#%d with 503", w.id, o.Task, o.Run)
			w.answer(rw, http.StatusServiceUnavailable, nil)
			return
		}
		w.fence = o.Fence
		born := w.born
		status, body := f(o)
		if !w.up || w.born != born {
			panic(http.ErrAbortHandler) // crashed meanwhile
		}
		w.answer(rw, status, body)
	}
}

func (w *worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	body["clockMs"], body["born"] = w.clock(), w.born.UnixMilli()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (w *worker) extendLease(until int64) {
	w.leaseEnd = max(w.leaseEnd, min(until, w.clock()+maxLease.Milliseconds()))
}

// durationOf returns the time of work that a spec "work=MS" asks for.
func durationOf(spec string) time.Duration {
	ms, err := strconv.Atoi(strings.TrimPrefix(strings.Fields(spec)[0], "work="))
	if err != nil {
		return time.Second
	}
	return time.Duration(ms) * time.Millisecond
}

func (w *worker) startRun(o order) (int, map[string]any) {
	if r := w.runs[o.Task]; r != nil && r.run == o.Run {
		w.extendLease(o.UntilMs)
		return http.StatusOK, nil
	}
	if o.UntilMs <= w.clock() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	w.extendLease(o.UntilMs)
	if o.Run <= w.highest[o.Task] || w.runs[o.Task] != nil {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	r := &taskRun{task: o.Task, run: o.Run, began: time.Now(), duration: durationOf(o.Spec)}
	w.runs[o.Task] = r
	w.started = append(w.started, o.Task+"#"+strconv.Itoa(o.Run))
	w.rec.note("worker %s starts %s#%d, spec %q, fence %d", w.id, o.Task, o.Run, o.Spec, o.Fence)
	r.timer = time.AfterFunc(r.duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[r.task] == r {
			w.endRun(r, "done")
		}
	})
	return http.StatusOK, nil
}

func (w *worker) stopRun(o order) (int, map[string]any) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.run == o.Run {
		w.endRun(r, "stopped")
	}
	return http.StatusOK, nil
}

// endRun ends a run and lists its end. The caller holds the lock.
func (w *worker) endRun(r *taskRun, how string) {
	r.timer.Stop()
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	w.endings[how]++
	w.ended = append(w.ended, endedRun{w.lastEnd, r.task, r.run, how})
	w.rec.note("run %s#%d on worker %s ends: %s", r.task, r.run, w.id, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) hold(o order) (int, map[string]any) {
	w.heldAt = time.Now()
	w.ended = slices.DeleteFunc(w.ended, func(e endedRun) bool { return e.number <= o.AckCursor })
	if o.UntilMs > 0 {
		w.extendLease(o.UntilMs)
	}
	if o.WaitMs > 0 && len(w.ended) == 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(time.Duration(o.WaitMs)*time.Millisecond, maxHoldWait)):
		}
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := int(100 * time.Since(r.began) / r.duration)
		running = append(running, []any{r.task, r.run, "", min(percent, 99), 1000})
	}
	for _, e := range w.ended {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"runningTasks": running, "endedRuns": ended}
}

// runningTask returns how long a run of the job has been at work here, and whether there is one.
func (w *worker) runningTask(job string) (age time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if strings.HasPrefix(r.task, job+".") {
			return time.Since(r.began), true
		}
	}
	return 0, false
}

// startsOf returns the runs of the job that the worker has ever started.
func (w *worker) startsOf(job string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, name := range w.started {
		if strings.HasPrefix(name, job+".") {
			out = append(out, name)
		}
	}
	return out
}

// endsAs returns how many runs have ended in this way on the worker.
func (w *worker) endsAs(how string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endings[how]
}

// awaitHold waits until the next hold has arrived and been answered.
func (w *worker) awaitHold(timeout time.Duration) bool {
	asked := time.Now()
	for deadline := asked.Add(timeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		w.mu.Lock()
		arrived := w.heldAt.After(asked)
		w.mu.Unlock()
		if arrived {
			time.Sleep(50 * time.Millisecond)
			return true
		}
	}
	return false
}

// rebornAs lets the worker crash while it is cut off from the store, and start again at the same
// address and under the same id as one of another kind.
func (w *worker) rebornAs(kind string, downTime time.Duration) error {
	w.mu.Lock()
	w.cut = true
	w.mu.Unlock()
	w.rec.note("worker %s is cut off from the store", w.id)
	w.crash()
	time.Sleep(downTime)
	w.mu.Lock()
	w.labels = []string{kind, w.labels[1]}
	w.mu.Unlock()
	w.rec.note("worker %s comes back as one of kind %s", w.id, kind)
	return w.start()
}

// heal ends the cut from the store.
func (w *worker) heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = false
	if w.up {
		w.register()
	}
}

func (w *worker) setBusy(busy bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy = busy
	w.rec.note("worker %s is busy: %v", w.id, busy)
}
