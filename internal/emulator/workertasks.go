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

// Hold implements workerlink.Worker. Another hold of the same attempt replaces the
// first one.
func (w *worker) Hold(_ context.Context, r workerlink.HoldRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkToken(r.Token); err != nil {
		return err
	}
	if w.faults.leaving {
		return newError(http.StatusConflict, workerlink.CodeLeaving, "the worker is leaving")
	}
	if err := w.checkMembers(r.Members); err != nil {
		return err
	}
	key := attemptKey{job: r.Job, attempt: r.Attempt}
	if a := w.attempts[key]; a != nil && a.started {
		return nil
	}
	if err := w.checkResources(key, r.Members); err != nil {
		return err
	}
	until := time.Now().Add(milliseconds(r.TTLMS))
	w.attempts[key] = &attempt{key: key, members: r.Members, holdExpiry: until}
	return nil
}

// checkMembers returns an error if there are no members, or if one is on another worker,
// names too many or too few accelerators, or one that the worker does not have.
func (w *worker) checkMembers(members []model.GangMember) error {
	if len(members) == 0 {
		return newError(http.StatusBadRequest, workerlink.CodeBadInput, "no members")
	}
	for _, m := range members {
		if m.Worker != w.info.ID {
			return newError(http.StatusBadRequest, workerlink.CodeBadInput, "member %d is on %s", m.TaskIndex, m.Worker)
		}
		if len(m.Accelerators) != m.Resources.Accelerators {
			return newError(http.StatusBadRequest, workerlink.CodeBadInput, "member %d names %d accelerators of %d",
				m.TaskIndex, len(m.Accelerators), m.Resources.Accelerators)
		}
		for _, index := range m.Accelerators {
			if index < 0 || index >= w.info.Capacity.Accelerators {
				return newError(http.StatusBadRequest, workerlink.CodeBadInput, "no accelerator %d", index)
			}
		}
	}
	return nil
}

// checkResources returns an error if the members need resources that other attempts
// hold or use. It drops expired holds. The caller holds mu.
func (w *worker) checkResources(key attemptKey, members []model.GangMember) error {
	now := time.Now()
	free := w.info.Capacity
	used := make([]bool, w.info.Capacity.Accelerators)
	for otherKey, a := range w.attempts {
		if !a.active(now) {
			delete(w.attempts, otherKey)
			continue
		}
		if otherKey != key {
			subtractResources(&free, used, a.members)
		}
	}
	for _, m := range members {
		if slices.ContainsFunc(m.Accelerators, func(i int) bool { return used[i] }) {
			return newError(http.StatusConflict, workerlink.CodeBusy, "an accelerator of member %d is in use", m.TaskIndex)
		}
		subtractResources(&free, used, []model.GangMember{m})
	}
	if free.CPUs < 0 || free.MemoryMB < 0 {
		return newError(http.StatusConflict, workerlink.CodeBusy, "CPUs or memory are in use")
	}
	return nil
}

// subtractResources subtracts the members' resources from free and marks their
// accelerators as used.
func subtractResources(free *model.Resources, used []bool, members []model.GangMember) {
	for _, m := range members {
		free.CPUs -= m.Resources.CPUs
		free.MemoryMB -= m.Resources.MemoryMB
		for _, index := range m.Accelerators {
			used[index] = true
		}
	}
}

// Start implements workerlink.Worker. A repeated call has no effect while the attempt
// runs.
func (w *worker) Start(_ context.Context, r workerlink.StartRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkToken(r.Token); err != nil {
		return err
	}
	a := w.attempts[attemptKey{job: r.Job, attempt: r.Attempt}]
	if a == nil || !a.active(time.Now()) {
		return newError(http.StatusConflict, workerlink.CodeNoHold, "the attempt is not held on this worker")
	}
	if a.started {
		return nil
	}
	if w.faults.leaving {
		return newError(http.StatusConflict, workerlink.CodeLeaving, "the worker is leaving")
	}
	if w.faults.failStarts {
		delete(w.attempts, a.key)
		return newError(http.StatusInternalServerError, workerlink.CodeStartFailed, "the worker cannot start tasks")
	}
	w.startAttempt(a, r)
	return nil
}

