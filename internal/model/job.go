package model

import "time"

// Priority is a priority class; a larger value is more urgent.
type Priority int

// Priority classes of services.
const (
	PriorityBatch  Priority = 0 // may wait overnight
	PriorityNormal Priority = 1
	PriorityHigh   Priority = 2
	PriorityUrgent Priority = 3 // starts within 8.6 s, preempting if needed
)

// JobClass groups jobs whose run times are learned together.
type JobClass struct {
	Organisation Organisation `json:"organisation"`
	Service      Service      `json:"service"`
}

// JobState is the state of a job.
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

// Final reports whether the state never changes again.
func (s JobState) Final() bool {
	return s == JobFinished || s == JobFailed || s == JobCancelled
}

// JobSpec is what the caller asked for.
type JobSpec struct {
	Key     JobKey  `json:"key"`
	Service Service `json:"service"`
	// Tasks is the gang size; each task needs Task.
	Tasks int       `json:"tasks"`
	Task  Resources `json:"task"`
	// Within is the level that must hold the whole gang: worker, rack or zone.
	Within Level `json:"within"`
	// Zone restricts the job to one availability zone when it is not empty.
	Zone     Zone     `json:"zone,omitempty"`
	Priority Priority `json:"priority"`
	// Declared is the declared run time. It is often far off.
	Declared time.Duration `json:"declared,omitempty"`
	// Deadline is the latest useful finish, in milliseconds since 1970, or 0.
	DeadlineUnixMS int64 `json:"deadlineUnixMS,omitempty"`
	// NonRepeatable jobs are not started again once a start was recorded.
	NonRepeatable bool `json:"nonRepeatable,omitempty"`
	// Payload is passed to the tasks as it is.
	Payload []byte `json:"payload,omitempty"`
}

// Accelerators returns the accelerators of the whole gang.
func (s *JobSpec) Accelerators() int { return s.Tasks * s.Task.Accelerators }

// Class returns the job's class for learned run times.
func (s *JobSpec) Class() JobClass {
	return JobClass{Organisation: s.Key.Organisation, Service: s.Service}
}

// Job is a job with its state as folded from the journal.
type Job struct {
	Spec  JobSpec  `json:"spec"`
	State JobState `json:"state"`
	// Home is the shard whose planner places the job.
	Home ShardID `json:"home"`
	// Attempt is the number of the current or last attempt; 0 before the first.
	Attempt int `json:"attempt"`
	// AcceptedUnixMS is when the job was accepted, in milliseconds since 1970.
	AcceptedUnixMS int64 `json:"acceptedUnixMS"`
	// ServedMS is the run time of earlier attempts that a checkpoint kept.
	ServedMS int64 `json:"servedMS,omitempty"`
	// Placement is set while the job starts or runs.
	Placement *Placement `json:"placement,omitempty"`
	Reason    string     `json:"reason,omitempty"`
	Result    []byte     `json:"result,omitempty"`
	EndUnixMS int64      `json:"endUnixMS,omitempty"`
}

// ReasonCode says why a decision was taken.
type ReasonCode string

// Reason codes of planner decisions.
const (
	ReasonPlaced        ReasonCode = "placed"
	ReasonNoShape       ReasonCode = "no_free_shape"
	ReasonQuota         ReasonCode = "quota_reached"
	ReasonReserved      ReasonCode = "held_for_guarantee"
	ReasonBackfillBound ReasonCode = "would_delay_reservation"
	ReasonPreempting    ReasonCode = "preempting"
	ReasonPreempted     ReasonCode = "preempted"
	ReasonZoneOut       ReasonCode = "zone_out"
	ReasonNoEvidence    ReasonCode = "no_start_evidence"
	ReasonDependency    ReasonCode = "dependency_unavailable"
	ReasonDefrag        ReasonCode = "defragmentation"
	ReasonImpossible    ReasonCode = "can_never_run"
	ReasonNoAnswer      ReasonCode = "planner_not_reached"
)

// Reason records why a job was placed, passed over or stopped.
type Reason struct {
	Job    JobKey     `json:"job"`
	Code   ReasonCode `json:"code"`
	Detail string     `json:"detail,omitempty"`
	UnixMS int64      `json:"unixMS"`
}
