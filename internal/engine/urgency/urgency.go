// Package urgency decides what runs next and what is stopped when there is too little room for all
// work. It answers a lasting or sudden shortage of workers: bursts, lost zones, upkeep. It knows no
// state of the scheduler, and performs no I/O.
//
// What is delayed or stopped is what costs the callers least. A caller's terms are not part of a
// submission; they are taken to follow from the priority and the objective of the queue: a job is
// worth all of its work until its objective, a part of it up to WorthlessMS, and nothing later. An
// accepted job is finished even then.
package urgency

import (
	"cmp"
	"time"
)

// Work is a waiting step, or a run or gang at work. Times are Unix milliseconds; amounts of work are
// core milliseconds, in which an accelerator counts as eight cores.
type Work struct {
	Priority int // 0 is the most urgent
	// Guaranteed reports whether the organisation is guaranteed the resources for the work.
	Guaranteed, LongRunning bool
	// WithinRate reports whether the job is inside the rate of its organisation; true without
	// weights. Share is the organisation's dominant share divided by its weight; 0 without weights.
	WithinRate bool
	Share      float64
	// DeadlineMS is the objective; from WorthlessMS on the work is worth nothing to its caller.
	DeadlineMS, WorthlessMS int64
	// Needed is the work from the start to the end, and Done the part that a stop would lose.
	Needed, Done float64
	// WaitingMS is the time since a waiting step became ready.
	WaitingMS int64
	// RemainingMS is the time to the end if the work starts or goes on now, and RestartedMS if it
	// starts again after a stop.
	RemainingMS, RestartedMS int64
	// Stops counts how often it has been stopped for other work.
	Stops int
}

// lateWorth is the part of the worth that is left after the objective. Callers' terms give 0.8 of 4,
// 0.9 of 3 and 0.3 of 1.
const lateWorth = 0.25

// maxWait is the time after which waiting work is no longer put behind other work of its priority
// because it is late. Callers ask for the state of their jobs for up to 120 s, and one that is late
// already gets a quarter of that.
const maxWait = 30 * time.Second

// weight returns what a unit of work is worth by priority. Callers' terms give 4, 3 and 1 for jobs
// of 500, 5,500 and 3,300 core seconds, that is 25, 2 and 1 times as much for a unit of work.
func weight(priority int) float64 {
	switch priority {
	case 0:
		return 25
	case 1:
		return 2
	}
	return 1
}

// worth returns the part of the work's worth that is left if it ends at the given time.
func (w Work) worth(endMS int64) float64 {
	switch {
	case endMS <= w.DeadlineMS:
		return 1
	case endMS <= w.WorthlessMS:
		return lateWorth
	}
	return 0
}

// stage returns 0 for work that may still be in time, 1 for late work, and 2 for work that is worth
// nothing any more. Work that has waited for maxWait counts as in time.
func (w Work) stage(nowMS int64) int {
	switch {
	case nowMS < w.DeadlineMS || w.WaitingMS >= maxWait.Milliseconds():
		return 0
	case nowMS < w.WorthlessMS:
		return 1
	}
	return 2
}

// Compare orders waiting work. It is negative if a is placed before b, and 0 if either may be. At
// any one time it is a strict weak order. Order: priority, guaranteed before other work,
// long-running before other work, work inside its organisation's rate, the organisation with the
// smaller share, work that is worth more, the earlier objective.
func Compare(a, b Work, nowMS int64) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		compareBool(a.Guaranteed, b.Guaranteed),
		compareBool(a.LongRunning, b.LongRunning),
		compareBool(a.WithinRate, b.WithinRate),
		cmp.Compare(a.Share, b.Share),
		cmp.Compare(a.stage(nowMS), b.stage(nowMS)),
		cmp.Compare(a.DeadlineMS, b.DeadlineMS),
	)
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// StopCost returns what a stop costs: the work that is lost, and the worth that the caller loses
// because the work ends later. It is in core milliseconds weighted by priority. Work that was
// stopped before costs as many times more, so that the same work is not stopped again and again.
func StopCost(w Work, nowMS int64) float64 {
	delayed := w.worth(nowMS+w.RemainingMS) - w.worth(nowMS+w.RestartedMS)
	return weight(w.Priority) * (w.Done + w.Needed*max(delayed, 0)) * float64(1+w.Stops)
}

// Gain returns what it is worth to stop other work for waiting work, if the room is free after the
// given time, in core milliseconds weighted by priority. It is 0 if the work would be late in any
// case and may wait for room that comes by itself, or if its caller has nothing of it any more.
func Gain(w Work, stopMS, nowMS int64) float64 {
	end := nowMS + stopMS + w.RemainingMS
	full := weight(w.Priority) * w.Needed
	switch {
	case end <= w.DeadlineMS:
		return full * (1 - lateWorth)
	case end <= w.WorthlessMS && end+stopMS+w.RemainingMS > w.WorthlessMS:
		return full * lateWorth
	}
	return 0
}