// startAttempt starts the tasks of a held attempt with their first lease. The caller
// holds mu.
func (w *worker) startAttempt(a *attempt, r workerlink.StartRequest) {
	now := time.Now()
	a.started = true
	a.gangSize = r.GangSize
	a.payload = parsePayload(r.Payload)
	a.savedRunMS = r.SavedRunMS
	a.startTime = now
	a.progress = milliseconds(r.SavedRunMS)
	a.progressAt = now
	a.rate = 1 / w.faults.runTimeFactor
	for _, m := range a.members {
		a.ledgerIndices = append(a.ledgerIndices, w.recorder.startTask(a.newTaskRun(m, w.info)))
	}
	w.setAttemptLease(a, now.Add(milliseconds(r.LeaseMS)))
	w.scheduleFinish(a)
	time.AfterFunc(w.usageLag, func() { w.reportUsage(a) })
}

// scheduleFinish sets the timer for the end of the attempt's run time. The caller holds
// mu.
func (w *worker) scheduleFinish(a *attempt) {
	if a.finishTimer != nil {
		a.finishTimer.Stop()
	}
	a.finishTimer = time.AfterFunc(a.remaining(), func() { w.finishAttempt(a) })
}

// finishAttempt ends the attempt if its run time is over.
func (w *worker) finishAttempt(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.updateProgress(time.Now())
	if a.remaining() > time.Millisecond { // the rate was lowered after the timer had fired
		return
	}
	if a.payload.Fail {
		w.endAttempt(a, workerlink.TaskFailed, ledger.OutcomeFailed)
		return
	}
	w.endAttempt(a, workerlink.TaskFinished, ledger.OutcomeFinished)
}

// reportUsage reports the CPU usage of an attempt that still runs.
func (w *worker) reportUsage(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.final || a.payload.CPUs == 0 {
		return
	}
	a.usageReported = true
	w.addEvents(a, workerlink.TaskRunning)
}

// Confirm implements workerlink.Worker.
func (w *worker) Confirm(_ context.Context, r workerlink.ConfirmRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, err := w.runningAttempt(r.Token, r.Job, r.Attempt)
	if err != nil {
		return err
	}
	if a == nil {
		return newError(http.StatusConflict, workerlink.CodeNoHold, "the attempt does not run")
	}
	a.confirmed = true
	for _, index := range a.ledgerIndices {
		w.recorder.confirmTask(index)
	}
	w.setAttemptLease(a, time.Now().Add(milliseconds(r.TTLMS)))
	return nil
}

