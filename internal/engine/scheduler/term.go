package scheduler

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

const (
	// tickInterval drives what depends on time only: lapses, repeated stops, looks.
	tickInterval = 50 * time.Millisecond
	// maxEvents bounds the events that are taken before the state is acted on.
	maxEvents = 512
	eventRoom = 4096
	// renewGrace is how long leases are still renewed after ownership is no longer
	// proved, so that an outage of the store does not end what runs: with a lease of 6 s
	// it may last 8 s. A successor waits that much longer for workers that it cannot
	// reach.
	renewGrace = time.Second
	// lapseSlack covers delays between a check and the worker's receipt.
	lapseSlack = 500 * time.Millisecond
)

// event changes the state of a term.
type event func(*term)

// term is one period of ownership.
type term struct {
	*Scheduler
	ctx      context.Context
	epoch    int64
	began    time.Duration
	bounds   Bounds
	log      *zap.Logger
	events   chan event
	jobs     map[string]*job
	workers  map[string]*worker // by key
	current  map[string]string  // worker id to the key of its latest life
	zonesOut map[string]bool
	// inherited is when every lease that a former owner granted has lapsed.
	inherited time.Duration
	lost      error // why the term is over

	// marked workers are swept in this step; all are swept once a tick.
	marked map[*worker]bool
	swept  time.Duration
	// straysAt is when cancellations without a job were last looked for.
	straysAt time.Duration
	replan   bool
	// advising is set while a call to the advice service is on its way; the next one may
	// be sent at adviceAt.
	advising bool
	adviceAt time.Duration
	waves    waves
	// wake is when to plan again although nothing happened.
	wake time.Duration
	recorder
}

func (s *Scheduler) runTerm(ctx context.Context, epoch int64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &term{
		Scheduler: s, ctx: ctx, epoch: epoch, began: s.Now(), bounds: *s.bounds.Load(),
		log:    s.Logger.With(zap.Int64("epoch", epoch)),
		events: make(chan event, eventRoom), jobs: map[string]*job{},
		workers: map[string]*worker{}, current: map[string]string{}, marked: map[*worker]bool{},
	}
	t.runs.topic, t.statuses.topic = replica.TopicRuns, replica.TopicStatuses
	t.show = map[string][]byte{}
	t.waves = waves{running: map[string]*waveRun{}, status: writer{topic: t.StatusTopic}}
	if err := t.takeOver(); err != nil {
		return err
	}
	go t.followWorkers()
	return t.loop()
}

// post hands an event to the term's goroutine.
func (t *term) post(e event) {
	select {
	case t.events <- e:
	case <-t.ctx.Done():
	}
}

func (t *term) loop() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return t.ctx.Err()
		case e := <-t.events:
			e(t)
			t.drainEvents()
		case <-t.Jobs.Changed():
			t.takeSubmissions()
		case <-t.Operator.Changed():
			t.takeOperator()
		case <-t.Tenure.Changed():
		case <-ticker.C:
		}
		if t.lost != nil {
			return t.lost
		}
		if _, ok := t.Tenure.Lapse(t.epoch); !ok {
			return trace.Errorf("ownership has gone")
		}
		t.step()
	}
}

func (t *term) drainEvents() {
	for range maxEvents {
		select {
		case e := <-t.events:
			e(t)
		default:
			return
		}
	}
}

// step acts on the state after events.
func (t *term) step() {
	now := t.Now()
	if now-t.swept >= tickInterval {
		t.swept = now
		t.sweepWorkers(now)
		t.sweepJobs()
		t.sweepWaves(now)
	}
	t.sweepMarked(now)
	if t.replan || now >= t.wake {
		t.place(now)
	}
	t.flush()
}

// mayOrder tells whether ownership is proved, so that new orders may be given.
func (t *term) mayOrder() bool {
	at, ok := t.Tenure.Lapse(t.epoch)
	return ok && t.Now() < at
}

// mayRenew tells whether leases may be renewed.
func (t *term) mayRenew() bool {
	at, ok := t.Tenure.Lapse(t.epoch)
	return ok && t.Now() < at+renewGrace
}

// fenced ends the term: a later owner has been seen.
func (t *term) fenced(by string) {
	t.log.Warn("a later owner was seen", zap.String("by", by))
	t.lost = trace.Wrap(workers.ErrFenced)
}

// takeSubmissions takes new jobs and cancellations from the copy of the store.
func (t *term) takeSubmissions() {
	for _, id := range t.Jobs.TakeChanged() {
		e, known := t.Jobs.Get(id)
		if !known || e.Job == nil {
			continue
		}
		j := t.jobs[id]
		if j == nil {
			// Its submission came after the takeover, so nothing is recorded of it.
			j = t.inheritJob(e, nil)
			t.log.Info("job seen", zap.String("job", id), zap.Int("priority", j.Priority),
				zap.Int("steps", j.StepCount()), zap.Int("tasks", j.Steps[0].Tasks), zap.Int("chain_ms", j.ChainMS()),
				zap.Int64("objective_ms", j.Deadline(0)-j.AcceptedMS), zap.Int64("age_ms", t.Wall().UnixMilli()-j.AcceptedMS))
		}
		if e.Cancelled {
			t.cancel(j)
		}
	}
	t.replan = true
}

func (t *term) addJob(w *work.Job, state *work.State) *job {
	j := &job{Job: w, state: state, runs: map[*run]bool{}, avoid: map[string]bool{}, moves: map[work.TaskName]int{}, waiting: map[int]time.Duration{}, claims: map[int]claim{}, advice: map[int]*advice{}}
	t.jobs[w.ID] = j
	return j
}

// cancel ends a job on its caller's request.
func (t *term) cancel(j *job) {
	if j.cancelled || j.state.Status.Ended() {
		return
	}
	j.cancelled = true
	t.finish(j, work.Cancelled, "the caller cancelled it")
}

// finish ends a job and stops what still runs of it.
func (t *term) finish(j *job, status work.Status, why string) {
	j.state.Status = status
	j.state.EndedMS = t.Wall().UnixMilli()
	j.state.Steps = nil
	t.log.Info("job ended", zap.String("job", j.ID), zap.String("status", string(rune(status))), zap.String("why", why),
		zap.Int64("after_ms", j.state.EndedMS-j.AcceptedMS))
	t.touch(j)
	for r := range j.runs {
		t.askStop(r)
	}
	t.replan = true
}

// sweepJobs forgets jobs whose state need not be readable any more.
func (t *term) sweepJobs() {
	if t.runs.busy {
		return
	}
	oldest := t.Wall().Add(-t.bounds.StatusKeep - statusSlack).UnixMilli()
	for id, j := range t.jobs {
		if j.state.Status.Ended() && j.state.EndedMS < oldest && len(j.runs) == 0 {
			delete(t.jobs, id)
			t.forget(id)
		}
	}
	if now := t.Now(); now-t.straysAt >= strayInterval {
		t.straysAt = now
		for _, id := range t.Jobs.Strays(oldest) {
			t.forget(id)
		}
	}
}

// strayInterval is the time between two looks for cancellations without a job.
const strayInterval = 10 * time.Second

// statusSlack is kept on top of the time that a state must stay readable, for clocks
// that differ between hosts.
const statusSlack = 30 * time.Second

// takeOperator takes the zones that are out of use.
func (t *term) takeOperator() {
	t.zonesOut = t.Operator.ZonesOut()
	t.takeWaves()
	t.replan = true
}
