package emulator

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/ledger"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/workerlink"
)

// worker is one worker: its lease, holds and tasks.
type worker struct {
	info     model.Worker
	recorder *recorder
	usageLag time.Duration

	mu         sync.Mutex
	faults     workerState
	token      model.FencingToken
	holder     model.HostID
	leaseUntil time.Time
	attempts   map[attemptKey]*attempt
	seq        uint64
	events     []workerlink.Event // not acknowledged
	// changed is closed when a poll has something to answer.
	changed chan struct{}
}

// workerState holds the faults in force.
type workerState struct {
	bad, lost, leaving, paused bool
	slow                       float64       // run time factor; 1 is normal
	delay                      time.Duration // before every call
}

func newWorker(info model.Worker, r *recorder, usageLag time.Duration) *worker {
	return &worker{
		info:     info,
		recorder: r,
		usageLag: usageLag,
		faults:   workerState{slow: 1},
		attempts: map[attemptKey]*attempt{},
		changed:  make(chan struct{}),
	}
}

func refuse(status int, code workerlink.Code, format string, args ...any) error {
	body := workerlink.ErrorBody{Code: code, Message: fmt.Sprintf(format, args...)}
	return &workerlink.Error{Status: status, Body: body}
}

// wake answers the pending polls. The lock is held.
func (w *worker) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// checkToken refuses a call whose token is not the current one. The lock is held.
func (w *worker) checkToken(t model.FencingToken) error {
	if t == w.token && w.holder != "" {
		return nil
	}
	return refuse(http.StatusConflict, workerlink.CodeFenced, "token %d, the worker is at %d", t, w.token)
}

// Acquire implements workerlink.Worker. Every acquisition raises the token, also
// one by the same holder, so that calls of its earlier process are refused.
func (w *worker) Acquire(_ context.Context, r workerlink.AcquireRequest) (workerlink.AcquireResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	live := w.holder != "" && now.Before(w.leaseUntil)
	if live && w.holder != r.Holder && !r.Force {
		err := refuse(http.StatusConflict, workerlink.CodeBusy, "the lease is held by %s", w.holder)
		return workerlink.AcquireResponse{}, err
	}
	w.token++
	w.holder = r.Holder
	w.leaseUntil = now.Add(millis(r.TTLMS))
	w.wake()
	return workerlink.AcquireResponse{Token: w.token, Seq: w.seq, Tasks: w.tasks()}, nil
}

// tasks lists the running tasks and the final ones that were not acknowledged.
func (w *worker) tasks() []workerlink.Task {
	var list []workerlink.Task
	for _, a := range w.attempts {
		if !a.started || a.final {
			continue
		}
		for _, m := range a.members {
			list = append(list, a.task(m, workerlink.TaskRunning))
		}
	}
	for _, e := range w.events {
		if e.Task.State != workerlink.TaskRunning {
			list = append(list, e.Task)
		}
	}
	return list
}

// Renew implements workerlink.Worker. The leases are extended when the call
// arrives, not when it is answered.
func (w *worker) Renew(ctx context.Context, r workerlink.RenewRequest) (workerlink.RenewResponse, error) {
	deadline := time.NewTimer(millis(r.WaitMS))
	defer deadline.Stop()
	if err := w.extend(r); err != nil {
		return workerlink.RenewResponse{}, err
	}
	for last := false; ; {
		answer, changed, err := w.poll(r, last)
		if err != nil || answer != nil {
			return workerlink.RenewResponse{Events: answer}, err
		}
		if last {
			return workerlink.RenewResponse{}, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			last = true
		case <-ctx.Done():
			return workerlink.RenewResponse{}, ctx.Err()
		}
	}
}

// extend renews the worker lease and those of confirmed tasks, and forgets the
// acknowledged events.
func (w *worker) extend(r workerlink.RenewRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkToken(r.Token); err != nil {
		return err
	}
	until := time.Now().Add(millis(r.TTLMS))
	w.leaseUntil = until
	for _, a := range w.attempts {
		if a.started && a.confirmed && !a.final {
			w.setLease(a, until)
		}
	}
	w.events = slices.DeleteFunc(w.events, func(e workerlink.Event) bool { return e.Seq <= r.AckSeq })
	return nil
}

// poll returns the events after SinceSeq, or the channel to wait on. A
// usage report alone does not end the wait; the last poll carries it.
func (w *worker) poll(r workerlink.RenewRequest, last bool) ([]workerlink.Event, chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkToken(r.Token); err != nil {
		return nil, nil, err
	}
	urgent := func(e workerlink.Event) bool { return e.Task.State != workerlink.TaskRunning }
	fresh := w.eventsAfter(r.SinceSeq)
	if len(fresh) > 0 && (last || slices.ContainsFunc(fresh, urgent)) {
		return slices.Clone(fresh), nil, nil
	}
	return nil, w.changed, nil
}

// eventsAfter returns the kept events with a higher number. The lock is held.
func (w *worker) eventsAfter(seq uint64) []workerlink.Event {
	for i := range w.events {
		if w.events[i].Seq > seq {
			return w.events[i:]
		}
	}
	return nil
}

// Release implements workerlink.Worker.
func (w *worker) Release(_ context.Context, r workerlink.ReleaseRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkToken(r.Token); err != nil {
		return err
	}
	w.holder = ""
	w.wake()
	return nil
}

// addEvents records a change of an attempt's tasks. The lock is held.
func (w *worker) addEvents(a *attempt, state workerlink.TaskState) {
	for _, m := range a.members {
		w.seq++
		w.events = append(w.events, workerlink.Event{Seq: w.seq, Task: a.task(m, state)})
	}
	if state != workerlink.TaskRunning {
		w.wake()
	}
}

// setLease moves the end of a running attempt's lease. The lock is held.
func (w *worker) setLease(a *attempt, until time.Time) {
	a.leaseUntil = until
	if a.lease != nil {
		a.lease.Stop()
	}
	a.lease = time.AfterFunc(time.Until(until), func() { w.expire(a) })
}

// expire ends an attempt whose lease ran out.
func (w *worker) expire(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(a.leaseUntil) {
		return
	}
	w.end(a, workerlink.TaskLapsed, ledger.EndLapsed)
}

// end makes a started attempt final. The lock is held.
func (w *worker) end(a *attempt, state workerlink.TaskState, end ledger.End) {
	if a.final || !a.started {
		return
	}
	a.final = true
	a.stopTimers()
	delete(w.attempts, a.key)
	for _, index := range a.entries {
		w.recorder.endTask(index, end)
	}
	w.addEvents(a, state)
}

// millis converts milliseconds of a message.
func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
