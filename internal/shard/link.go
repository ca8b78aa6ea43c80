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

// link is the planner's connection to one worker: its lease, its tasks as last
// reported, and its record of successful starts.
type link struct {
	worker  model.Worker
	client  workerlink.Worker
	host    model.HostID
	changed func()
	cancel  context.CancelFunc // ends run
	slots   chan struct{}      // bounds concurrent acquisitions of the shard
	now     func() time.Time

	mu    sync.Mutex
	held  bool
	token model.FencingToken
	// renewEnd is when the last renewal was answered or given up. The worker may
	// have received it until then, so its leases last up to leaseTTL longer.
	renewEnd time.Time
	// failing is when calls began to fail, or zero while they succeed.
	failing time.Time
	// handedOver is set when the shard is given up: the link renews, so that
	// operations can end, but acquires nothing any more.
	handedOver bool
	// leaving is set when the platform's list says so.
	leaving bool
	since   uint64
	tasks   map[model.TaskID]workerlink.Task
	// changes counts the changes of tasks. listed is the last copy of tasks, nil
	// after a change.
	changes uint64
	listed  []workerlink.Task
	// unrecorded holds the event numbers of final tasks that the journal does
	// not cover yet; they must not be acknowledged.
	unrecorded map[model.TaskID]uint64
	health     startHealth
}

func newLink(w model.Worker, c workerlink.Worker, host model.HostID, now func() time.Time, slots chan struct{}, changed func()) *link {
	return &link{
		worker: w, client: c, host: host, now: now, slots: slots, changed: changed,
		tasks:      map[model.TaskID]workerlink.Task{},
		unrecorded: map[model.TaskID]uint64{},
	}
}

// run acquires the worker and renews until the context ends.
func (l *link) run(ctx context.Context) {
	wait := retryMin
	for ctx.Err() == nil {
		err := l.step(ctx)
		if err == nil {
			wait = retryMin
			continue
		}
		pause := wait
		wait = min(2*wait, retryMax)
		if fenced(err) {
			l.drop()
			pause = fencedMin + rand.N(fencedSpread)
		} else {
			l.noteFailure()
		}
		sleep(ctx, pause)
	}
}

// noteFailure records that a call failed. The link then acquires instead of renewing
// again: an acquisition does not extend the leases of tasks, so the tasks of a
// worker that receives calls but whose answers are lost are certain to end.
func (l *link) noteFailure() {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failing.IsZero() {
		l.failing = now
	}
	l.held = false
}

func (l *link) step(ctx context.Context) error {
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

func (l *link) acquire(ctx context.Context) error {
	select {
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-l.slots }()
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ans, err := l.client.Acquire(cctx, workerlink.AcquireRequest{
		Holder: l.host, TTLMS: leaseTTL.Milliseconds(), Force: true,
	})
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.held, l.token, l.since, l.failing = true, ans.Token, ans.Seq, time.Time{}
	l.tasks = map[model.TaskID]workerlink.Task{}
	l.taskChanged()
	l.unrecorded = map[model.TaskID]uint64{}
	for _, t := range ans.Tasks {
		l.note(t, 1)
	}
	l.mu.Unlock()
	l.changed()
	return nil
}

func (l *link) renew(ctx context.Context) error {
	l.mu.Lock()
	req := workerlink.RenewRequest{
		Token: l.token, TTLMS: leaseTTL.Milliseconds(), WaitMS: renewWait.Milliseconds(),
		SinceSeq: l.since, AckSeq: l.ackSeq(),
	}
	l.mu.Unlock()
	cctx, cancel := context.WithTimeout(ctx, renewWait+renewMargin)
	defer cancel()
	ans, err := l.client.Renew(cctx, req)
	if !unsent(err) {
		l.mu.Lock()
		l.renewEnd = l.now()
		l.mu.Unlock()
	}
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.failing = time.Time{}
	for _, e := range ans.Events {
		l.note(e.Task, e.Seq)
		l.since = max(l.since, e.Seq)
	}
	l.mu.Unlock()
	if len(ans.Events) > 0 {
		l.changed()
	}
	return nil
}

// note stores a task's state. The caller holds l.mu.
func (l *link) note(t workerlink.Task, seq uint64) {
	l.tasks[t.ID] = t
	l.taskChanged()
	if t.State != workerlink.TaskRunning {
		l.unrecorded[t.ID] = seq
	}
}

// taskChanged drops the copy of the tasks. The caller holds l.mu.
func (l *link) taskChanged() {
	l.changes++
	l.listed = nil
}

// listTasks returns the tasks in a slice that is never changed. A pass reads 1,500
// tasks twice a second, so the copy is kept until one of them changes. The caller
// holds l.mu.
func (l *link) listTasks() []workerlink.Task {
	if l.listed == nil && len(l.tasks) > 0 {
		l.listed = slices.Collect(maps.Values(l.tasks))
	}
	return l.listed
}

// started adds the members of a start that the worker answered, because the event
// of the renewal may arrive later and the gang would look incomplete until then.
func (l *link) started(p *model.Placement, members []model.GangMember) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range members {
		id := model.TaskID{Job: p.Job, Attempt: p.Attempt, Index: m.TaskIndex}
		if _, known := l.tasks[id]; known {
			continue
		}
		l.taskChanged()
		l.tasks[id] = workerlink.Task{
			ID: id, Member: m, State: workerlink.TaskRunning, GangSize: len(p.Members),
		}
	}
}

