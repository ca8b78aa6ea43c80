package judge

import (
	"cmp"
	"slices"

	"github.com/daisyfold/daisyfold/internal/ledger"
	"github.com/daisyfold/daisyfold/internal/model"
)

// Bounds of the design page in milliseconds, with half a second for the clock and
// the scheduling of the test machine.
const (
	// aloneMS bounds how long some members run while others never started or ended
	// by a failure or a stop: the first task lease of 3 s.
	aloneMS = 3500
	// aloneLossMS applies when a member's worker was lost, or when a member's lease
	// lapsed after the gang was whole: one renewal interval plus one stop call. The
	// lease of a worker that is cut off cannot be ended by anybody, so the rest may
	// be stopped before it.
	aloneLossMS = 12_500
	// overlapMS bounds how long two attempts of one job overlap.
	overlapMS = 3500
)

// attempt is one execution of an attempt of a job in the ledger. Two planners that
// both start the same attempt number show as two executions.
type attempt struct {
	number int
	size   int
	tasks  []ledger.TaskRun
}

// has reports whether a member of the attempt started.
func (a *attempt) has(index int) bool {
	return slices.ContainsFunc(a.tasks, func(t ledger.TaskRun) bool { return t.Index == index })
}

// attempts groups the ledger's tasks by job and attempt, in order of attempts. The
// second start of the same member of the same attempt belongs to a second
// execution. A task that still runs is taken to end now.
func attempts(l ledger.Ledger) map[model.JobKey][]*attempt {
	jobs := map[model.JobKey][]*attempt{}
	tasks := slices.Clone(l.Tasks)
	slices.SortStableFunc(tasks, func(a, b ledger.TaskRun) int { return cmp.Compare(a.StartMS, b.StartMS) })
	for _, t := range tasks {
		if t.EndMS == 0 {
			t.EndMS = l.NowMS
		}
		list := jobs[t.Job]
		index := slices.IndexFunc(list, func(a *attempt) bool { return a.number == t.Attempt && !a.has(t.Index) })
		if index < 0 {
			index = len(list)
			list = append(list, &attempt{number: t.Attempt, size: t.GangSize})
		}
		list[index].tasks = append(list[index].tasks, t)
		jobs[t.Job] = list
	}
	for _, list := range jobs {
		slices.SortStableFunc(list, func(a, b *attempt) int { return cmp.Compare(a.number, b.number) })
	}
	return jobs
}

// executedTwice returns the number of an attempt that was executed twice, or 0.
func executedTwice(list []*attempt) int {
	for i := 1; i < len(list); i++ {
		if list[i].number == list[i-1].number {
			return list[i].number
		}
	}
	return 0
}

// members counts the different members that started.
func (a *attempt) members() int {
	seen := map[int]bool{}
	for _, t := range a.tasks {
		seen[t.Index] = true
	}
	return len(seen)
}

// complete reports whether all members finished.
func (a *attempt) complete() bool {
	finished := map[int]bool{}
	for _, t := range a.tasks {
		if t.End == ledger.EndFinished {
			finished[t.Index] = true
		}
	}
	return len(finished) == a.size
}

func (a *attempt) firstStart() int64 {
	return slices.MinFunc(a.tasks, func(x, y ledger.TaskRun) int { return cmp.Compare(x.StartMS, y.StartMS) }).StartMS
}

func (a *attempt) lastStart() int64 {
	return slices.MaxFunc(a.tasks, func(x, y ledger.TaskRun) int { return cmp.Compare(x.StartMS, y.StartMS) }).StartMS
}

func (a *attempt) lastEnd() int64 {
	return slices.MaxFunc(a.tasks, func(x, y ledger.TaskRun) int { return cmp.Compare(x.EndMS, y.EndMS) }).EndMS
}

// firstBreak returns the first task that ended other than by finishing. A task
// that still runs has no end and broke nothing yet.
func (a *attempt) firstBreak() (ledger.TaskRun, bool) {
	var first ledger.TaskRun
	found := false
	for _, t := range a.tasks {
		if t.End == ledger.EndFinished || t.End == "" {
			continue
		}
		if !found || t.EndMS < first.EndMS {
			first, found = t, true
		}
	}
	return first, found
}

