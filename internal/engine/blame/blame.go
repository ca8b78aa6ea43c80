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
	FreshAge = time.Second
	// maxCountedAge is the age from which a run is not counted: its task had worked for so
	// long that the crash says nothing of it.
	maxCountedAge = time.Minute
	// simultaneousWindow is the time within which workers that share a power supply or a
	// link are lost.
	simultaneousWindow = time.Second
)

const (
	// minCrashes is the number of crashes under a task after which it is given up if the last
	// one can have no other cause.
	minCrashes = 2
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
	// Crashes is the number of earlier crashes that were counted for the task.
	Crashes int
}

// Fresh reports whether the run may have crashed its worker with its start.
func (r Run) Fresh() bool { return r.AgeKnown && r.Age < FreshAge }

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

// Judge returns a verdict for each of the runs of a worker that crashed alone. If there are
// fresh runs, the others are not to blame.
func Judge(runs []Run) []Verdict {
	verdicts := make([]Verdict, len(runs))
	suspects := suspects(runs)
	alone := sameJob(runs, suspects)
	for _, i := range suspects {
		crashes := runs[i].Crashes + 1
		verdicts[i].Counted = true
		verdicts[i].GiveUp = crashes >= maxCrashes || (crashes >= minCrashes && alone && runs[i].Fresh())
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

// sameJob reports whether the runs with the given indexes belong to one job. A job is given
// up as a whole, so it does not matter which of its tasks is to blame.
func sameJob(runs []Run, indexes []int) bool {
	for _, i := range indexes {
		if runs[i].Job != runs[indexes[0]].Job {
			return false
		}
	}
	return true
}
