package judge

import (
	"cmp"
	"slices"

	"github.com/daisyfold/daisyfold/internal/ledger"
	"github.com/daisyfold/daisyfold/internal/model"
)

// Limits on jobs, in milliseconds. Each is the bound in docs/design.md plus 500 ms for the
// clocks and the scheduling of the test machine.
const (
	// maxPartialGangMS limits how long some members of a gang run while others never
	// started, failed or were stopped. The bound is the first task lease, 3 s.
	maxPartialGangMS = 3500
	// maxPartialGangAfterLossMS replaces maxPartialGangMS when, after all members had
	// started, a member's worker was lost or a member's lease expired. The bound is
	// one renewal interval plus one stop call. Nothing can end the lease on a worker
	// that is unreachable, so the other members may be stopped before it expires.
	maxPartialGangAfterLossMS = 12_500
	// maxAttemptOverlapMS limits how long two attempts of one job overlap.
	maxAttemptOverlapMS = 3500
	// maxRunAfterCancelMS limits how long tasks of a job run after its cancellation
	// was acknowledged. The planner of another host may stop them one renewal
	// interval and one stop call later.
	maxRunAfterCancelMS = 12_500
)

// attemptRun is one run of an attempt of a job in the ledger. If two planners start
// the same attempt, it has two runs.
type attemptRun struct {
	attempt  int
	gangSize int
	tasks    []ledger.TaskRun
}

// hasMember reports whether the member with the given index started.
func (a *attemptRun) hasMember(index int) bool {
	return slices.ContainsFunc(a.tasks, func(t ledger.TaskRun) bool { return t.Index == index })
}

// groupAttempts returns the runs of each job in the ledger, ordered by attempt number.
// A second start of the same member in the same attempt belongs to a second run. A
// task that is still running gets the time of the ledger as its end.
func groupAttempts(l ledger.Ledger) map[model.JobKey][]*attemptRun {
	runsByJob := map[model.JobKey][]*attemptRun{}
	tasks := slices.Clone(l.Tasks)
	slices.SortStableFunc(tasks, func(a, b ledger.TaskRun) int { return cmp.Compare(a.StartUnixMS, b.StartUnixMS) })
	for _, t := range tasks {
		if t.EndUnixMS == 0 {
			t.EndUnixMS = l.NowUnixMS
		}
		runs := runsByJob[t.Job]
		index := slices.IndexFunc(runs, func(a *attemptRun) bool { return a.attempt == t.Attempt && !a.hasMember(t.Index) })
		if index < 0 {
			index = len(runs)
			runs = append(runs, &attemptRun{attempt: t.Attempt, gangSize: t.GangSize})
		}
		runs[index].tasks = append(runs[index].tasks, t)
		runsByJob[t.Job] = runs
	}
	for _, runs := range runsByJob {
		slices.SortStableFunc(runs, func(a, b *attemptRun) int { return cmp.Compare(a.attempt, b.attempt) })
	}
	return runsByJob
}

// repeatedAttempt returns the number of an attempt that has two runs, or 0. The runs
// are ordered by attempt number.
func repeatedAttempt(runs []*attemptRun) int {
	for i := 1; i < len(runs); i++ {
		if runs[i].attempt == runs[i-1].attempt {
			return runs[i].attempt
		}
	}
	return 0
}

// startedMembers returns the number of distinct members that started.
func (a *attemptRun) startedMembers() int {
	seen := map[int]bool{}
	for _, t := range a.tasks {
		seen[t.Index] = true
	}
	return len(seen)
}

// allFinished reports whether all members of the gang finished.
func (a *attemptRun) allFinished() bool {
	finished := map[int]bool{}
	for _, t := range a.tasks {
		if t.Outcome == ledger.OutcomeFinished {
			finished[t.Index] = true
		}
	}
	return len(finished) == a.gangSize
}

