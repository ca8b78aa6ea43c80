// Package planner decides for one shard what to start and what to preempt. Decide
// is a pure function: a snapshot of state and time goes in, a plan with reasons comes
// out. Nothing else in daisyfold chooses places or victims.
package planner

import (
	"time"

	"github.com/daisyfold/daisyfold/internal/finding"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/queue"
)

// Organisation holds an organisation's limits for one plan.
type Organisation struct {
	Name model.Organisation
	// QuotaAccelerators bounds its use in the whole deployment; 0 means no bound.
	QuotaAccelerators int
	// UsedElsewhere is its use in other shards, in accelerators.
	UsedElsewhere int
	// Weight is its share of spare capacity; at least 1.
	Weight int
}

// Snapshot is the input of Decide, which does not change it.
type Snapshot struct {
	Now time.Time
	// Shard is the shard planned for.
	Shard model.ShardID
	// ZoneInService is false while the zone is out: nothing starts.
	ZoneInService bool
	// Workers are the shard's workers, also lost and leaving ones.
	Workers []model.Worker
	// Limits are those of Workers, which change only with the workers' capacities.
	// Building them took a seventh of a plan, so a caller keeps them between plans;
	// nil means that Decide builds them.
	Limits *Limits
	// Running are all attempts that hold resources, starting ones included.
	Running []model.Placement
	// Stopping are the running jobs that are being preempted already.
	Stopping map[model.JobKey]bool
	// Pinned are the running jobs that must not be preempted, because they are
	// non-repeatable. They are placed where no guarantee needs the room.
	Pinned map[model.JobKey]bool
	// Served holds the run time of earlier attempts of running jobs that a
	// checkpoint kept. A missing entry means none.
	Served map[model.JobKey]time.Duration
	// Waiting are the jobs whose home is the shard, in order of acceptance.
	Waiting []*model.Job
	// Guarantees are those assigned to the shard.
	Guarantees    []model.Guarantee
	Organisations []Organisation
	// Blocked maps a service to the dependency that is unavailable.
	Blocked map[model.Service]model.Service
	// History holds learned run times; it may be nil.
	History *queue.History
}

// Preemption stops a running attempt, from a checkpoint if Checkpoint is set.
type Preemption struct {
	Job        model.JobKey
	Attempt    int
	Checkpoint bool
	// For is the job that needs the place; zero for defragmentation.
	For  model.JobKey
	Code model.ReasonCode
}

// Plan is the output of Decide. The starts fit together with what runs; a job whose
// place must first be cleared appears in Preempt and starts in a later plan.
type Plan struct {
	Starts  []model.Placement
	Preempt []Preemption
	// Reasons holds one entry for each job that was considered.
	Reasons []model.Reason
	// Findings are guarantees that the present hardware cannot hold.
	Findings finding.List
}
