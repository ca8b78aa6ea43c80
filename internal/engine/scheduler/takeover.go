package scheduler

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

const (
	// takeOverTimeout limits the reads of a takeover, because ownership may have moved on
	// in the meantime.
	takeOverTimeout = 3 * time.Second
	// takeOverRetryDelay is the delay before a failed call of a takeover is repeated.
	takeOverRetryDelay = 50 * time.Millisecond
)

// takeOver fences former owners, reads what they recorded, and adds their runs to the
// workers.
func (t *term) takeOver() error {
	ctx, cancel := context.WithTimeout(t.ctx, takeOverTimeout)
	defer cancel()
	if err := t.fenceFormerOwners(ctx); err != nil {
		return err
	}
	t.publisher.loopAt.Store(int64(t.Now()))
	t.spawn(t.runPublisher)
	var list, runs []store.Record
	group, ctx := errgroup.WithContext(ctx)
	read := func(f func() error) {
		group.Go(func() error { return t.repeatInTakeover(ctx, f) })
	}
	read(func() error { return t.Statuses.Sync(ctx) })
	read(func() error { return t.Submissions.Sync(ctx) })
	read(func() (err error) {
		runs, _, err = t.Store.Newest(ctx, replica.TopicRuns)
		return err
	})
	read(func() (err error) {
		list, _, err = t.Store.Newest(ctx, t.WorkerTopic)
		return err
	})
	if err := group.Wait(); err != nil {
		return err
	}
	// The former owner may have joined the group just before it lost ownership.
	t.formerLeasesEnd = t.Now() + t.Elector.TTL + leaseRenewalGrace + t.maxLeaseDuration()
	t.entriesWrittenAfter = t.oldestEntry()
	newWorkerList(t).Reset(list)
	t.drainEvents()
	t.zonesOut = t.Operator.ZonesOut()
	t.updateCaps()
	t.updateAdvice()
	t.updateWaves()
	t.inheritJobs(runs)
	t.tookOver = true
	t.metrics.takeovers.Inc(1)
	t.log.Info("took over", zap.Int("jobs", len(t.jobs)), zap.Int("workers", len(t.workers)),
		zap.Duration("took", t.Now()-t.began))
	t.needsPlanning = true
	return nil
}

// repeatInTakeover calls f until it succeeds, a later owner was seen, or the context ends.
func (t *term) repeatInTakeover(ctx context.Context, f func() error) error {
	for {
		err := f()
		var sequenceErr *store.SequenceError
		if err == nil || errors.Is(err, store.ErrFenced) || errors.As(err, &sequenceErr) || ctx.Err() != nil {
			return err
		}
		t.log.Warn("a call of the takeover failed; repeating it", zap.Error(err))
		select {
		case <-ctx.Done():
		case <-time.After(takeOverRetryDelay):
		}
	}
}

// fenceFormerOwners prevents former owners from writing to the scheduler's topics, and
// writes this owner's first heartbeat: hosts would take a new owner for silent if they had
// to wait for it until the takeover is complete.
func (t *term) fenceFormerOwners(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	fence := func(w *topicWriter, records ...store.Record) {
		position := w.position(t.epoch)
		w.seq++
		group.Go(func() error {
			return t.repeatInTakeover(ctx, func() error {
				_, err := t.Store.AppendFenced(ctx, w.topic, position, records)
				return err
			})
		})
	}
	fence(&t.runWriter)
	fence(&t.publisher.writer, replica.OwnerRecord(t.Elector.Member()))
	return group.Wait()
}

// inheritJobs adds all jobs with their recorded runs. State records without a job remain
// from a deletion that was not completed. Those of jobs whose own record cannot be decoded
// are kept.
func (t *term) inheritJobs(records []store.Record) {
	states := map[string][][]byte{}
	for _, r := range records {
		if id, chunk, ok := replica.ParseChunkKey(r.Key); ok && len(r.Value) > 0 {
			states[id] = setChunk(states[id], chunk, r.Value)
		}
	}
	entries := t.Jobs.All()
	for _, id := range byAcceptance(entries) {
		e := entries[id]
		if e.Job == nil {
			if e.Unreadable {
				delete(states, id)
			}
			continue
		}
		j := t.inheritJob(e, states[id])
		t.noteUnseenRuns(j)
		delete(states, id)
		if e.Cancelled {
			t.cancel(j)
		}
		t.publishStatus(j)
	}
	for id, chunks := range states {
		t.deleteState(id, len(chunks))
	}
}

// setChunk sets a chunk of a job's state, of which earlier chunks may be missing.
func setChunk(chunks [][]byte, chunk int, value []byte) [][]byte {
	for len(chunks) <= chunk {
		chunks = append(chunks, nil)
	}
	chunks[chunk] = value
	return chunks
}

// inheritJob adds a job with the state that a former owner recorded, if any.
func (t *term) inheritJob(e replica.JobEntry, recorded [][]byte) *job {
	state := work.NewState(e.Job)
	var err error
	if recorded != nil {
		state, err = work.DecodeState(e.Job, recorded)
	}
	if err != nil {
		return t.inheritUnreadable(e, recorded, err)
	}
	j := t.addJob(e.Job, state)
	j.recorded, j.publishedHeader = recorded, string(work.EncodeHeader(e.Status, e.Started))
	if !state.Status.Ended() {
		t.inheritRuns(j)
		if j.anySuspect() {
			t.suspects[j] = true
		}
	}
	return j
}

// inheritRuns adds the recorded runs of a job to their workers.
func (t *term) inheritRuns(j *job) {
	for s := range j.state.Steps {
		for i := range j.state.Steps[s].Tasks {
			task := &j.state.Steps[s].Tasks[i]
			if task.Phase != work.Placed {
				continue
			}
			w := t.workers[task.Worker]
			if w == nil {
				w = t.addWorker(task.Worker)
			}
			name := work.RunName{Task: j.TaskName(s, i), Number: task.RunNumber}
			w.addRun(&run{name: name, job: j, worker: w, demand: j.StepAt(s).Demand, phase: runUncertain, pace: paceState{inherited: true}, checkpoint: task.Checkpoint})
		}
	}
}

// producer is the scheduler's producer name in the positions of its appends.
const producer = "scheduler"
