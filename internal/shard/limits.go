// Package shard runs one shard: it holds the leases of the shard's workers, follows
// their tasks, asks the planner what to do, and carries the plan out. Any number of
// hosts may believe that they own a shard; the workers' fencing tokens make sure
// that only the last one that acquired a worker can change it.
package shard

import "time"

// Times of the worker and task leases.
const (
	// leaseTTL is the time to live of worker leases and of confirmed tasks. It is
	// twice the renewal interval: a worker that is cut off ends its tasks 20 s after
	// the last renewal that reached it, and only then may the job start elsewhere.
	leaseTTL = 20 * time.Second
	// confirmLease is the lease that a confirmation sets. It covers the longest time
	// to the next renewal, 12 s. The shorter it is, the shorter confirmed members run
	// alone when a planner dies between two confirmations and none takes over.
	confirmLease = 13 * time.Second
	// renewWait is the long-poll wait of a renewal.
	renewWait = 10 * time.Second
	// firstLease is the lease of a started task until its gang is confirmed. It
	// bounds how long a member can run alone when the planner dies.
	firstLease = 3 * time.Second
	// holdTTL bounds the time between the check of the start evidence and the
	// start: a planner that is paused in between finds its holds lapsed. With
	// evidence of at most 2 s, no task starts later than 3 s after a zone out.
	holdTTL = time.Second
	// rehold is the age from which holds are renewed before the start.
	rehold = 300 * time.Millisecond
	// clockMargin is added to a lease before its end is taken as certain.
	clockMargin = time.Second
)

// Time limits of calls and waits.
const (
	callTimeout   = 1500 * time.Millisecond
	renewMargin   = 2 * time.Second
	appendTimeout = 10 * time.Second
	// stopGrace is how long a worker may take to checkpoint before it stops.
	stopGrace   = 3 * time.Second
	stopTimeout = stopGrace + time.Second
	// lostAfter is how long calls to a worker fail before it counts as lost. Its
	// gangs are stopped then; shorter interruptions are ridden out.
	lostAfter = 3 * time.Second
	// handoverTimeout bounds the wait for running operations at a planned stop.
	handoverTimeout = 5 * time.Second
	// retryMin and retryMax bound the wait between calls to an unreachable worker.
	retryMin = 100 * time.Millisecond
	retryMax = time.Second
	// fencedMin and fencedSpread set the wait before a fenced planner that still
	// is the owner acquires a worker again. Two hosts that both believe they own
	// the shard would otherwise fence each other without pause.
	fencedMin    = 2 * time.Second
	fencedSpread = 2 * time.Second
	// planDelay gathers changes that arrive together into one plan.
	planDelay = 10 * time.Millisecond
	// planInterval is the longest time between two plans.
	planInterval = 500 * time.Millisecond
	// refusedPause is how long a job is left alone after its placement lost. This
	// host's view of the job is stale then, usually because it cannot read the log.
	refusedPause = 5 * time.Second
	// moveGrace is how long no job is taken over after the log answered again:
	// decisions taken without it are appended first.
	moveGrace = 10 * time.Second
	// orphanAge is how long tasks of an unknown job are left alone.
	orphanAge = 10 * time.Second
)

// Counts.
const (
	// maxTaskFailures is the number of attempts with a failed task after which a
	// job is final.
	maxTaskFailures = 6
	// maxForeign bounds the waiting jobs of other shards considered in one plan.
	maxForeign = 16
	// foreignAge is how long a job waits at its home before another shard takes it.
	foreignAge = time.Second
	// acquireParallel bounds concurrent acquisitions of one shard.
	acquireParallel = 32
)
