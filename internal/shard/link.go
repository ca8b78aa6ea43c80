package shard

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/platformhttp"
	"github.com/daisyfold/daisyfold/internal/platform/workerlink"
)

// link is the planner's connection to one worker. It holds the worker's lease, the tasks
// that the worker last reported, and the results of the last starts.
type link struct {
	worker       model.Worker
	client       workerlink.Worker
	host         model.HostID
	onChange     func()
	cancel       context.CancelFunc // ends run
	acquireSlots chan struct{}      // bounds concurrent acquisitions of the shard
	now          func() time.Time

	mu    sync.Mutex
	held  bool
	token model.FencingToken
	// lastRenewalEnd is when the last renewal was answered or given up. The worker may have
	// received it until then, so its leases may last leaseTTL longer.
	lastRenewalEnd time.Time
	// failingSince is when calls began to fail. It is zero while calls succeed.
	failingSince time.Time
	// handedOver is set when the shard is handed over: the link still renews, so that
	// operations can end, but it no longer acquires the worker.
	handedOver bool
	// leaving is set when the platform's host list marks the worker as leaving.
	leaving bool
	// lastEventSeq is the sequence number of the last event received from the worker.
	lastEventSeq uint64
	tasks        map[model.TaskID]workerlink.Task
	// taskChanges is the number of changes of tasks. taskList is the last copy of tasks, or
	// nil after a change.
	taskChanges uint64
	taskList    []workerlink.Task
	// unrecordedSeqs holds the event sequence numbers of ended tasks whose end is not in
	// the journal yet. They must not be acknowledged.
	unrecordedSeqs map[model.TaskID]uint64
	health         startHealth
}

func newLink(w model.Worker, client workerlink.Worker, host model.HostID, now func() time.Time, acquireSlots chan struct{}, onChange func()) *link {
	return &link{
		worker: w, client: client, host: host, now: now, acquireSlots: acquireSlots, onChange: onChange,
		tasks:          map[model.TaskID]workerlink.Task{},
		unrecordedSeqs: map[model.TaskID]uint64{},
	}
}

// run acquires the worker and renews its lease until ctx is done.
func (l *link) run(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		err := l.acquireOrRenew(ctx)
		if err == nil {
			delay = minRetryDelay
			continue
		}
		d := delay
		delay = min(2*delay, maxRetryDelay)
		if isFenced(err) {
			l.loseLease()
			d = minFencedDelay + rand.N(maxFencedJitter)
		} else {
			l.recordCallFailure()
		}
		sleep(ctx, d)
	}
}

// recordCallFailure records that a call failed. The link then acquires the worker instead of
// renewing the lease. An acquisition does not extend the leases of tasks, so the tasks of a
// worker that receives calls but whose answers are lost are certain to end.
func (l *link) recordCallFailure() {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failingSince.IsZero() {
		l.failingSince = now
	}
	l.held = false
}

// acquireOrRenew renews the lease if it is held and otherwise acquires the worker. If the
// lease is not held after the shard was handed over, it waits until ctx is done.
func (l *link) acquireOrRenew(ctx context.Context) error {
	l.mu.Lock()
	held, handedOver := l.held, l.handedOver
	l.mu.Unlock()
	switch {
	case held:
		return l.renew(ctx)
	case handedOver:
		<-ctx.Done()
		return ctx.Err()
	default:
		return l.acquire(ctx)
	}
}

// acquire takes the worker's lease, also from another holder, and replaces the known tasks.
func (l *link) acquire(ctx context.Context) error {
	select {
	case l.acquireSlots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-l.acquireSlots }()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ans, err := l.client.Acquire(callCtx, workerlink.AcquireRequest{
		Holder: l.host, TTLMS: leaseTTL.Milliseconds(), Force: true,
	})
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.held, l.token, l.lastEventSeq, l.failingSince = true, ans.Token, ans.Seq, time.Time{}
	l.tasks = map[model.TaskID]workerlink.Task{}
	l.tasksChanged()
	l.unrecordedSeqs = map[model.TaskID]uint64{}
	for _, t := range ans.Tasks {
		// The events of these tasks are unknown. Sequence number 1 lets ackSeq acknowledge
		// no event until the ends of the ended tasks are recorded.
		l.recordTask(t, 1)
	}
	l.mu.Unlock()
	l.onChange()
	return nil
}

// renew extends the leases of the worker and its tasks and receives the worker's events.
func (l *link) renew(ctx context.Context) error {
	l.mu.Lock()
	req := workerlink.RenewRequest{
		Token: l.token, TTLMS: leaseTTL.Milliseconds(), WaitMS: renewLongPollWait.Milliseconds(),
		SinceSeq: l.lastEventSeq, AckSeq: l.ackSeq(),
	}
	l.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, renewLongPollWait+renewCallMargin)
	defer cancel()
	ans, err := l.client.Renew(callCtx, req)
	if !certainlyNotSent(err) {
		l.mu.Lock()
		l.lastRenewalEnd = l.now()
		l.mu.Unlock()
	}
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.failingSince = time.Time{}
	for _, e := range ans.Events {
		l.recordTask(e.Task, e.Seq)
		l.lastEventSeq = max(l.lastEventSeq, e.Seq)
	}
	l.mu.Unlock()
	if len(ans.Events) > 0 {
		l.onChange()
	}
	return nil
}

