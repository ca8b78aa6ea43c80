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

// errNotHeld reports that this host does not hold a worker's lease.
var errNotHeld = errors.New("the worker's lease is not held")

// membersByWorker groups a placement's members.
func membersByWorker(p *model.Placement) map[model.WorkerID][]model.GangMember {
	out := map[model.WorkerID][]model.GangMember{}
	for _, m := range p.Members {
		out[m.Worker] = append(out[m.Worker], m)
	}
	return out
}

func placementWorkers(p *model.Placement) []model.WorkerID {
	var out []model.WorkerID
	for w := range membersByWorker(p) {
		out = append(out, w)
	}
	return out
}

// each calls f for every worker at the same time and returns the errors by worker.
func (s *Shard) each(ctx context.Context, workers []model.WorkerID, timeout time.Duration,
	f func(ctx context.Context, l *link, token model.FencingToken) error) map[model.WorkerID]error {
	var mu sync.Mutex
	failed := map[model.WorkerID]error{}
	var wg sync.WaitGroup
	for _, id := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := s.one(ctx, id, timeout, f); err != nil {
				mu.Lock()
				failed[id] = err
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return failed
}

func (s *Shard) one(ctx context.Context, id model.WorkerID, timeout time.Duration,
	f func(ctx context.Context, l *link, token model.FencingToken) error) error {
	l := s.link(id)
	if l == nil {
		return errNotHeld
	}
	v := l.view()
	if !v.held {
		return errNotHeld
	}
	cctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f(cctx, l, v.token)
}

// hold reserves the members of a placement. Holding again extends the time.
func (s *Shard) hold(ctx context.Context, p *model.Placement) map[model.WorkerID]error {
	members := membersByWorker(p)
	return s.each(ctx, placementWorkers(p), callTimeout,
		func(ctx context.Context, l *link, token model.FencingToken) error {
			return l.client.Hold(ctx, workerlink.HoldRequest{
				Token: token, Job: p.Job, Attempt: p.Attempt,
				Members: members[l.worker.ID], TTLMS: holdTTL.Milliseconds(),
			})
		})
}

// startMembers starts all held members under the first lease.
func (s *Shard) startMembers(ctx context.Context, p *model.Placement, spec *model.JobSpec, served int64) map[model.WorkerID]error {
	members := membersByWorker(p)
	return s.each(ctx, placementWorkers(p), callTimeout,
		func(ctx context.Context, l *link, token model.FencingToken) error {
			err := l.client.Start(ctx, workerlink.StartRequest{
				Token: token, Job: p.Job, Attempt: p.Attempt, GangSize: len(p.Members),
				LeaseMS: firstLease.Milliseconds(), RestoreMS: served, Payload: spec.Payload,
			})
			if err == nil {
				l.started(p, members[l.worker.ID])
			}
			return err
		})
}

// confirm raises the leases of a whole gang. A gang that is confirmed only in part
// must be withdrawn.
func (s *Shard) confirm(ctx context.Context, p *model.Placement) error {
	failed := s.each(ctx, placementWorkers(p), callTimeout,
		func(ctx context.Context, l *link, token model.FencingToken) error {
			return l.client.Confirm(ctx, workerlink.ConfirmRequest{
				Token: token, Job: p.Job, Attempt: p.Attempt, TTLMS: confirmLease.Milliseconds(),
			})
		})
	for _, err := range failed {
		return err
	}
	return nil
}

// stopResult is what stopping the members of an attempt achieved.
type stopResult struct {
	// servedMS is the least run time that the members' checkpoints kept.
	servedMS int64
	// finished counts members that had finished before the stop.
	finished int
	// failed are the workers on which the stop is not certain.
	failed map[model.WorkerID]error
}

// stopMembers stops an attempt on the given workers.
func (s *Shard) stopMembers(ctx context.Context, k attemptKey, workers []model.WorkerID, checkpoint bool) stopResult {
	var mu sync.Mutex
	served, finished := int64(-1), 0
	failed := s.each(ctx, workers, stopTimeout,
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
			if served < 0 || ans.ServedMS < served {
				served = ans.ServedMS
			}
			return nil
		})
	if len(failed) > 0 {
		served = 0
	}
	return stopResult{servedMS: max(served, 0), finished: finished, failed: failed}
}

// errLost reports that another decision about the job counts.
var errLost = errors.New("another record about the job counts")

// write makes a record durable and visible in the local table: in the log, through a
// peer that reaches the log, or on another host while the log is down for all.
func (s *Shard) write(ctx context.Context, kind journal.Kind, id string, body any) error {
	rec, err := journal.NewRecord(kind, s.Host, id, s.Now(), body)
	if err != nil {
		return err
	}
	rec.TraceParent = tracing.Traceparent(ctx)
	switch {
	case s.Journal.State().Answering:
		cctx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		_, err = s.Journal.Append(cctx, journal.StreamJobs, rec)
		return err
	case s.Relay.HasRelay():
		return s.writeByRelay(ctx, rec)
	default:
		return s.writeToPeers(ctx, rec)
	}
}

// writeByRelay appends through a peer. The log decides as usual, so a zone that is
// cut off from the platform never acts against a decision that others read there.
func (s *Shard) writeByRelay(ctx context.Context, rec journal.Record) error {
	won, err := s.Relay.Relay(ctx, journal.StreamRecord{Stream: journal.StreamJobs, Record: rec})
	if err != nil {
		return err
	}
	if !won {
		return errLost
	}
	s.Jobs.ApplyProvisional(rec)
	return nil
}

// writeToPeers keeps a record on one other host during a log outage. Without any
// other host the record is kept here only: the workers still hold the tasks' state.
func (s *Shard) writeToPeers(ctx context.Context, rec journal.Record) error {
	rec = markOutage(rec)
	if !s.Jobs.ApplyProvisional(rec) {
		return errLost
	}
	records := []journal.StreamRecord{{Stream: journal.StreamJobs, Record: rec}}
	s.Keeper.AppendAsync(records)
	s.Copier.CopyToPeers(ctx, records, 1)
	return nil
}

// markOutage marks a placement as decided without the log.
func markOutage(rec journal.Record) journal.Record {
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
