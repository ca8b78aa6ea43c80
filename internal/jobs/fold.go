// Package jobs folds the jobs stream into the table of jobs and accepts, cancels
// and lists jobs. Every daemon holds the whole table, so any of them can answer
// for any job, and a fresh host rebuilds it from the log.
package jobs

import (
	"encoding/json"

	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
)

// Entry is a job with what the fold needs to know about it. An entry is never
// changed once stored; a change replaces it.
type Entry struct {
	Job model.Job
	// Move is the number of the last valid JobMoved record.
	Move int
	// Digest identifies the submitted job, to detect a reused id.
	Digest string
	// PlacedRecord is the id of the JobPlaced record of the current attempt.
	PlacedRecord string
	// PlacedBy is the host that appended it.
	PlacedBy model.HostID
	// BaseUnixMS is the time of the record, an acceptance or a snapshot, from which
	// a fresh host can rebuild the entry. Retention must not drop it.
	BaseUnixMS int64
	// Failures counts attempts that ended because a task failed by itself.
	Failures int
	// Trace is the span context of the submission, empty when tracing is off.
	Trace string
}

// keyOf returns the job that a record concerns.
func keyOf(r journal.Record) (model.JobKey, bool) {
	switch r.Kind {
	case journal.KindJobAccepted:
		var b journal.JobAccepted
		err := json.Unmarshal(r.Body, &b)
		return b.Spec.Key, err == nil
	case journal.KindJobPlaced:
		var b struct {
			Placement struct {
				Job model.JobKey `json:"job"`
			} `json:"placement"`
		}
		err := json.Unmarshal(r.Body, &b)
		return b.Placement.Job, err == nil
	case journal.KindJobSnapshot:
		var b struct {
			Job struct {
				Spec struct {
					Key model.JobKey `json:"key"`
				} `json:"spec"`
			} `json:"job"`
		}
		err := json.Unmarshal(r.Body, &b)
		return b.Job.Spec.Key, err == nil
	default:
		var b struct {
			Job model.JobKey `json:"job"`
		}
		err := json.Unmarshal(r.Body, &b)
		return b.Job, err == nil && b.Job.ID != ""
	}
}

// next returns the entry after record r, and false when r is not valid after e.
// It is a pure function of the two, so every reader of the log agrees.
func next(e *Entry, r journal.Record) (*Entry, bool) {
	if r.Kind == journal.KindJobAccepted {
		return nextAccepted(e, r)
	}
	if e == nil {
		return nil, false
	}
	switch r.Kind {
	case journal.KindJobPlaced:
		return nextPlaced(e, r)
	case journal.KindJobRunning:
		return nextRunning(e, r)
	case journal.KindJobWithdrawn:
		return nextWithdrawn(e, r)
	case journal.KindJobFinished:
		return nextFinished(e, r)
	case journal.KindJobCancelled:
		return nextCancelled(e, r)
	case journal.KindJobMoved:
		return nextMoved(e, r)
	default:
		return e, false
	}
}

// early reports whether r, which is not valid after e, may become valid once records
// that stand later in the log were read. Copies of records from an outage reach the
// log in any order.
func early(e *Entry, r journal.Record) bool {
	if e.Job.State.Final() {
		return false
	}
	switch r.Kind {
	case journal.KindJobPlaced:
		var b journal.JobPlaced
		err := json.Unmarshal(r.Body, &b)
		return err == nil && b.Outage && b.Placement.Attempt > e.Job.Attempt
	case journal.KindJobRunning, journal.KindJobWithdrawn, journal.KindJobFinished:
		var b struct {
			Attempt int `json:"attempt"`
		}
		err := json.Unmarshal(r.Body, &b)
		return err == nil && b.Attempt > e.Job.Attempt
	default:
		return false
	}
}

func nextAccepted(e *Entry, r journal.Record) (*Entry, bool) {
	var b journal.JobAccepted
	if e != nil || json.Unmarshal(r.Body, &b) != nil {
		return e, false
	}
	return &Entry{
		Job: model.Job{
			Spec: b.Spec, State: model.JobWaiting, HomeShard: b.Home, AcceptedUnixMS: b.UnixMS,
		},
		Digest: Digest(b.Spec), BaseUnixMS: r.UnixMS,
		Trace: r.Trace,
	}, true
}

func nextPlaced(e *Entry, r journal.Record) (*Entry, bool) {
	var b journal.JobPlaced
	if json.Unmarshal(r.Body, &b) != nil {
		return e, false
	}
	p := b.Placement
	valid := e.Job.State == model.JobWaiting && p.Attempt == e.Job.Attempt+1 &&
		(p.Shard == e.Job.HomeShard || b.Outage) && len(p.Members) == e.Job.Spec.Tasks
	if !valid {
		return e, false
	}
	n := *e
	n.Job.HomeShard = p.Shard
	n.Job.State = model.JobStarting
	n.Job.Attempt = p.Attempt
	n.Job.Placement = &p
	n.Job.Reason = ""
	n.PlacedRecord = r.ID
	n.PlacedBy = r.Host
	return &n, true
}

func nextRunning(e *Entry, r journal.Record) (*Entry, bool) {
	var b journal.JobRunning
	if json.Unmarshal(r.Body, &b) != nil {
		return e, false
	}
	if e.Job.State != model.JobStarting || b.Attempt != e.Job.Attempt {
		return e, false
	}
	n := *e
	p := *e.Job.Placement
	p.StartedUnixMS = r.UnixMS
	n.Job.Placement = &p
	n.Job.State = model.JobRunning
	return &n, true
}

// active reports whether attempt is the job's current one and not ended.
func active(j *model.Job, attempt int) bool {
	started := j.State == model.JobStarting || j.State == model.JobRunning
	return started && j.Attempt == attempt
}

func nextWithdrawn(e *Entry, r journal.Record) (*Entry, bool) {
	var b journal.JobWithdrawn
	if json.Unmarshal(r.Body, &b) != nil || !active(&e.Job, b.Attempt) {
		return e, false
	}
	n := *e
	n.Job.Placement = nil
	n.Job.Reason = b.Reason
	n.Job.SavedRunMS = max(e.Job.SavedRunMS, b.ServedMS)
	n.Job.State = model.JobWaiting
	if b.TaskFailed {
		n.Failures++
	}
	if b.Final {
		n.Job.State = model.JobFailed
		n.Job.EndUnixMS = r.UnixMS
	}
	return &n, true
}

func nextFinished(e *Entry, r journal.Record) (*Entry, bool) {
	var b journal.JobFinished
	if json.Unmarshal(r.Body, &b) != nil || !active(&e.Job, b.Attempt) {
		return e, false
	}
	n := *e
	n.Job.State = model.JobFinished
	n.Job.Result = b.Result
	n.Job.EndUnixMS = r.UnixMS
	return &n, true
}

func nextCancelled(e *Entry, r journal.Record) (*Entry, bool) {
	var b journal.JobCancelled
	if json.Unmarshal(r.Body, &b) != nil || e.Job.State.Final() {
		return e, false
	}
	n := *e
	n.Job.State = model.JobCancelled
	n.Job.Reason = "cancelled by " + b.By
	n.Job.EndUnixMS = r.UnixMS
	return &n, true
}

func nextMoved(e *Entry, r journal.Record) (*Entry, bool) {
	var b journal.JobMoved
	if json.Unmarshal(r.Body, &b) != nil {
		return e, false
	}
	if e.Job.State != model.JobWaiting || b.Move != e.Move+1 || b.From != e.Job.HomeShard {
		return e, false
	}
	n := *e
	n.Job.HomeShard = b.To
	n.Move = b.Move
	return &n, true
}
