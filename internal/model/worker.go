package model

// Resources is an amount of each resource that a worker has or a task needs.
type Resources struct {
	CPUs         int `json:"cpus"`
	MemoryMB     int `json:"memoryMB"`
	Accelerators int `json:"accelerators"`
}

// WorkerHealth is the planner's judgement of a worker.
type WorkerHealth string

// Worker health states.
const (
	WorkerHealthy   WorkerHealth = "healthy"
	WorkerProbation WorkerHealth = "probation"
	WorkerLost      WorkerHealth = "lost"
	WorkerLeaving   WorkerHealth = "leaving"
)

// Worker is one machine that runs tasks.
type Worker struct {
	ID       WorkerID     `json:"id"`
	Zone     Zone         `json:"zone"`
	Rack     string       `json:"rack"`
	Address  string       `json:"address"` // base URL of the worker's API
	Capacity Resources    `json:"capacity"`
	Health   WorkerHealth `json:"health,omitempty"`
}

// TaskID names one task of one attempt of a job.
type TaskID struct {
	Job     JobKey `json:"job"`
	Attempt int    `json:"attempt"`
	Index   int    `json:"index"`
}

// Member is the place of one task: a worker and the accelerators on it. The
// accelerators of a member are adjacent: they lie in the smallest aligned cell
// that holds them.
type Member struct {
	Index        int       `json:"index"`
	Worker       WorkerID  `json:"worker"`
	Accelerators []int     `json:"accelerators,omitempty"` // indices on the worker, ascending
	Resources    Resources `json:"resources"`
	// Shapes are the organisation's guaranteed shapes that hold the accelerators,
	// as positions in its list of guarantees on the shard with each shape counted
	// apart. The planner sets them; without them it derives them again, which can
	// miss a matching.
	Shapes []int `json:"shapes,omitempty"`
}

// Placement is the whole gang of one attempt of a job.
type Placement struct {
	Job     JobKey   `json:"job"`
	Attempt int      `json:"attempt"`
	Shard   ShardID  `json:"shard"`
	Members []Member `json:"members"`
	// Guaranteed reports whether the gang runs within its organisation's
	// guarantee. Work outside a guarantee can be preempted.
	Guaranteed bool `json:"guaranteed"`
	// Priority is the job's priority class when it was placed.
	Priority Priority `json:"priority"`
	// Class holds the job's class for learned run times.
	Class JobClass `json:"class"`
	// StartedUnixMS is when the gang started, in milliseconds since 1970.
	StartedUnixMS int64 `json:"startedUnixMS,omitempty"`
	// CheckpointUnixMS is the time of the last checkpoint, 0 if there is none.
	CheckpointUnixMS int64 `json:"checkpointUnixMS,omitempty"`
}