// runningAttempt returns the started attempt, or nil if there is none. It returns an
// error if the token is not current. The caller holds mu.
func (w *worker) runningAttempt(t model.FencingToken, job model.JobKey, number int) (*attempt, error) {
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
// period is not saved.
func (w *worker) Stop(ctx context.Context, r workerlink.StopRequest) (workerlink.StopResponse, error) {
	if r.Checkpoint {
		if err := w.checkpointBeforeStop(ctx, r); err != nil {
			return workerlink.StopResponse{}, err
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	a, err := w.runningAttempt(r.Token, r.Job, r.Attempt)
	if err != nil {
		return workerlink.StopResponse{}, err
	}
	if a == nil {
		delete(w.attempts, attemptKey{job: r.Job, attempt: r.Attempt})
		return workerlink.StopResponse{SavedRunMS: w.savedRunMS(r), Finished: w.countFinished(r)}, nil
	}
	w.endAttempt(a, workerlink.TaskStopped, ledger.OutcomeStopped)
	return workerlink.StopResponse{SavedRunMS: a.savedRunMS}, nil
}

// savedRunMS returns the saved run time in milliseconds of an attempt whose end is
// not acknowledged yet, so that a repeated stop gets the same response. The caller
// holds mu.
func (w *worker) savedRunMS(r workerlink.StopRequest) int64 {
	for _, e := range w.events {
		if e.Task.ID.Job == r.Job && e.Task.ID.Attempt == r.Attempt {
			return e.Task.SavedRunMS
		}
	}
	return 0
}

// countFinished returns the number of the attempt's finished tasks that are not
// acknowledged yet. The caller holds mu.
func (w *worker) countFinished(r workerlink.StopRequest) int {
	n := 0
	for _, e := range w.events {
		id := e.Task.ID
		if id.Job == r.Job && id.Attempt == r.Attempt && e.Task.State == workerlink.TaskFinished {
			n++
		}
	}
	return n
}

// checkpointBeforeStop waits for a checkpoint, at most for the grace period, and saves
// it if it is done by then.
func (w *worker) checkpointBeforeStop(ctx context.Context, r workerlink.StopRequest) error {
	w.mu.Lock()
	a, err := w.runningAttempt(r.Token, r.Job, r.Attempt)
	w.mu.Unlock()
	if err != nil || a == nil {
		return err
	}
	checkpointTime := milliseconds(a.payload.CheckpointMS)
	grace := milliseconds(r.GraceMS)
	sleep(ctx, min(checkpointTime, grace))
	if checkpointTime > grace {
		return nil
	}
	w.saveCheckpoint(a)
	return nil
}

// saveCheckpoint saves the progress of the attempt unless it has ended.
func (w *worker) saveCheckpoint(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.final {
		return
	}
	a.updateProgress(time.Now())
	a.savedRunMS = min(a.progress.Milliseconds(), a.payload.RunMS)
}

// Checkpoint implements workerlink.Worker.
func (w *worker) Checkpoint(ctx context.Context, r workerlink.CheckpointRequest) (workerlink.StopResponse, error) {
	w.mu.Lock()
	a, err := w.runningAttempt(r.Token, r.Job, r.Attempt)
	w.mu.Unlock()
	if err != nil {
		return workerlink.StopResponse{}, err
	}
	if a == nil {
		return workerlink.StopResponse{}, newError(http.StatusConflict, workerlink.CodeNoHold, "the attempt does not run")
	}
	sleep(ctx, milliseconds(a.payload.CheckpointMS))
	w.saveCheckpoint(a)
	w.mu.Lock()
	defer w.mu.Unlock()
	return workerlink.StopResponse{SavedRunMS: a.savedRunMS}, nil
}

// Throttle implements workerlink.Worker.
func (w *worker) Throttle(_ context.Context, r workerlink.ThrottleRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, err := w.runningAttempt(r.Token, r.Job, r.Attempt)
	if err != nil {
		return err
	}
	if a == nil || r.Percent <= 0 || r.Percent > 100 {
		return newError(http.StatusBadRequest, workerlink.CodeBadInput, "no such running attempt, or percentage not between 1 and 100")
	}
	a.updateProgress(time.Now())
	a.rate = float64(r.Percent) / 100 / w.faults.runTimeFactor
	w.scheduleFinish(a)
	return nil
}

// updateFaults changes the faults. A worker that gets lost drops its attempts.
func (w *worker) updateFaults(change func(*workerFaults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	previous := w.faults
	change(&w.faults)
	if w.faults.lost && !previous.lost {
		w.dropAttempts()
	}
	if w.faults.runTimeFactor != previous.runTimeFactor {
		w.scaleRates(previous.runTimeFactor / w.faults.runTimeFactor)
	}
	w.notifyWaiters()
}

// dropAttempts ends all attempts and removes every trace of them from the worker. It
// keeps the token, because a worker must never grant the same token twice. The caller
// holds mu.
func (w *worker) dropAttempts() {
	for _, a := range w.attempts {
		w.endAttempt(a, workerlink.TaskLapsed, ledger.OutcomeWorkerLost)
	}
	clear(w.attempts)
	w.events = nil
	w.holder = ""
}

// scaleRates multiplies the rate of each running attempt by factor. The caller holds mu.
func (w *worker) scaleRates(factor float64) {
	for _, a := range w.attempts {
		if !a.started {
			continue
		}
		a.updateProgress(time.Now())
		a.rate *= factor
		w.scheduleFinish(a)
	}
}

// currentFaults returns the faults in force.
func (w *worker) currentFaults() workerFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// sleep waits for d or until the context ends.
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
