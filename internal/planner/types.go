// Package planner decides which jobs of one shard to start and which to preempt. Decide is
// a pure function from a snapshot of the shard and the time to a plan with reasons. No
// other part of daisyfold chooses placements or victims.
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
	// QuotaAccelerators limits its use in the whole deployment; 0 means no limit.
	QuotaAccelerators int
	// UsedInOtherShards is its use in other shards, in accelerators.
	UsedInOtherShards int
	// Weight is its weight in the fair sharing of spare capacity, at least 1.
	Weight int
}

// Snapshot is the input of Decide. Decide does not change it.
type Snapshot struct {
	Now   time.Time
	Shard model.ShardID
	// ZoneInService is false while the zone is out of service, so that nothing starts.
	ZoneInService bool
	// Workers are the shard's workers, including lost and leaving ones.
	Workers []model.Worker
	// Limits are the capacity limits of Workers. They depend only on the workers'
	// capacities, and computing them takes a seventh of the planning time, so callers
	// cache them between plans. If nil, Decide computes them.
	Limits *CapacityLimits
	// Running are all attempts that hold resources, including starting ones.
	Running []model.Placement
	// Stopping are the running jobs that are already being preempted.
	Stopping map[model.JobKey]bool
	// NonPreemptible are the running jobs that must not be preempted, because they
	// are non-repeatable. They are placed on accelerators that no guarantee needs.
	NonPreemptible map[model.JobKey]bool
	// SavedRunTime holds the run time of earlier attempts of running jobs that a
	// checkpoint saved. A missing entry means 0.
	SavedRunTime map[model.JobKey]time.Duration
	// Waiting are the waiting jobs that the shard plans, in order of acceptance.
	Waiting []*model.Job
	// Guarantees are the guarantees assigned to the shard.
	Guarantees    []model.Guarantee
	Organisations []Organisation
	// UnavailableDependency maps a service to the unavailable service that it depends
	// on. Jobs of the service do not start.
	UnavailableDependency map[model.Service]model.Service
	// History holds the run times of finished jobs; it may be nil.
	History *queue.History
}

// Preemption is the decision to stop a running attempt, with a checkpoint if Checkpoint is
// set.
type Preemption struct {
	Job        model.JobKey
	Attempt    int
	Checkpoint bool
	// ForJob is the job that needs the resources; zero for defragmentation.
	ForJob model.JobKey
	Code   model.ReasonCode
}

// Plan is the output of Decide. The starts fit into the resources that are free now. A job
// that needs preemptions starts in a later plan.
type Plan struct {
	Starts      []model.Placement
	Preemptions []Preemption
	// Reasons holds one entry for each job that was considered.
	Reasons []model.Reason
	// Findings are the guarantees that do not fit on the usable workers.
	Findings finding.List
}
