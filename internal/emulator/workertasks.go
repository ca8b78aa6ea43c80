package emulator

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/daisyfold/daisyfold/internal/ledger"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/workerlink"
)

// Hold implements workerlink.Worker. A second hold of the same attempt replaces
// the first one.
func (w *worker) Hold(_ context.Context, r workerlink.HoldRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkToken(r.Token); err != nil {
		return err
	}
	if w.faults.leaving {
		return refuse(http.StatusConflict, workerlink.CodeLeaving, "the worker is leaving")
	}
	if err := w.checkMembers(r.Members); err != nil {
		return err
	}
	key := attemptKey{job: r.Job, attempt: r.Attempt}
	if a := w.attempts[key]; a != nil && a.started {
		return nil
	}
	if err := w.checkFree(key, r.Members); err != nil {
		return err
	}
	until := time.Now().Add(millis(r.TTLMS))
	w.attempts[key] = &attempt{key: key, members: r.Members, holdUntil: until}
	return nil
}

// checkMembers refuses members that are not on this worker or name an accelerator
// that it does not have.
func (w *worker) checkMembers(members []model.GangMember) error {
	if len(members) == 0 {
		return refuse(http.StatusBadRequest, workerlink.CodeBadInput, "no members")
	}
	for _, m := range members {
		if m.Worker != w.info.ID {
			return refuse(http.StatusBadRequest, workerlink.CodeBadInput, "member %d is on %s", m.TaskIndex, m.Worker)
		}
		if len(m.Accelerators) != m.Resources.Accelerators {
			return refuse(http.StatusBadRequest, workerlink.CodeBadInput, "member %d names %d accelerators of %d",
				m.TaskIndex, len(m.Accelerators), m.Resources.Accelerators)
		}
		for _, index := range m.Accelerators {
			if index < 0 || index >= w.info.Capacity.Accelerators {
				return refuse(http.StatusBadRequest, workerlink.CodeBadInput, "no accelerator %d", index)
			}
		}
	}
	return nil
}

// checkFree refuses members whose resources are held or in use by other attempts.
// Holds that lapsed are dropped. The lock is held.
func (w *worker) checkFree(key attemptKey, members []model.GangMember) error {
	now := time.Now()
	free := w.info.Capacity
	used := make([]bool, w.info.Capacity.Accelerators)
	for other, a := range w.attempts {
		if !a.active(now) {
			delete(w.attempts, other)
			continue
		}
		if other != key {
			take(&free, used, a.members)
		}
	}
	for _, m := range members {
		if slices.ContainsFunc(m.Accelerators, func(i int) bool { return used[i] }) {
			return refuse(http.StatusConflict, workerlink.CodeBusy, "an accelerator of member %d is in use", m.TaskIndex)
		}
		take(&free, used, []model.GangMember{m})
	}
	if free.CPUs < 0 || free.MemoryMB < 0 {
		return refuse(http.StatusConflict, workerlink.CodeBusy, "CPUs or memory are in use")
	}
	return nil
}

// take subtracts the members' resources.
func take(free *model.Resources, used []bool, members []model.GangMember) {
	for _, m := range members {
		free.CPUs -= m.Resources.CPUs
		free.MemoryMB -= m.Resources.MemoryMB
		for _, index := range m.Accelerators {
			used[index] = true
		}
	}
}

// Start implements workerlink.Worker. It is idempotent while the attempt runs.
func (w *worker) Start(_ context.Context, r workerlink.StartRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkToken(r.Token); err != nil {
		return err
	}
	a := w.attempts[attemptKey{job: r.Job, attempt: r.Attempt}]
	if a == nil || !a.active(time.Now()) {
		return refuse(http.StatusConflict, workerlink.CodeNoHold, "the attempt is not held")
	}
	if a.started {
		return nil
	}
	if w.faults.leaving {
		return refuse(http.StatusConflict, workerlink.CodeLeaving, "the worker is leaving")
	}
	if w.faults.bad {
		delete(w.attempts, a.key)
		return refuse(http.StatusInternalServerError, workerlink.CodeStartFailed, "the worker cannot start tasks")
	}
	w.begin(a, r)
	return nil
}

// begin runs a held attempt under its first lease. The lock is held.
func (w *worker) begin(a *attempt, r workerlink.StartRequest) {
	now := time.Now()
	a.started = true
	a.gangSize = r.GangSize
	a.payload = parsePayload(r.Payload)
	a.servedMS = r.RestoreMS
	a.startTime = now
	a.progress = millis(r.RestoreMS)
	a.progressAt = now
	a.rate = 1 / w.faults.slow
	for _, m := range a.members {
		a.entries = append(a.entries, w.recorder.startTask(a.ledgerRun(m, w.info)))
	}
	w.setLease(a, now.Add(millis(r.LeaseMS)))
	w.schedule(a)
	time.AfterFunc(w.usageLag, func() { w.reportUsage(a) })
}

// schedule sets the timer of an attempt's end. The lock is held.
func (w *worker) schedule(a *attempt) {
	if a.finish != nil {
		a.finish.Stop()
	}
	a.finish = time.AfterFunc(a.remaining(), func() { w.complete(a) })
}

// complete ends an attempt whose run time is over.
func (w *worker) complete(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.advance(time.Now())
	if a.remaining() > time.Millisecond { // the rate fell after the timer fired
		return
	}
	if a.payload.Fail {
		w.end(a, workerlink.TaskFailed, ledger.EndFailed)
		return
	}
	w.end(a, workerlink.TaskFinished, ledger.EndFinished)
}

// reportUsage shows the usage of an attempt that still runs.
func (w *worker) reportUsage(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.final || a.payload.CPUs == 0 {
		return
	}
	a.usageShown = true
	w.addEvents(a, workerlink.TaskRunning)
}

