package standin

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

const (
	// workerTime is how long a worker takes to answer.
	workerTime = time.Millisecond
	// orderSilence is how long a caller waits for a worker that does not answer.
	orderSilence = 800 * time.Millisecond
)

var errNoAnswer = trace.ConnectionProblem(nil, "the worker did not answer")

// Client returns the workers as a host sees them.
func (f *Fleet) Client(host string) workers.Client { return &fleetClient{f, host} }

type fleetClient struct {
	*Fleet
	host string
}

// reach finds the worker that a call reaches; the lock is held.
func (c *fleetClient) reach(ref workers.Ref) *Worker {
	w := c.workers[ref.Address]
	if w == nil || !w.up || c.cuts[[2]string{c.host, ref.ID}] || c.cuts[[2]string{"", ref.ID}] {
		return nil
	}
	return w
}

// order carries out an order with its faults. do runs with the lock held.
func (c *fleetClient) order(ctx context.Context, ref workers.Ref, do func(*Worker) workers.Answer) (workers.Answer, error) {
	if err := wait(ctx, workerTime); err != nil {
		return workers.Answer{}, err
	}
	c.mu.Lock()
	w := c.reach(ref)
	late, lost := c.rng.Float64() < c.late, c.rng.Float64() < c.lost
	if c.delayNext > 0 {
		c.delayNext--
		late = true
	}
	if w != nil && !late {
		answer := do(w)
		if !lost {
			c.mu.Unlock()
			return answer, wait(ctx, workerTime)
		}
	}
	if w != nil && late {
		c.carryOutLater(w, do)
	}
	c.mu.Unlock()
	if err := wait(ctx, orderSilence); err != nil {
		return workers.Answer{}, err
	}
	return workers.Answer{}, errNoAnswer
}

func (c *fleetClient) carryOutLater(w *Worker, do func(*Worker) workers.Answer) {
	born := w.born
	delay := 2*time.Second + time.Duration(c.rng.Int64N(int64(10*time.Second)))
	time.AfterFunc(delay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if w.up && w.born.Equal(born) {
			do(w)
		}
	})
}

// Start implements workers.Client.
func (c *fleetClient) Start(ctx context.Context, ref workers.Ref, o workers.StartOrder) (workers.Answer, error) {
	return c.order(ctx, ref, func(w *Worker) workers.Answer { return w.takeStart(ref, o) })
}

// takeStart is a worker's handling of a start. The lock is held.
func (w *Worker) takeStart(ref workers.Ref, o workers.StartOrder) workers.Answer {
	answer := func(out workers.Outcome) workers.Answer { return workers.Answer{Outcome: out, ClockMS: w.clock()} }
	job, known := w.fleet.jobs[o.Run.Task.Job]
	there := w.runs[o.Run.Task]
	switch {
	case ref.ID != w.entry.ID:
		return answer(workers.OtherLife)
	case o.Fence < w.fence:
		return answer(workers.Fenced)
	case !known:
		w.fleet.ledger.fault("UNASKED: %s is no task of a job", o.Run)
		return answer(workers.Malformed)
	case there != nil && there.name.Number == o.Run.Number:
		return answer(workers.Accepted)
	case o.Run.Number <= w.floor[o.Run.Task] || there != nil:
		return answer(workers.RunTooOld)
	case job.NeedsAdvice && !w.fleet.hasTicket(w, o):
		return answer(workers.NoTicket)
	case o.LeaseUntilMS < w.clock():
		return answer(workers.LeaseOver)
	}
	w.fence = o.Fence
	w.extend(o.LeaseUntilMS)
	w.begin(o, job)
	return answer(workers.Accepted)
}

// Stop implements workers.Client.
func (c *fleetClient) Stop(ctx context.Context, ref workers.Ref, run work.RunName, fence int64) (workers.Answer, error) {
	return c.order(ctx, ref, func(w *Worker) workers.Answer {
		if ref.ID != w.entry.ID {
			return workers.Answer{Outcome: workers.OtherLife, ClockMS: w.clock()}
		}
		if fence < w.fence {
			return workers.Answer{Outcome: workers.Fenced, ClockMS: w.clock()}
		}
		w.fence = fence
		w.takeStop(run)
		return workers.Answer{ClockMS: w.clock()}
	})
}

// takeStop stops a run, or keeps it from coming. The lock is held.
func (w *Worker) takeStop(run work.RunName) {
	r := w.runs[run.Task]
	if r == nil || r.name.Number != run.Number {
		w.floor[run.Task] = max(w.floor[run.Task], run.Number)
		return
	}
	if r.stopping {
		return
	}
	r.stopping = true
	w.fleet.ledger.stopped(r)
	born := w.born
	time.AfterFunc(w.fleet.StopTimeout/2, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if w.born.Equal(born) && w.runs[run.Task] == r {
			w.end(r, workers.EndedStopped)
		}
	})
}

// Look implements workers.Client.
func (c *fleetClient) Look(ctx context.Context, ref workers.Ref, o workers.LookOrder) (workers.Report, error) {
	if err := wait(ctx, workerTime); err != nil {
		return workers.Report{}, err
	}
	c.mu.Lock()
	w := c.reach(ref)
	if w == nil {
		c.mu.Unlock()
		if err := wait(ctx, orderSilence); err != nil {
			return workers.Report{}, err
		}
		return workers.Report{}, errNoAnswer
	}
	if err := w.takeLook(ref, o); err != nil {
		c.mu.Unlock()
		return workers.Report{}, err
	}
	changed := w.changed
	quiet := len(w.ends) == 0
	c.mu.Unlock()
	if o.Wait > 0 && quiet {
		timer := time.NewTimer(o.Wait)
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
	if c.reach(ref) != w {
		return workers.Report{}, errNoAnswer
	}
	return w.report(), nil
}

// takeLook is a worker's handling of a look. The lock is held.
func (w *Worker) takeLook(ref workers.Ref, o workers.LookOrder) error {
	if ref.ID != w.entry.ID {
		return trace.Wrap(workers.ErrOtherLife)
	}
	if o.Fence < w.fence {
		return trace.Wrap(workers.ErrFenced)
	}
	w.fence = o.Fence
	w.extend(o.LeaseUntilMS)
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.Number > o.EndsRecorded {
			kept = append(kept, e)
			continue
		}
		w.fleet.ledger.noted(w, e)
	}
	w.ends = kept
	return nil
}

func (w *Worker) report() workers.Report {
	r := workers.Report{BornMS: w.entry.BornMS, ClockMS: w.clock(), Ended: append([]workers.Ended(nil), w.ends...)}
	for _, run := range w.runs {
		percent := 100.0
		if run.total > 0 && !run.step().LongRunning {
			percent = 100 * float64(run.progress()) / float64(run.total)
		}
		r.Running = append(r.Running, workers.Running{Run: run.name, Checkpoint: run.checkpoint(false), Percent: percent})
	}
	return r
}
