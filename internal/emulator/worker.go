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

// worker is one emulated worker with its lease, holds and tasks.
type worker struct {
	info     model.Worker
	recorder *recorder
	usageLag time.Duration

	mu          sync.Mutex
	faults      workerFaults
	token       model.FencingToken // of the last acquisition
	holder      model.HostID       // empty after a release or the loss of the worker
	leaseExpiry time.Time
	attempts    map[attemptKey]*attempt
	seq         uint64
	events      []workerlink.Event // not yet acknowledged
	// changed is closed when waiting calls must check the state again.
	changed chan struct{}
}

// workerFaults are the faults in force.
type workerFaults struct {
	failStarts, lost, leaving, paused bool
	runTimeFactor                     float64       // factor of the run time; 1 is normal
	callDelay                         time.Duration // before and after the work of each call
}

func newWorker(info model.Worker, r *recorder, usageLag time.Duration) *worker {
	return &worker{
		info:     info,
		recorder: r,
		usageLag: usageLag,
		faults:   workerFaults{runTimeFactor: 1},
		attempts: map[attemptKey]*attempt{},
		changed:  make(chan struct{}),
	}
}

// newError returns a *workerlink.Error with the HTTP status, code and message.
func newError(status int, code workerlink.Code, format string, args ...any) error {
	body := workerlink.ErrorBody{Code: code, Message: fmt.Sprintf(format, args...)}
	return &workerlink.Error{Status: status, Body: body}
}

// notifyWaiters wakes the waiting calls. The caller holds mu.
func (w *worker) notifyWaiters() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// checkToken returns an error unless the token is that of the current lease holder. The
// caller holds mu.
func (w *worker) checkToken(t model.FencingToken) error {
	if t == w.token && w.holder != "" {
		return nil
	}
	return newError(http.StatusConflict, workerlink.CodeFenced, "token %d, the worker is at %d", t, w.token)
}

// Acquire implements workerlink.Worker. Each acquisition increments the token, even if
// the holder is the same, so that calls of the holder's earlier process are refused.
func (w *worker) Acquire(_ context.Context, r workerlink.AcquireRequest) (workerlink.AcquireResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	leased := w.holder != "" && now.Before(w.leaseExpiry)
	if leased && w.holder != r.Holder && !r.Force {
		err := newError(http.StatusConflict, workerlink.CodeBusy, "the lease is held by %s", w.holder)
		return workerlink.AcquireResponse{}, err
	}
	w.token++
	w.holder = r.Holder
	w.leaseExpiry = now.Add(milliseconds(r.TTLMS))
	w.notifyWaiters()
	return workerlink.AcquireResponse{Token: w.token, Seq: w.seq, Tasks: w.reportableTasks()}, nil
}

// reportableTasks returns the running tasks and the final ones whose events are not
// acknowledged. The caller holds mu.
func (w *worker) reportableTasks() []workerlink.Task {
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

// Renew implements workerlink.Worker. It extends the leases when the call arrives, not
// when it returns.
func (w *worker) Renew(ctx context.Context, r workerlink.RenewRequest) (workerlink.RenewResponse, error) {
	deadline := time.NewTimer(milliseconds(r.WaitMS))
	defer deadline.Stop()
	if err := w.renewLeases(r); err != nil {
		return workerlink.RenewResponse{}, err
	}
	for waitEnded := false; ; {
		events, changed, err := w.newEvents(r, waitEnded)
		if err != nil || events != nil {
			return workerlink.RenewResponse{Events: events}, err
		}
		if waitEnded {
			return workerlink.RenewResponse{}, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			waitEnded = true
		case <-ctx.Done():
			return workerlink.RenewResponse{}, ctx.Err()
		}
	}
}

// renewLeases extends the worker's lease and those of confirmed attempts, and drops the
// acknowledged events.
func (w *worker) renewLeases(r workerlink.RenewRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkToken(r.Token); err != nil {
		return err
	}
	until := time.Now().Add(milliseconds(r.TTLMS))
	w.leaseExpiry = until
	for _, a := range w.attempts {
		if a.started && a.confirmed && !a.final {
			w.setAttemptLease(a, until)
		}
	}
	w.events = slices.DeleteFunc(w.events, func(e workerlink.Event) bool { return e.Seq <= r.AckSeq })
	return nil
}

// newEvents returns the events after SinceSeq, or else a channel to wait on. Usage
// reports do not end the wait: they are returned with other events or, if waitEnded is
// set, alone.
func (w *worker) newEvents(r workerlink.RenewRequest, waitEnded bool) ([]workerlink.Event, chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkToken(r.Token); err != nil {
		return nil, nil, err
	}
	endsWait := func(e workerlink.Event) bool { return e.Task.State != workerlink.TaskRunning }
	events := w.eventsAfter(r.SinceSeq)
	if len(events) > 0 && (waitEnded || slices.ContainsFunc(events, endsWait)) {
		return slices.Clone(events), nil, nil
	}
	return nil, w.changed, nil
}

// eventsAfter returns the unacknowledged events with a higher sequence number. The
// caller holds mu.
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
	w.notifyWaiters()
	return nil
}

// addEvents adds an event with the new state for each task of the attempt. The caller
// holds mu.
func (w *worker) addEvents(a *attempt, state workerlink.TaskState) {
	for _, m := range a.members {
		w.seq++
		w.events = append(w.events, workerlink.Event{Seq: w.seq, Task: a.task(m, state)})
	}
	if state != workerlink.TaskRunning {
		w.notifyWaiters()
	}
}

// setAttemptLease sets the expiry of a running attempt's lease. The caller holds mu.
func (w *worker) setAttemptLease(a *attempt, until time.Time) {
	a.leaseExpiry = until
	if a.leaseTimer != nil {
		a.leaseTimer.Stop()
	}
	a.leaseTimer = time.AfterFunc(time.Until(until), func() { w.expireAttempt(a) })
}

// expireAttempt ends the attempt if its lease has expired.
func (w *worker) expireAttempt(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(a.leaseExpiry) {
		return
	}
	w.endAttempt(a, workerlink.TaskLapsed, ledger.OutcomeLeaseExpired)
}

// endAttempt makes a started attempt final and records the outcome of its tasks. The
// caller holds mu.
func (w *worker) endAttempt(a *attempt, state workerlink.TaskState, outcome ledger.TaskOutcome) {
	if a.final || !a.started {
		return
	}
	a.final = true
	a.stopTimers()
	delete(w.attempts, a.key)
	for _, index := range a.ledgerIndices {
		w.recorder.endTask(index, outcome)
	}
	w.addEvents(a, state)
}

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
