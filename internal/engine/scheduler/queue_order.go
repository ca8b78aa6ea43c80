package scheduler

import "cmp"

// compareReady orders steps by priority, then guaranteed before other jobs, then
// long-running before other steps, then steps that are not late yet, then by deadline.
func compareReady(a, b readyStep, wallMS int64) int {
	late := func(r readyStep) int { return boolRank(r.job.DeadlineMS(r.step) < wallMS) }
	longRunning := func(r readyStep) bool { return r.job.StepAt(r.step).LongRunning }
	return cmp.Or(
		cmp.Compare(a.job.Priority, b.job.Priority),
		cmp.Compare(boolRank(!a.guaranteed), boolRank(!b.guaranteed)),
		cmp.Compare(boolRank(!longRunning(a)), boolRank(!longRunning(b))),
		cmp.Compare(late(a), late(b)),
		cmp.Compare(a.job.DeadlineMS(a.step), b.job.DeadlineMS(b.step)),
		cmp.Compare(a.job.ID, b.job.ID),
		cmp.Compare(a.step, b.step),
	)
}

// boolRank returns 0 for false and 1 for true.
func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}
