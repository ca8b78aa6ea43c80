package standin

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

const (
	// workerLatency is the latency of a request to a worker, and of its response.
	workerLatency = time.Millisecond
	// orderTimeout is how long a caller waits for a worker that does not respond.
	orderTimeout = 800 * time.Millisecond
	// fullPace is the pace of a run that is not slowed down, in percent.
	fullPace = 100
)

var errNoWorkerAnswer = trace.ConnectionProblem(nil, "the worker did not answer")

// Client returns a client of the workers for the given host.
func (f *Fleet) Client(host string) workers.Client { return &fleetClient{f, host} }

type fleetClient struct {
	*Fleet
	host string
}

// reachableWorker returns the worker at the address of ref, or nil if it is down or the
// host cannot reach it. The caller holds the lock.
func (c *fleetClient) reachableWorker(ref workers.Ref) *Worker {
	w := c.workers[ref.Address]
	if w == nil || !w.up || c.unreachable[[2]string{c.host, ref.ID}] || c.unreachable[[2]string{"", ref.ID}] {
		return nil
	}
	return w
}

// sendOrder executes an order with the faults in force. handle is called with the lock
// held.
func (c *fleetClient) sendOrder(ctx context.Context, ref workers.Ref, handle func(*Worker) workers.Answer) (workers.Answer, error) {
	if err := sleep(ctx, workerLatency+c.queueTime(ref)); err != nil {
		return workers.Answer{}, err
	}
	c.mu.Lock()
	w := c.reachableWorker(ref)
	late, lost := c.rng.Float64() < c.lateOrderRate, c.rng.Float64() < c.lostAnswerRate
	if c.forcedLateOrders > 0 {
		c.forcedLateOrders--
		late = true
	}
	if w != nil && !late {
		answer := handle(w)
		if !lost && w.up {
			c.mu.Unlock()
			return answer, sleep(ctx, workerLatency)
		}
	}
	if w != nil && late {
		c.handleLater(w, handle)
	}
	c.mu.Unlock()
	if err := sleep(ctx, orderTimeout); err != nil {
		return workers.Answer{}, err
	}
	return workers.Answer{}, errNoWorkerAnswer
}

// queueTime returns how long an order waits for earlier ones and is executed.
func (c *fleetClient) queueTime(ref workers.Ref) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[ref.Address]
	if w == nil || c.OrderTime == 0 {
		return 0
	}
	now := time.Now()
	if w.busyUntil.Before(now) {
		w.busyUntil = now
	}
	w.busyUntil = w.busyUntil.Add(c.OrderTime)
	return w.busyUntil.Sub(now)
}

// handleLater executes an order after 2 to 12 s, if the worker has not been restarted by
// then. The caller holds the lock.
func (c *fleetClient) handleLater(w *Worker, handle func(*Worker) workers.Answer) {
	startedAt := w.startedAt
	delay := 2*time.Second + time.Duration(c.rng.Int64N(int64(10*time.Second)))
	time.AfterFunc(delay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if w.up && w.startedAt.Equal(startedAt) {
			handle(w)
		}
	})
}

// Start implements workers.Client.
func (c *fleetClient) Start(ctx context.Context, ref workers.Ref, o workers.StartOrder) (workers.Answer, error) {
	return c.sendOrder(ctx, ref, func(w *Worker) workers.Answer { return w.handleStart(ref, o) })
}

// handleStart executes a start. The caller holds the lock.
func (w *Worker) handleStart(ref workers.Ref, o workers.StartOrder) workers.Answer {
	answer := func(outcome workers.Outcome) workers.Answer {
		return workers.Answer{Outcome: outcome, ClockMS: w.clockMS()}
	}
	job, known := w.fleet.jobs[o.Run.Task.Job]
	current := w.runs[o.Run.Task]
	switch {
	case ref.ID != w.entry.ID:
		return answer(workers.OtherIncarnation)
	case o.Fence < w.fence:
		return answer(workers.Fenced)
	case !known:
		w.fleet.ledger.addViolation("UNASKED: %s belongs to no registered job", o.Run)
		return answer(workers.Malformed)
	case job.behaviour(o.Run.Task.Step, o.Run.Task.Index).Malformed:
		w.fleet.malformedStarts++
		return answer(workers.Malformed)
	case current != nil && current.name.Number == o.Run.Number:
		return answer(workers.Accepted)
	case o.Run.Number <= w.highestEndedRun[o.Run.Task] || current != nil:
		return answer(workers.RunTooOld)
	case job.NeedsAdvice && !w.fleet.hasValidTicket(w, o):
		return answer(workers.NoTicket)
	case o.LeaseUntilMS < w.clockMS():
		return answer(workers.LeaseExpired)
	}
	w.fence = o.Fence
	w.extendLease(o.LeaseUntilMS)
	w.startRun(o, job)
	return answer(workers.Accepted)
}