func (a *attemptRun) firstStartUnixMS() int64 {
	return slices.MinFunc(a.tasks, func(x, y ledger.TaskRun) int { return cmp.Compare(x.StartUnixMS, y.StartUnixMS) }).StartUnixMS
}

func (a *attemptRun) lastStartUnixMS() int64 {
	return slices.MaxFunc(a.tasks, func(x, y ledger.TaskRun) int { return cmp.Compare(x.StartUnixMS, y.StartUnixMS) }).StartUnixMS
}

func (a *attemptRun) lastEndUnixMS() int64 {
	return slices.MaxFunc(a.tasks, func(x, y ledger.TaskRun) int { return cmp.Compare(x.EndUnixMS, y.EndUnixMS) }).EndUnixMS
}

// firstUnfinished returns the first task that ended without finishing, and whether
// there is one. Tasks that are still running are ignored.
func (a *attemptRun) firstUnfinished() (ledger.TaskRun, bool) {
	var first ledger.TaskRun
	found := false
	for _, t := range a.tasks {
		if t.Outcome == ledger.OutcomeFinished || t.Outcome == "" {
			continue
		}
		if !found || t.EndUnixMS < first.EndUnixMS {
			first, found = t, true
		}
	}
	return first, found
}

// partialGangMS returns how long the run had only a part of its gang, and the limit
// on it, both in milliseconds.
func (a *attemptRun) partialGangMS() (int64, int64) {
	if a.startedMembers() < a.gangSize {
		return a.lastEndUnixMS() - a.firstStartUnixMS(), maxPartialGangMS
	}
	startSpreadMS := a.lastStartUnixMS() - a.firstStartUnixMS()
	first, found := a.firstUnfinished()
	if !found || startSpreadMS > maxPartialGangMS {
		return startSpreadMS, maxPartialGangMS
	}
	limitMS := int64(maxPartialGangMS)
	if first.EndUnixMS >= a.lastStartUnixMS() && a.hasLossOrExpiry() {
		limitMS = maxPartialGangAfterLossMS
	}
	return a.lastEndUnixMS() - first.EndUnixMS, limitMS
}

// hasLossOrExpiry reports whether a member ended because its worker was lost or its
// lease expired.
func (a *attemptRun) hasLossOrExpiry() bool {
	return slices.ContainsFunc(a.tasks, func(t ledger.TaskRun) bool {
		return t.Outcome == ledger.OutcomeWorkerLost || t.Outcome == ledger.OutcomeLeaseExpired
	})
}

// checkJobs classifies the submitted jobs and checks their runs.
func (r *Report) checkJobs(l ledger.Ledger, h History) {
	runsByJob := groupAttempts(l)
	for _, job := range h.Jobs {
		runs := runsByJob[job.Key]
		r.classifyJob(job, runs)
		r.checkPartialGangs(job, runs)
		r.checkDuplicateRuns(job, runs)
		r.checkCancellation(job, runs)
		delete(runsByJob, job.Key)
	}
	for key, runs := range runsByJob {
		r.addViolation(&r.Jobs.Duplicated, KindDuplicated, key.String(), "%d attempts of a job that nobody submitted", len(runs))
	}
}

// classifyJob counts the job under its outcome and checks the state that was reported
// for it.
func (r *Report) classifyJob(job Job, runs []*attemptRun) {
	completed := slices.ContainsFunc(runs, (*attemptRun).allFinished)
	switch {
	case job.Reply == ReplyNotRun:
		r.Jobs.Refused++
	case completed && !job.CancelAccepted:
		r.Jobs.Completed++
	case job.CancelAccepted:
		r.Jobs.Cancelled++
	case job.Reply == ReplyUnknown:
		r.Jobs.Unknown++
	case job.Expected == ExpectFail && job.State == model.JobFailed:
		r.Jobs.Failed++
	default:
		r.addViolation(&r.Jobs.Lost, KindLost, job.Key.String(),
			"expected %s, got reply %q and state %q; %d attempts, none of them complete", job.Expected, job.Reply, job.State, len(runs))
		return
	}
	if job.State == model.JobFinished && !completed {
		r.addViolation(&r.Jobs.Partial, KindPartial, job.Key.String(), "reported as finished, but no attempt completed")
	}
	if job.Expected == ExpectComplete && job.Reply == ReplyAccepted && job.State.Final() && job.State != model.JobFinished {
		r.addViolation(&r.Jobs.Lost, KindLost, job.Key.String(), "reported as %s, but must finish", job.State)
	}
}

