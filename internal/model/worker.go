package model

// Resources is an amount of each resource that a worker has or a task needs.
type Resources struct {
	CPUs         int `json:"cpus"`
	MemoryMB     int `json:"memoryMB"`
	Accelerators int `json:"accelerators"`
}

// WorkerHealth is the planner's assessment of a worker.
type WorkerHealth string

// Worker health states.
const (
	WorkerHealthy   WorkerHealth = "healthy"
	WorkerProbation WorkerHealth = "probation"
	WorkerLost      WorkerHealth = "lost"
	WorkerLeaving   WorkerHealth = "leaving"
)

// Worker is a machine that runs tasks.
type Worker struct {
	ID       WorkerID     `json:"id"`
	Zone     Zone         `json:"zone"`
	Rack     string       `json:"rack"`
	Address  string       `json:"address"` // base URL of the worker's API
	Capacity Resources    `json:"capacity"`
	Health   WorkerHealth `json:"health,omitempty"`
}

// TaskID identifies one task of one attempt of a job.
type TaskID struct {
	Job     JobKey `json:"job"`
	Attempt int    `json:"attempt"`
	Index   int    `json:"index"`
}

// GangMember assigns one task of a gang to a worker and to accelerators of this worker.
// The accelerators are adjacent: they lie in the smallest aligned cell that can hold
// them.
type GangMember struct {
	TaskIndex    int       `json:"index"`
	Worker       WorkerID  `json:"worker"`
	Accelerators []int     `json:"accelerators,omitempty"` // indices on the worker, ascending
	Resources    Resources `json:"resources"`
	// GuaranteedShapes are the organisation's guaranteed shapes that hold the
	// accelerators, as indexes into the list of the organisation's guarantees on the
	// shard, in which each shape of a guarantee is one element. The planner sets them;
	// if they are missing, it derives them again, which can fail to find a matching.
	GuaranteedShapes []int `json:"shapes,omitempty"`
}

// Placement assigns the whole gang of one attempt of a job to workers.
type Placement struct {
	Job     JobKey       `json:"job"`
	Attempt int          `json:"attempt"`
	Shard   ShardID      `json:"shard"`
	Members []GangMember `json:"members"`
	// Guaranteed reports whether the gang runs within its organisation's guarantee. A
	// gang outside of a guarantee can be preempted.
	Guaranteed bool `json:"guaranteed"`
	// Priority is the priority class that the job had when it was placed.
	Priority Priority `json:"priority"`
	// Class is the class that the job's run time is learned for.
	Class JobClass `json:"class"`
	// StartedUnixMS is the time at which the gang started, in milliseconds since 1970,
	// or 0 if it has not started.
	StartedUnixMS int64 `json:"startedUnixMS,omitempty"`
	// CheckpointUnixMS is the time of the last checkpoint, in milliseconds since 1970,
	// or 0 if there is none.
	CheckpointUnixMS int64 `json:"checkpointUnixMS,omitempty"`
}
