package scheduler

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

const (
	// takeOverTimeout bounds the reads of a takeover; ownership may have moved on.
	takeOverTimeout = 3 * time.Second
)

// takeOver shuts former owners out of the store, reads what they recorded and puts
// their runs on the workers.
func (t *term) takeOver() error {
	ctx, cancel := context.WithTimeout(t.ctx, takeOverTimeout)
	defer cancel()
	if err := t.fenceFormer(ctx); err != nil {
		return err
	}
	var list, runs []store.Record
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.Statuses.Sync(ctx) })
	group.Go(func() error { return t.Submissions.Sync(ctx) })
	group.Go(func() error {
		var err error
		runs, _, err = t.Store.Newest(ctx, replica.TopicRuns)
		return err
	})
	group.Go(func() error {
		var err error
		list, _, err = t.Store.Newest(ctx, t.WorkerTopic)
		return err
	})
	if err := group.Wait(); err != nil {
		return err
	}
	// The former owner may have joined the group just before it lost it.
	t.inherited = t.Now() + t.Tenure.TTL + renewGrace + t.longestLease()
	newWorkerList(t).Reset(list)
	t.drainEvents()
	t.zonesOut = t.Operator.ZonesOut()
	t.takeWaves()
	t.inheritJobs(runs)
	t.metrics.takeovers.Inc(1)
	t.log.Info("took over", zap.Int("jobs", len(t.jobs)), zap.Int("workers", len(t.workers)),
		zap.Duration("took", t.Now()-t.began))
	t.replan = true
	return nil
}

// fenceFormer shuts former owners out of both topics of the scheduler.
func (t *term) fenceFormer(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, w := range []*writer{&t.runs, &t.statuses} {
		group.Go(func() error {
			_, err := t.Store.AppendFenced(ctx, w.topic, store.Position{Producer: producer, Epoch: t.epoch, Seq: w.seq}, nil)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	t.runs.seq++
	t.statuses.seq++
	return nil
}

// inheritJobs takes every job and its recorded runs. Records without a job are left from
// a job that was being forgotten.
func (t *term) inheritJobs(records []store.Record) {
	states := make(map[string][]byte, len(records))
	for _, r := range records {
		if id, ok := replica.StateID(r.Key); ok && len(r.Value) > 0 {
			states[id] = r.Value
		}
	}
	for id, e := range t.Jobs.All() {
		if e.Job == nil {
			continue
		}
		j := t.inheritJob(e, states[id])
		delete(states, id)
		if j == nil {
			continue
		}
		if e.Cancelled {
			t.cancel(j)
		}
		t.showStatus(j)
	}
	for id := range states {
		t.stateless = append(t.stateless, id)
	}
}

// inheritJob takes a job with what a former owner recorded of it, if anything. It
// returns nil for a job whose state cannot be read: it could run twice.
func (t *term) inheritJob(e replica.Entry, record []byte) *job {
	state := work.NewState(e.Job)
	if record != nil {
		recorded, err := work.DecodeState(e.Job, record)
		if err != nil {
			t.log.Error("a job's state cannot be read; the job is left alone", zap.String("job", e.Job.ID), zap.Error(err))
			return nil
		}
		state = recorded
	}
	j := t.addJob(e.Job, state)
	j.recorded, j.shown = state.Head(), string(work.EncodeHead(e.Status, e.Started))
	if !state.Status.Ended() {
		t.inheritRuns(j)
	}
	return j
}

// inheritRuns puts the recorded runs of a job on their workers.
func (t *term) inheritRuns(j *job) {
	for s := range j.state.Steps {
		for i := range j.state.Steps[s].Tasks {
			task := &j.state.Steps[s].Tasks[i]
			if task.Phase != work.Placed {
				continue
			}
			w := t.workers[task.Worker]
			if w == nil {
				w = t.ghost(task.Worker)
			}
			name := work.RunName{Task: j.Name(s, i), Run: task.Run}
			w.addRun(&run{name: name, job: j, worker: w, demand: j.StepAt(s).Demand, phase: runOpen, checkpoint: task.Checkpoint})
		}
	}
}

// ghost is a worker that runs may still be on although it is not listed.
func (t *term) ghost(key string) *worker {
	w := &worker{key: key, runs: map[work.RunName]*run{}}
	t.workers[key] = w
	return w
}

// producer names the scheduler among the writers of its topic.
const producer = "scheduler"
