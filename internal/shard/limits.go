// Package shard schedules the jobs of one shard. It holds the leases of the shard's workers,
// tracks their tasks, calls the planner and executes its plans. Several hosts may believe
// that they own the same shard; because of the workers' fencing tokens only the last host
// that acquired a worker can change its tasks.
package shard

import "time"

// Durations of the worker and task leases.
const (
	// leaseTTL is the time to live of worker leases and of renewed task leases. It is
	// twice the renewal interval. An unreachable worker ends its tasks 20 s after the last
	// renewal that it received, and only then may the job start elsewhere.
	leaseTTL = 20 * time.Second
	// confirmedTaskLease is the task lease that a confirmation sets. It covers the longest
	// time to the next renewal, 12 s. It limits how long confirmed members run without the
	// rest of the gang if a planner dies between two confirmations and no other takes over.
	confirmedTaskLease = 13 * time.Second
	// renewLongPollWait is the long-poll wait of a renewal.
	renewLongPollWait = 10 * time.Second
	// unconfirmedTaskLease is the lease of a started task until its gang is confirmed. It
	// limits how long a member can run without the rest of the gang if the planner dies.
	unconfirmedTaskLease = 3 * time.Second
	// holdTTL limits the time between the check of the start evidence and the start: the
	// holds of a planner that is paused in between expire. With evidence of at most 2 s, no
	// task starts later than 3 s after the zone was taken out of service.
	holdTTL = time.Second
	// maxHoldAge is the age above which holds are renewed before the start.
	maxHoldAge = 300 * time.Millisecond
	// leaseEndMargin is added to a lease before it is considered to have ended.
	leaseEndMargin = time.Second
)

// Timeouts and delays.
const (
	callTimeout = 1500 * time.Millisecond
	// renewCallMargin is added to renewLongPollWait for the timeout of a renewal.
	renewCallMargin = 2 * time.Second
	appendTimeout   = 10 * time.Second
	// stopGrace is how long a worker may take for a checkpoint before it stops a task.
	stopGrace   = 3 * time.Second
	stopTimeout = stopGrace + time.Second
	// workerLostAfter is how long calls to a worker must fail before it counts as lost and
	// its gangs are stopped. Gangs survive shorter interruptions.
	workerLostAfter = 3 * time.Second
	// handoverTimeout limits the wait for running operations when the shard is handed over.
	handoverTimeout = 5 * time.Second
	// minRetryDelay and maxRetryDelay are the bounds of the delay between calls to an
	// unreachable worker.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// A fenced planner that still owns the shard acquires a worker again after
	// minFencedDelay and a random part of maxFencedJitter. Two hosts that both believe they
	// own the shard would otherwise fence each other continuously.
	minFencedDelay  = 2 * time.Second
	maxFencedJitter = 2 * time.Second
	// planCoalesceDelay combines changes that arrive together into one plan.
	planCoalesceDelay = 10 * time.Millisecond
	// maxPlanInterval is the maximum time between two plans.
	maxPlanInterval = 500 * time.Millisecond
	// rejectedJobDelay is how long a job is not planned after its placement was rejected.
	// This host's view of the job is then stale, usually because it cannot read the log.
	rejectedJobDelay = 5 * time.Second
	// moveDelayAfterOutage is how long no job of another shard is taken over after the log
	// answers again, so that decisions made during the outage are appended first.
	moveDelayAfterOutage = 10 * time.Second
	// minOrphanAge is how long tasks of an unknown job must be reported before they are
	// stopped.
	minOrphanAge = 10 * time.Second
	// minForeignJobWait is how long a job waits in its home shard before another shard may
	// take it over.
	minForeignJobWait = time.Second
)

// Limits on counts.
const (
	// maxFailedAttempts is the number of attempts with a failed task after which a job
	// fails for good.
	maxFailedAttempts = 6
	// maxForeignJobs is the maximum number of waiting jobs of other shards in one plan.
	maxForeignJobs = 16
	// maxConcurrentAcquisitions is the maximum number of concurrent acquisitions of one
	// shard.
	maxConcurrentAcquisitions = 32
)
