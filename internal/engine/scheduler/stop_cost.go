package scheduler

import "time"

// priorityWeight returns the weight of lost work by its priority, so that urgent runs of
// other organisations are stopped last.
func priorityWeight(priority int) float64 {
	switch priority {
	case 0:
		return 100
	case 1:
		return 2
	}
	return 1
}

// longRunningStopCost is the work that counts as lost when a long-running task is
// stopped: it is unavailable to its users until it runs again, so other runs are stopped
// first.
const longRunningStopCost = 30 * time.Second

// restartCost is the time that stopping and restarting a run takes; it is added to the
// lost work.
const restartCost = 500 * time.Millisecond

// stopCost returns the work that is lost by stopping a run, in core milliseconds weighted
// by priority. An accelerator counts as eight cores.
func (t *term) stopCost(r *run, now time.Duration) float64 {
	const acceleratorCores, milliCoresPerCore = 8, 1000
	since := r.startedAt
	if r.step().SavesProgress && r.checkpointAt > since {
		since = r.checkpointAt
	}
	lost := restartCost
	if since > 0 && !r.step().SavesProgress {
		lost += now - since
	}
	if r.step().LongRunning {
		lost = longRunningStopCost
	}
	cores := float64(r.demand.CPU)/milliCoresPerCore + acceleratorCores*float64(r.demand.Accelerators)
	return cores * float64(lost.Milliseconds()) * priorityWeight(r.job.Priority)
}