// Confirm implements workerlink.Worker.
func (w *worker) Confirm(_ context.Context, r workerlink.ConfirmRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, err := w.running(r.Token, r.Job, r.Attempt)
	if err != nil {
		return err
	}
	if a == nil {
		return refuse(http.StatusConflict, workerlink.CodeNoHold, "the attempt does not run")
	}
	a.confirmed = true
	for _, index := range a.entries {
		w.recorder.confirmTask(index)
	}
	w.setLease(a, time.Now().Add(millis(r.TTLMS)))
	return nil
}

// running returns the started attempt, or nil if there is none. The lock is held.
func (w *worker) running(t model.FencingToken, job model.JobKey, number int) (*attempt, error) {
	if err := w.checkToken(t); err != nil {
		return nil, err
	}
	a := w.attempts[attemptKey{job: job, attempt: number}]
	if a == nil || !a.started {
		return nil, nil
	}
	return a, nil
}

// Stop implements workerlink.Worker. A checkpoint that takes longer than the grace
// time is not kept.
func (w *worker) Stop(ctx context.Context, r workerlink.StopRequest) (workerlink.StopResponse, error) {
	if r.Checkpoint {
		if err := w.saveBeforeStop(ctx, r); err != nil {
			return workerlink.StopResponse{}, err
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	a, err := w.running(r.Token, r.Job, r.Attempt)
	if err != nil {
		return workerlink.StopResponse{}, err
	}
	if a == nil {
		delete(w.attempts, attemptKey{job: r.Job, attempt: r.Attempt})
		return workerlink.StopResponse{ServedMS: w.lastServed(r), Finished: w.finished(r)}, nil
	}
	w.end(a, workerlink.TaskStopped, ledger.EndStopped)
	return workerlink.StopResponse{ServedMS: a.servedMS}, nil
}

// lastServed returns the run time kept by an attempt that ended and whose end was
// not acknowledged, so that a repeated stop has the same answer. The lock is held.
func (w *worker) lastServed(r workerlink.StopRequest) int64 {
	for _, e := range w.events {
		if e.Task.ID.Job == r.Job && e.Task.ID.Attempt == r.Attempt {
			return e.Task.ServedMS
		}
	}
	return 0
}

// finished counts the attempt's finished tasks that were not acknowledged. The lock
// is held.
func (w *worker) finished(r workerlink.StopRequest) int {
	n := 0
	for _, e := range w.events {
		id := e.Task.ID
		if id.Job == r.Job && id.Attempt == r.Attempt && e.Task.State == workerlink.TaskFinished {
			n++
		}
	}
	return n
}

// saveBeforeStop waits for a checkpoint, at most for the grace time.
func (w *worker) saveBeforeStop(ctx context.Context, r workerlink.StopRequest) error {
	w.mu.Lock()
	a, err := w.running(r.Token, r.Job, r.Attempt)
	w.mu.Unlock()
	if err != nil || a == nil {
		return err
	}
	takes := millis(a.payload.CheckpointMS)
	grace := millis(r.GraceMS)
	sleep(ctx, min(takes, grace))
	if takes > grace {
		return nil
	}
	w.save(a)
	return nil
}

// save keeps the progress of an attempt.
func (w *worker) save(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.final {
		return
	}
	a.advance(time.Now())
	a.servedMS = min(a.progress.Milliseconds(), a.payload.RunMS)
}

// Checkpoint implements workerlink.Worker.
func (w *worker) Checkpoint(ctx context.Context, r workerlink.CheckpointRequest) (workerlink.StopResponse, error) {
	w.mu.Lock()
	a, err := w.running(r.Token, r.Job, r.Attempt)
	w.mu.Unlock()
	if err != nil {
		return workerlink.StopResponse{}, err
	}
	if a == nil {
		return workerlink.StopResponse{}, refuse(http.StatusConflict, workerlink.CodeNoHold, "the attempt does not run")
	}
	sleep(ctx, millis(a.payload.CheckpointMS))
	w.save(a)
	w.mu.Lock()
	defer w.mu.Unlock()
	return workerlink.StopResponse{ServedMS: a.servedMS}, nil
}

// Throttle implements workerlink.Worker.
func (w *worker) Throttle(_ context.Context, r workerlink.ThrottleRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, err := w.running(r.Token, r.Job, r.Attempt)
	if err != nil {
		return err
	}
	if a == nil || r.Percent <= 0 || r.Percent > 100 {
		return refuse(http.StatusBadRequest, workerlink.CodeBadInput, "no such attempt, or a bad percentage")
	}
	a.advance(time.Now())
	a.rate = float64(r.Percent) / 100 / w.faults.slow
	w.schedule(a)
	return nil
}

// setState applies new faults. A worker that is lost drops its tasks.
func (w *worker) setState(change func(*workerState)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.faults
	change(&w.faults)
	if w.faults.lost && !before.lost {
		w.lose()
	}
	if w.faults.slow != before.slow {
		w.changeRates(before.slow / w.faults.slow)
	}
	w.wake()
}

// lose ends all tasks without a trace on the worker. The token stays, because a
// worker must never grant the same token twice. The lock is held.
func (w *worker) lose() {
	for _, a := range w.attempts {
		w.end(a, workerlink.TaskLapsed, ledger.EndLost)
	}
	clear(w.attempts)
	w.events = nil
	w.holder = ""
}

// changeRates multiplies the rate of every running attempt. The lock is held.
func (w *worker) changeRates(factor float64) {
	for _, a := range w.attempts {
		if !a.started {
			continue
		}
		a.advance(time.Now())
		a.rate *= factor
		w.schedule(a)
	}
}

// state returns the faults in force.
func (w *worker) state() workerState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// sleep waits for d or until the call is abandoned.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
