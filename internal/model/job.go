package model

import "time"

// Priority is a priority class; a larger value is more urgent.
type Priority int

// Priority classes of services.
const (
	PriorityBatch  Priority = 0 // may wait overnight
	PriorityNormal Priority = 1
	PriorityHigh   Priority = 2
	PriorityUrgent Priority = 3 // starts within 8.6 s, by preemption if necessary
)

// JobClass identifies the jobs that share a learned run-time estimate.
type JobClass struct {
	Organisation Organisation `json:"organisation"`
	Service      Service      `json:"service"`
}

// JobState is the state of a job in its life cycle.
type JobState string

// Job states. Finished, failed and cancelled are final.
const (
	JobWaiting   JobState = "waiting"
	JobStarting  JobState = "starting"
	JobRunning   JobState = "running"
	JobFinished  JobState = "finished"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Final reports whether s is a terminal state.
func (s JobState) Final() bool {
	return s == JobFinished || s == JobFailed || s == JobCancelled
}

// JobSpec is the specification of a job as submitted.
type JobSpec struct {
	Key     JobKey  `json:"key"`
	Service Service `json:"service"`
	// Tasks is the number of tasks in the gang; Task is what each of them needs.
	Tasks int       `json:"tasks"`
	Task  Resources `json:"task"`
	// Within is the level of the hierarchy (worker, rack or zone) of which a single
	// cell must hold the whole gang.
	Within Level `json:"within"`
	// Zone restricts the job to one availability zone if it is not empty.
	Zone     Zone     `json:"zone,omitempty"`
	Priority Priority `json:"priority"`
	// DeclaredRunTime is the caller's estimate of the run time. It is often far off.
	DeclaredRunTime time.Duration `json:"declared,omitempty"`
	// DeadlineUnixMS is the time after which a result is of no use, in milliseconds
	// since 1970, or 0 if there is none.
	DeadlineUnixMS int64 `json:"deadlineUnixMS,omitempty"`
	// NonRepeatable means that the job is not started again once a start has been
	// recorded.
	NonRepeatable bool `json:"nonRepeatable,omitempty"`
	// Payload is passed to the tasks unchanged.
	Payload []byte `json:"payload,omitempty"`
}

// Accelerators returns the number of accelerators that the whole gang needs.
func (s *JobSpec) Accelerators() int { return s.Tasks * s.Task.Accelerators }

// Class returns the class that the job's run time is learned for.
func (s *JobSpec) Class() JobClass {
	return JobClass{Organisation: s.Key.Organisation, Service: s.Service}
}

// Job is a job with its current state, which is derived from the journal's records.
type Job struct {
	Spec  JobSpec  `json:"spec"`
	State JobState `json:"state"`
	// HomeShard is the shard whose planner places the job.
	HomeShard ShardID `json:"home"`
	// Attempt is the number of the current or last attempt; 0 before the first.
	Attempt int `json:"attempt"`
	// AcceptedUnixMS is the time of the job's acceptance, in milliseconds since 1970.
	AcceptedUnixMS int64 `json:"acceptedUnixMS"`
	// SavedRunMS is the run time of earlier attempts that was saved by a checkpoint, in
	// milliseconds.
	SavedRunMS int64 `json:"servedMS,omitempty"`
	// Placement is set while the job is starting or running.
	Placement *Placement `json:"placement,omitempty"`
	// Reason says why the last attempt ended without finishing, or who cancelled the job.
	Reason string `json:"reason,omitempty"`
	Result []byte `json:"result,omitempty"`
	// EndUnixMS is when the job reached a terminal state, in milliseconds since 1970.
	EndUnixMS int64 `json:"endUnixMS,omitempty"`
}

// ReasonCode is the reason for a scheduling decision.
type ReasonCode string

// Reason codes.
const (
	ReasonPlaced                ReasonCode = "placed"
	ReasonNoFreeShape           ReasonCode = "no_free_shape"
	ReasonQuotaReached          ReasonCode = "quota_reached"
	ReasonHeldForGuarantee      ReasonCode = "held_for_guarantee"
	ReasonWouldDelayReservation ReasonCode = "would_delay_reservation"
	ReasonPreempting            ReasonCode = "preempting"
	ReasonPreempted             ReasonCode = "preempted"
	ReasonZoneOutOfService      ReasonCode = "zone_out"
	ReasonNoStartEvidence       ReasonCode = "no_start_evidence"
	ReasonDependencyUnavailable ReasonCode = "dependency_unavailable"
	ReasonDefragmentation       ReasonCode = "defragmentation"
	ReasonCanNeverRun           ReasonCode = "can_never_run"
	ReasonPlannerNotReached     ReasonCode = "planner_not_reached"
)

// Reason records why a job was placed, not placed or stopped.
type Reason struct {
	Job    JobKey     `json:"job"`
	Code   ReasonCode `json:"code"`
	Detail string     `json:"detail,omitempty"`
	UnixMS int64      `json:"unixMS"`
}