// alone returns how long the attempt ran without its whole gang, and the bound
// that applies.
func (a *attempt) alone() (int64, int64) {
	if a.members() < a.size {
		return a.lastEnd() - a.firstStart(), aloneMS
	}
	starting := a.lastStart() - a.firstStart()
	first, found := a.firstBreak()
	if !found || starting > aloneMS {
		return starting, aloneMS
	}
	bound := int64(aloneMS)
	if first.EndMS >= a.lastStart() && a.lostOrLapsed() {
		bound = aloneLossMS
	}
	return a.lastEnd() - first.EndMS, bound
}

// lostOrLapsed reports whether a member ended with its worker or with its lease.
func (a *attempt) lostOrLapsed() bool {
	return slices.ContainsFunc(a.tasks, func(t ledger.TaskRun) bool {
		return t.End == ledger.EndLost || t.End == ledger.EndLapsed
	})
}

func (v *Verdict) judgeJobs(l ledger.Ledger, h History) {
	ran := attempts(l)
	for _, job := range h.Jobs {
		list := ran[job.Key]
		v.countJob(job, list)
		v.checkPartial(job, list)
		v.checkDuplicated(job, list)
		delete(ran, job.Key)
	}
	for key, list := range ran {
		v.broken(&v.Jobs.Duplicated, KindDuplicated, key.String(), "%d attempts of a job that nobody submitted", len(list))
	}
}

// countJob finds the job's fate.
func (v *Verdict) countJob(job Job, list []*attempt) {
	done := slices.ContainsFunc(list, (*attempt).complete)
	switch {
	case job.Reply == ReplyNotRun:
		v.Jobs.Refused++
	case done && !job.CancelAccepted:
		v.Jobs.Completed++
	case job.CancelAccepted:
		v.Jobs.Cancelled++
	case job.Reply == ReplyUnknown:
		v.Jobs.Unknown++
	case job.Expected == FateFail && job.State == model.JobFailed:
		v.Jobs.Failed++
	default:
		v.broken(&v.Jobs.Lost, KindLost, job.Key.String(),
			"expected %s, told %q and state %q, %d attempts, none complete", job.Expected, job.Reply, job.State, len(list))
		return
	}
	if job.State == model.JobFinished && !done {
		v.broken(&v.Jobs.Partial, KindPartial, job.Key.String(), "reported as finished without a complete gang")
	}
	if job.Expected == FateComplete && job.Reply == ReplyAccepted && job.State.Final() && job.State != model.JobFinished {
		v.broken(&v.Jobs.Lost, KindLost, job.Key.String(), "reported as %s, must finish", job.State)
	}
}

// checkPartial counts a job once when an attempt ran without its whole gang.
func (v *Verdict) checkPartial(job Job, list []*attempt) {
	for _, a := range list {
		if a.complete() && a.size != job.Tasks {
			v.broken(&v.Jobs.Partial, KindPartial, job.Key.String(),
				"attempt %d completed with %d tasks of %d", a.number, a.size, job.Tasks)
			return
		}
		if alone, bound := a.alone(); alone > bound {
			v.broken(&v.Jobs.Partial, KindPartial, job.Key.String(),
				"attempt %d ran %d ms without its whole gang (%d of %d members started)", a.number, alone, a.members(), a.size)
			return
		}
	}
}

// checkDuplicated counts a job once when it ran more often than it may.
func (v *Verdict) checkDuplicated(job Job, list []*attempt) {
	count, name := &v.Jobs.Duplicated, job.Key.String()
	switch {
	case job.Reply == ReplyNotRun && len(list) > 0:
		v.broken(count, KindDuplicated, name, "told not_run, but %d attempts ran", len(list))
	case job.NonRepeatable && len(list) > 1:
		v.broken(count, KindDuplicated, name, "non-repeatable, but %d attempts ran", len(list))
	case completeAttempts(list) > 1:
		v.broken(count, KindDuplicated, name, "%d attempts completed", completeAttempts(list))
	case executedTwice(list) > 0:
		v.broken(count, KindDuplicated, name, "attempt %d was executed twice", executedTwice(list))
	case longestOverlap(list) > overlapMS:
		v.broken(count, KindDuplicated, name, "two attempts overlapped by %d ms", longestOverlap(list))
	}
}

func completeAttempts(list []*attempt) int {
	n := 0
	for _, a := range list {
		if a.complete() {
			n++
		}
	}
	return n
}

// longestOverlap returns the longest time during which two attempts both ran.
func longestOverlap(list []*attempt) int64 {
	longest := int64(0)
	for i, a := range list {
		for _, b := range list[i+1:] {
			overlap := min(a.lastEnd(), b.lastEnd()) - max(a.firstStart(), b.firstStart())
			longest = max(longest, overlap)
		}
	}
	return longest
}