// Stop implements workers.Client.
func (c *fleetClient) Stop(ctx context.Context, ref workers.Ref, run work.RunName, fence int64) (workers.Answer, error) {
	return c.sendOrder(ctx, ref, func(w *Worker) workers.Answer {
		if ref.ID != w.entry.ID {
			return workers.Answer{Outcome: workers.OtherIncarnation, ClockMS: w.clockMS()}
		}
		if fence < w.fence {
			return workers.Answer{Outcome: workers.Fenced, ClockMS: w.clockMS()}
		}
		w.fence = fence
		w.handleStop(run)
		return workers.Answer{ClockMS: w.clockMS()}
	})
}

// Pace implements workers.Client.
func (c *fleetClient) Pace(ctx context.Context, ref workers.Ref, run work.RunName, percent int, fence int64) (workers.Answer, error) {
	return c.sendOrder(ctx, ref, func(w *Worker) workers.Answer {
		r := w.runs[run.Task]
		switch {
		case ref.ID != w.entry.ID:
			return workers.Answer{Outcome: workers.OtherIncarnation, ClockMS: w.clockMS()}
		case fence < w.fence:
			return workers.Answer{Outcome: workers.Fenced, ClockMS: w.clockMS()}
		case r != nil && r.name.Number == run.Number:
			r.slowedBy = fullPace - percent
		}
		w.fence = fence
		return workers.Answer{ClockMS: w.clockMS()}
	})
}

// handleStop stops a run, or prevents its start if it has not started yet. The caller
// holds the lock.
func (w *Worker) handleStop(run work.RunName) {
	r := w.runs[run.Task]
	if r == nil || r.name.Number != run.Number {
		w.highestEndedRun[run.Task] = max(w.highestEndedRun[run.Task], run.Number)
		return
	}
	if r.stopping {
		return
	}
	r.stopping = true
	w.fleet.ledger.recordStop(r)
	startedAt := w.startedAt
	time.AfterFunc(w.fleet.StopTimeout/2, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if w.startedAt.Equal(startedAt) && w.runs[run.Task] == r {
			w.endRun(r, workers.EndedStopped)
		}
	})
}

// Poll implements workers.Client.
func (c *fleetClient) Poll(ctx context.Context, ref workers.Ref, o workers.PollRequest) (workers.Report, error) {
	if err := sleep(ctx, workerLatency); err != nil {
		return workers.Report{}, err
	}
	c.mu.Lock()
	w := c.reachableWorker(ref)
	if w != nil && c.latePolls > 0 && c.isLatePoll(o) {
		c.latePolls--
		c.pollLater(w, ref, o)
		w = nil
	}
	if w == nil {
		c.mu.Unlock()
		if err := sleep(ctx, orderTimeout); err != nil {
			return workers.Report{}, err
		}
		return workers.Report{}, errNoWorkerAnswer
	}
	if err := w.handlePoll(ref, o); err != nil {
		c.mu.Unlock()
		return workers.Report{}, err
	}
	changed := w.changed
	noEnds := len(w.ends) == 0
	c.mu.Unlock()
	if o.MaxWait > 0 && noEnds {
		timer := time.NewTimer(o.MaxWait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return workers.Report{}, ctx.Err()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reachableWorker(ref) != w {
		return workers.Report{}, errNoWorkerAnswer
	}
	return w.report(), nil
}

// pollLater executes a poll after latePollDelay. The caller holds the lock.
func (c *fleetClient) pollLater(w *Worker, ref workers.Ref, o workers.PollRequest) {
	time.AfterFunc(c.latePollDelay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if w.up {
			_ = w.handlePoll(ref, o) // nobody waits for the response
		}
	})
}

// handlePoll renews the worker's lease and removes the acknowledged ends. The caller holds
// the lock.
func (w *Worker) handlePoll(ref workers.Ref, o workers.PollRequest) error {
	if ref.ID != w.entry.ID {
		return trace.Wrap(workers.ErrOtherIncarnation)
	}
	if o.Fence < w.fence {
		return trace.Wrap(workers.ErrFenced)
	}
	w.fence = o.Fence
	w.extendLease(o.LeaseUntilMS)
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.Number > o.AckedThrough {
			kept = append(kept, e)
			continue
		}
		w.fleet.ledger.recordAcknowledgement(w, e)
	}
	w.ends = kept
	return nil
}

// report lists the runs and the oldest ends that are not acknowledged. The caller holds the
// lock.
func (w *Worker) report() workers.Report {
	page := w.ends[:min(len(w.ends), w.fleet.EndsPageSize)]
	r := workers.Report{
		StartMS: w.entry.StartMS, ClockMS: w.clockMS(), Ended: slices.Clone(page), Complete: len(page) < w.fleet.EndsPageSize,
	}
	for _, run := range w.runs {
		percent := 100.0
		if run.totalWork > 0 && !run.step().LongRunning {
			percent = 100 * float64(run.progress()) / float64(run.totalWork)
		}
		r.Running = append(r.Running, workers.RunProgress{Run: run.name, Checkpoint: run.checkpoint(false), Percent: percent})
	}
	return r
}
