// Package blame decides which tasks are to blame for the crash of a worker, and which are
// given up because they crash the workers that start them. It performs no I/O.
//
// It answers the load of a few tasks that crash each worker that starts them, on workers
// that they share with sound tasks and that also lose power for other reasons. Three
// observations tell the tasks apart: a task that crashes its worker does so soon after its
// start, again on the next worker, and on one worker at a time.
package blame

import "time"

const (
	// FreshAge is the age up to which a run may have crashed its worker with its start. A
	// run that has worked for longer shows that its task does not.
	FreshAge = 500 * time.Millisecond
	// maxCountedAge is the age from which a run is not counted: its task had worked for so
	// long that the crash says nothing of it.
	maxCountedAge = time.Minute
	// simultaneousWindow is the time within which workers that share a power supply or a
	// link are lost.
	simultaneousWindow = time.Second
)

const (
	// minFreshCrashes is the number of crashes under fresh runs of a task after which it is
	// given up if the last one can have no other cause.
	minFreshCrashes = 2
	// clearLead is how many more crashes than any task of another job in question a task must
	// have to be given up beside it.
	clearLead = 2
	// maxCrashes is the number of crashes after which a suspect is given up in any case. The
	// platform requires that a task is started at most twice more after three.
	maxCrashes = 4
)

// Run is a run that was on a worker when it crashed.
type Run struct {
	Job string
	// Age is the time between the start of the run and the crash, if AgeKnown.
	Age      time.Duration
	AgeKnown bool
	// Unanswered reports whether the start got no answer and the worker has answered nothing
	// since: the start may have crashed it, or was sent to a worker that was lost already.
	Unanswered bool
	// Crashes is the number of earlier crashes that were counted for the task, FreshCrashes that
	// of those for which CountsAsFresh held.
	Crashes, FreshCrashes int
	// LongRunning reports whether the task runs until its job is cancelled. Such a task lives
	// through many crashes, so that only those right after its starts tell anything.
	LongRunning bool
}

// Fresh reports whether the run may have crashed its worker with its start.
func (r Run) Fresh() bool { return r.AgeKnown && r.Age < FreshAge }

// CountsAsFresh reports whether a crash under the run is counted as one right after its start.
// An unanswered start only does for a long-running task, for which nothing else is counted: it
// may have been sent to a worker that was lost already.
func (r Run) CountsAsFresh() bool { return r.Fresh() || (r.Unanswered && r.LongRunning) }

// Verdict is the result for one run.
type Verdict struct {
	// Counted reports whether the crash counts for the task.
	Counted bool
	// GiveUp reports whether the task's job is to be given up.
	GiveUp bool
}

// Loss is the loss of a worker that had runs, whatever its cause.
type Loss struct {
	Worker string
	At     time.Duration
	Fresh  bool // one of the runs was fresh
}

// SharedLoss reports whether the loss has a cause outside the worker, because another worker
// was lost at the same time. Two workers that both had fresh runs may have been crashed by
// different tasks.
func SharedLoss(loss Loss, others []Loss) bool {
	for _, o := range others {
		if o.Worker == loss.Worker || (o.At-loss.At).Abs() > simultaneousWindow {
			continue
		}
		if !loss.Fresh || !o.Fresh {
			return true
		}
	}
	return false
}

// Judge returns a verdict for each of the runs of a worker that crashed. If there are fresh
// runs, the others are not to blame. shared is the result of SharedLoss: the crash may then
// have had a cause outside the worker, and only counts for fresh runs, so that a task cannot
// crash workers without end while others are lost.
func Judge(runs []Run, shared bool) []Verdict {
	verdicts := make([]Verdict, len(runs))
	suspects := suspects(runs)
	for _, i := range suspects {
		r, crashes := runs[i], runs[i].Crashes+1
		verdicts[i].Counted = r.Fresh() || r.Unanswered || !shared
		certain := r.FreshCrashes+1 >= minFreshCrashes && r.Fresh() && !shared && leads(runs, suspects, i)
		often := crashes >= maxCrashes
		if r.LongRunning {
			often = r.FreshCrashes+1 >= maxCrashes && r.CountsAsFresh()
		}
		verdicts[i].GiveUp = verdicts[i].Counted && (certain || often)
	}
	return verdicts
}

// suspects returns the indexes of the runs that may have caused the crash: the fresh ones
// and those of unknown age, or else all that are not too old.
func suspects(runs []Run) []int {
	var fresh, others []int
	anyFresh := false
	for i, r := range runs {
		switch {
		case r.Fresh() || !r.AgeKnown:
			fresh = append(fresh, i)
			anyFresh = anyFresh || r.Fresh()
		case r.Age < maxCountedAge:
			others = append(others, i)
		}
	}
	if anyFresh {
		return fresh
	}
	return append(fresh, others...)
}

// leads reports whether no suspect of another job may have caused the crash instead of run i. A
// job is given up as a whole, so it does not matter which of its tasks is to blame.
func leads(runs []Run, suspects []int, i int) bool {
	for _, k := range suspects {
		if runs[k].Job != runs[i].Job && runs[i].Crashes < runs[k].Crashes+clearLead {
			return false
		}
	}
	return true
}
