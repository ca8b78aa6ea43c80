package shard

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/workerlink"
	"github.com/daisyfold/daisyfold/internal/tracing"
)

// errNotHeld means that this host does not hold a worker's lease.
var errNotHeld = errors.New("this host does not hold the worker's lease")

// membersByWorker returns a placement's members by worker.
func membersByWorker(p *model.Placement) map[model.WorkerID][]model.GangMember {
	out := map[model.WorkerID][]model.GangMember{}
	for _, m := range p.Members {
		out[m.Worker] = append(out[m.Worker], m)
	}
	return out
}

// workersOfPlacement returns the workers of a placement, each once and in no order.
func workersOfPlacement(p *model.Placement) []model.WorkerID {
	var out []model.WorkerID
	for w := range membersByWorker(p) {
		out = append(out, w)
	}
	return out
}

// callWorkers calls f for all workers in parallel, each call with the given timeout, and
// returns the errors by worker.
func (s *Shard) callWorkers(ctx context.Context, workers []model.WorkerID, timeout time.Duration,
	f func(ctx context.Context, l *link, token model.FencingToken) error) map[model.WorkerID]error {
	var mu sync.Mutex
	failed := map[model.WorkerID]error{}
	var wg sync.WaitGroup
	for _, id := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := s.callWorker(ctx, id, timeout, f); err != nil {
				mu.Lock()
				failed[id] = err
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return failed
}

// callWorker calls f for one worker with the token of its lease. It returns errNotHeld if
// this host does not hold the lease.
func (s *Shard) callWorker(ctx context.Context, id model.WorkerID, timeout time.Duration,
	f func(ctx context.Context, l *link, token model.FencingToken) error) error {
	l := s.link(id)
	if l == nil {
		return errNotHeld
	}
	view := l.view()
	if !view.held {
		return errNotHeld
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f(callCtx, l, view.token)
}

// holdMembers reserves the members of a placement on their workers for holdTTL. A repeated
// call extends the holds. It returns the errors by worker.
func (s *Shard) holdMembers(ctx context.Context, p *model.Placement) map[model.WorkerID]error {
	members := membersByWorker(p)
	return s.callWorkers(ctx, workersOfPlacement(p), callTimeout,
		func(ctx context.Context, l *link, token model.FencingToken) error {
			return l.client.Hold(ctx, workerlink.HoldRequest{
				Token: token, Job: p.Job, Attempt: p.Attempt,
				Members: members[l.worker.ID], TTLMS: holdTTL.Milliseconds(),
			})
		})
}

// startMembers starts all held members with unconfirmedTaskLease and returns the errors by
// worker. savedRunMS is the run time, in milliseconds, that the job's checkpoint contains.
func (s *Shard) startMembers(ctx context.Context, p *model.Placement, spec *model.JobSpec, savedRunMS int64) map[model.WorkerID]error {
	members := membersByWorker(p)
	return s.callWorkers(ctx, workersOfPlacement(p), callTimeout,
		func(ctx context.Context, l *link, token model.FencingToken) error {
			err := l.client.Start(ctx, workerlink.StartRequest{
				Token: token, Job: p.Job, Attempt: p.Attempt, GangSize: len(p.Members),
				LeaseMS: unconfirmedTaskLease.Milliseconds(), SavedRunMS: savedRunMS, Payload: spec.Payload,
			})
			if err == nil {
				l.addStartedTasks(p, members[l.worker.ID])
			}
			return err
		})
}

// confirmMembers extends the leases of all members of a gang to confirmedTaskLease. After an
// error only a part of the gang may be confirmed, and the caller must withdraw it.
func (s *Shard) confirmMembers(ctx context.Context, p *model.Placement) error {
	failed := s.callWorkers(ctx, workersOfPlacement(p), callTimeout,
		func(ctx context.Context, l *link, token model.FencingToken) error {
			return l.client.Confirm(ctx, workerlink.ConfirmRequest{
				Token: token, Job: p.Job, Attempt: p.Attempt, TTLMS: confirmedTaskLease.Milliseconds(),
			})
		})
	for _, err := range failed {
		return err
	}
	return nil
}

// stopResult is the result of stopping the members of an attempt.
type stopResult struct {
	// savedRunMS is the lowest run time, in milliseconds, in the members' checkpoints. It
	// is 0 if a stop failed.
	savedRunMS int64
	// finished is the number of members that finished before they were stopped.
	finished int
	// failed contains the errors by worker. Members on these workers may still run.
	failed map[model.WorkerID]error
}

// stopMembers stops the members of an attempt on the given workers, after a checkpoint if
// checkpoint is set.
func (s *Shard) stopMembers(ctx context.Context, k attemptKey, workers []model.WorkerID, checkpoint bool) stopResult {
	var mu sync.Mutex
	savedRunMS, finished := int64(-1), 0
	failed := s.callWorkers(ctx, workers, stopTimeout,
		func(ctx context.Context, l *link, token model.FencingToken) error {
			ans, err := l.client.Stop(ctx, workerlink.StopRequest{
				Token: token, Job: k.job, Attempt: k.attempt,
				Checkpoint: checkpoint, GraceMS: stopGrace.Milliseconds(),
			})
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			finished += ans.Finished
			if savedRunMS < 0 || ans.SavedRunMS < savedRunMS {
				savedRunMS = ans.SavedRunMS
			}
			return nil
		})
	if len(failed) > 0 {
		savedRunMS = 0
	}
	return stopResult{savedRunMS: max(savedRunMS, 0), finished: finished, failed: failed}
}

// errSuperseded means that a record has no effect because of an earlier record.
var errSuperseded = errors.New("an earlier record about the job takes precedence")

// writeRecord makes a record durable and applies it to the local job table. It appends the
// record to the log, relays it through a peer that can read the log, or, while no reachable
// host can read the log, copies it to another host.
func (s *Shard) writeRecord(ctx context.Context, kind journal.Kind, id string, body any) error {
	rec, err := journal.NewRecord(kind, s.Host, id, s.Now(), body)
	if err != nil {
		return err
	}
	rec.TraceParent = tracing.Traceparent(ctx)
	switch {
	case s.Journal.State().Answering:
		appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		_, err = s.Journal.Append(appendCtx, journal.StreamJobs, rec)
		return err
	case s.Relay.HasRelay():
		return s.writeThroughRelay(ctx, rec)
	default:
		return s.writeToPeers(ctx, rec)
	}
}

// writeThroughRelay appends a record through a peer. The order of the log decides as usual,
// so a zone that is partitioned from the platform never acts against a decision in the log.
// It returns errSuperseded if the record took no effect.
func (s *Shard) writeThroughRelay(ctx context.Context, rec journal.Record) error {
	effective, err := s.Relay.Relay(ctx, journal.StreamRecord{Stream: journal.StreamJobs, Record: rec})
	if err != nil {
		return err
	}
	if !effective {
		return errSuperseded
	}
	s.Jobs.ApplyProvisional(rec)
	return nil
}

// writeToPeers stores a record on this host and copies it to one other host during a log
// outage. If no other host is reachable, the record is stored on this host only; the workers
// still have the state of the tasks. It returns errSuperseded if the record has no effect.
func (s *Shard) writeToPeers(ctx context.Context, rec journal.Record) error {
	rec = markDecidedInOutage(rec)
	if !s.Jobs.ApplyProvisional(rec) {
		return errSuperseded
	}
	records := []journal.StreamRecord{{Stream: journal.StreamJobs, Record: rec}}
	s.Appender.AppendAsync(records)
	s.Copier.CopyToPeers(ctx, records, 1)
	return nil
}

// markDecidedInOutage returns the record, marked as decided during a log outage if it is a
// placement.
func markDecidedInOutage(rec journal.Record) journal.Record {
	if rec.Kind != journal.KindJobPlaced {
		return rec
	}
	var b journal.JobPlaced
	if json.Unmarshal(rec.Body, &b) != nil {
		return rec
	}
	b.Outage = true
	body, err := json.Marshal(b)
	if err != nil {
		return rec
	}
	rec.Body = body
	return rec
}