// recordTask stores a task's state. seq is the sequence number of the event that reported
// it. The caller must hold l.mu.
func (l *link) recordTask(t workerlink.Task, seq uint64) {
	l.tasks[t.ID] = t
	l.tasksChanged()
	if t.State != workerlink.TaskRunning {
		l.unrecordedSeqs[t.ID] = seq
	}
}

// tasksChanged counts a change of the tasks and discards their copy. The caller must hold
// l.mu.
func (l *link) tasksChanged() {
	l.taskChanges++
	l.taskList = nil
}

// cachedTaskList returns the tasks in a slice that is never modified. The controller reads
// 1,500 tasks twice per second, so the copy is kept until a task changes. The caller must
// hold l.mu.
func (l *link) cachedTaskList() []workerlink.Task {
	if l.taskList == nil && len(l.tasks) > 0 {
		l.taskList = slices.Collect(maps.Values(l.tasks))
	}
	return l.taskList
}

// addStartedTasks adds the members of a start that the worker has answered. The event of the
// start may arrive later, and the gang would look incomplete until then.
func (l *link) addStartedTasks(p *model.Placement, members []model.GangMember) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range members {
		id := model.TaskID{Job: p.Job, Attempt: p.Attempt, Index: m.TaskIndex}
		if _, known := l.tasks[id]; known {
			continue
		}
		l.tasksChanged()
		l.tasks[id] = workerlink.Task{
			ID: id, Member: m, State: workerlink.TaskRunning, GangSize: len(p.Members),
		}
	}
}

// ackSeq returns the highest event sequence number that may be acknowledged. The caller must
// hold l.mu.
func (l *link) ackSeq() uint64 {
	ack := l.lastEventSeq
	for _, seq := range l.unrecordedSeqs {
		ack = min(ack, seq-1)
	}
	return ack
}

// forgetAttempt removes the tasks of an attempt after its end was recorded in the journal.
// It removes the ended tasks and, if the lease is not held, all tasks, because the end is
// recorded only when they can no longer run. A later acquisition reports the actual tasks.
func (l *link) forgetAttempt(job model.JobKey, attempt int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, t := range l.tasks {
		removable := t.State != workerlink.TaskRunning || !l.held
		if id.Job == job && id.Attempt == attempt && removable {
			delete(l.tasks, id)
			l.tasksChanged()
			delete(l.unrecordedSeqs, id)
		}
	}
}

// loseLease marks the lease as not held after another host acquired the worker.
func (l *link) loseLease() {
	l.mu.Lock()
	l.held = false
	l.mu.Unlock()
	l.onChange()
}

// handOver stops acquisitions. A planner that acquired the worker again while its successor
// already plans would fence the successor.
func (l *link) handOver() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handedOver = true
}

// release returns the worker's lease, so that the next planner does not have to wait.
func (l *link) release(ctx context.Context) {
	l.mu.Lock()
	held, token := l.held, l.token
	l.held = false
	l.mu.Unlock()
	if !held {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_ = l.client.Release(callCtx, workerlink.ReleaseRequest{Token: token})
}

// idle reports whether the lease is not held and the worker has no known tasks.
func (l *link) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.held && len(l.tasks) == 0
}

// linkView is a consistent copy of a link's state.
type linkView struct {
	held bool
	// lost is set when calls have failed for workerLostAfter. A worker that is neither
	// held nor lost is being acquired.
	lost           bool
	token          model.FencingToken
	lastRenewalEnd time.Time
	tasks          []workerlink.Task // must not be modified
	taskChanges    uint64            // number of changes of tasks
	health         model.WorkerHealth
}

func (l *link) view() linkView {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := linkView{held: l.held, token: l.token, lastRenewalEnd: l.lastRenewalEnd, tasks: l.cachedTaskList(), taskChanges: l.taskChanges}
	v.lost = !l.failingSince.IsZero() && l.now().Sub(l.failingSince) > workerLostAfter
	v.health = l.healthLocked()
	return v
}

// healthLocked returns the health of the worker as the planner sees it. The caller must hold
// l.mu.
func (l *link) healthLocked() model.WorkerHealth {
	switch {
	case !l.held, l.health.mustWaitForProbe(l.now()):
		return model.WorkerLost
	case l.leaving:
		return model.WorkerLeaving
	case l.health.onProbation():
		return model.WorkerProbation
	default:
		return model.WorkerHealthy
	}
}

func (l *link) setLeaving(leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = leaving
}

func (l *link) recordStart(ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.health.record(ok, l.now())
}

// certainlyNotSent reports whether a call certainly did not reach the worker, for example
// because its host refused the connection.
func certainlyNotSent(err error) bool {
	var ue *platformhttp.UnsentError
	return errors.As(err, &ue)
}

func isFenced(err error) bool {
	var we *workerlink.Error
	return errors.As(err, &we) && we.Body.Code == workerlink.CodeFenced
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