// ackSeq returns the last event number that may be forgotten. The caller holds l.mu.
func (l *link) ackSeq() uint64 {
	ack := l.since
	for _, seq := range l.unrecorded {
		ack = min(ack, seq-1)
	}
	return ack
}

// forget drops the tasks of an attempt after the journal recorded its end: the final
// ones, and on a worker that is not held all of them, because the end was recorded
// only when they could not run any more. An acquisition reports what is there.
func (l *link) forget(job model.JobKey, attempt int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, t := range l.tasks {
		gone := t.State != workerlink.TaskRunning || !l.held
		if id.Job == job && id.Attempt == attempt && gone {
			delete(l.tasks, id)
			l.taskChanged()
			delete(l.unrecorded, id)
		}
	}
}

// drop gives the worker up after another holder acquired it.
func (l *link) drop() {
	l.mu.Lock()
	l.held = false
	l.mu.Unlock()
	l.changed()
}

// handOver ends acquisitions. A planner that acquired again while its successor
// already plans would fence the successor.
func (l *link) handOver() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handedOver = true
}

// release hands the worker lease back so that the next planner need not wait.
func (l *link) release(ctx context.Context) {
	l.mu.Lock()
	held, token := l.held, l.token
	l.held = false
	l.mu.Unlock()
	if !held {
		return
	}
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_ = l.client.Release(cctx, workerlink.ReleaseRequest{Token: token})
}

// idle reports whether the worker cannot be reached and has no known tasks.
func (l *link) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.held && len(l.tasks) == 0
}

// linkView is a consistent copy of a link's state.
type linkView struct {
	held bool
	// lost is set when calls have failed for lostAfter. A worker that is neither
	// held nor lost is being acquired.
	lost     bool
	token    model.FencingToken
	renewEnd time.Time
	tasks    []workerlink.Task // must not be changed
	changes  uint64            // of tasks, so far
	health   model.WorkerHealth
}

func (l *link) view() linkView {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := linkView{held: l.held, token: l.token, renewEnd: l.renewEnd, tasks: l.listTasks(), changes: l.changes}
	v.lost = !l.failing.IsZero() && l.now().Sub(l.failing) > lostAfter
	v.health = l.healthLocked()
	return v
}

func (l *link) healthLocked() model.WorkerHealth {
	switch {
	case !l.held, l.health.resting(l.now()):
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

func (l *link) noteStart(ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.health.note(ok, l.now())
}

// unsent reports whether a call certainly did not reach the worker, as when its
// host refuses connections.
func unsent(err error) bool {
	var ue *platformhttp.UnsentError
	return errors.As(err, &ue)
}

func fenced(err error) bool {
	var we *workerlink.Error
	return errors.As(err, &we) && we.Body.Code == workerlink.CodeFenced
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