// checkPartialGangs counts a job once if a run finished with another number of tasks
// than the job has, or had only a part of its gang for longer than the limit. The
// tests of package shard parse the start of the second message.
func (r *Report) checkPartialGangs(job Job, runs []*attemptRun) {
	for _, a := range runs {
		if a.allFinished() && a.gangSize != job.Tasks {
			r.addViolation(&r.Jobs.Partial, KindPartial, job.Key.String(),
				"attempt %d completed with %d tasks of %d", a.attempt, a.gangSize, job.Tasks)
			return
		}
		if partialMS, limitMS := a.partialGangMS(); partialMS > limitMS {
			r.addViolation(&r.Jobs.Partial, KindPartial, job.Key.String(),
				"attempt %d ran %d ms without its whole gang (%d of %d members started)", a.attempt, partialMS, a.startedMembers(), a.gangSize)
			return
		}
	}
}

// checkDuplicateRuns counts a job once if it ran more often than allowed. The tests of
// package shard match the end of the message on completed attempts.
func (r *Report) checkDuplicateRuns(job Job, runs []*attemptRun) {
	count, subject := &r.Jobs.Duplicated, job.Key.String()
	switch {
	case job.Reply == ReplyNotRun && len(runs) > 0:
		r.addViolation(count, KindDuplicated, subject, "replied not_run, but %d attempts ran", len(runs))
	case job.NonRepeatable && len(runs) > 1:
		r.addViolation(count, KindDuplicated, subject, "non-repeatable, but %d attempts ran", len(runs))
	case countCompleted(runs) > 1:
		r.addViolation(count, KindDuplicated, subject, "%d attempts completed", countCompleted(runs))
	case repeatedAttempt(runs) > 0:
		r.addViolation(count, KindDuplicated, subject, "attempt %d was executed twice", repeatedAttempt(runs))
	case longestOverlapMS(runs) > maxAttemptOverlapMS:
		r.addViolation(count, KindDuplicated, subject, "two attempts overlapped by %d ms", longestOverlapMS(runs))
	}
}

// checkCancellation counts a job once if its tasks ran for too long after its
// cancellation.
func (r *Report) checkCancellation(job Job, runs []*attemptRun) {
	if !job.CancelAccepted || job.CancelledUnixMS == 0 {
		return
	}
	for _, a := range runs {
		if afterCancelMS := a.lastEndUnixMS() - job.CancelledUnixMS; afterCancelMS > maxRunAfterCancelMS {
			r.addViolation(&r.Jobs.RanAfterCancel, KindRanAfterCancel, job.Key.String(), "attempt %d ran for %d ms after the cancellation", a.attempt, afterCancelMS)
			return
		}
	}
}

// countCompleted returns the number of runs in which all members finished.
func countCompleted(runs []*attemptRun) int {
	n := 0
	for _, a := range runs {
		if a.allFinished() {
			n++
		}
	}
	return n
}

// longestOverlapMS returns the longest time in milliseconds for which two runs
// overlap, or 0.
func longestOverlapMS(runs []*attemptRun) int64 {
	longestMS := int64(0)
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			overlapMS := min(a.lastEndUnixMS(), b.lastEndUnixMS()) - max(a.firstStartUnixMS(), b.firstStartUnixMS())
			longestMS = max(longestMS, overlapMS)
		}
	}
	return longestMS
}
