// Package jobs derives the table of jobs from the records of the jobs stream, and
// accepts, cancels and lists jobs. Every daemon holds the whole table, so each of them
// can answer for any job. A newly started host rebuilds the table from the log.
package jobs

import (
	"encoding/json"

	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
)

// Entry is a job together with the data that is needed to apply further records to it. It
// is immutable once stored; a change replaces the entry.
type Entry struct {
	Job model.Job
	// MoveNumber is the number of the last valid JobMoved record.
	MoveNumber int
	// Digest is the digest of the submitted job; it detects an ID that is used again for
	// another job.
	Digest string
	// PlacedRecordID is the ID of the JobPlaced record of the current attempt.
	PlacedRecordID string
	// PlacedBy is the host that wrote this record.
	PlacedBy model.HostID
	// BaseRecordUnixMS is the time, in milliseconds since 1970, of the base record: the
	// acceptance or snapshot from which a newly started host can rebuild the entry. The
	// log's retention must not drop it.
	BaseRecordUnixMS int64
	// FailedAttempts counts the attempts that ended because one of their tasks failed, as
	// opposed to a lost worker or a preemption.
	FailedAttempts int
	// TraceParent is the span context of the submission as a traceparent value, or empty
	// if tracing is off.
	TraceParent string
}

// jobKeyOf returns the key of the job that a record belongs to, and false if the record
// cannot be decoded.
func jobKeyOf(r journal.Record) (model.JobKey, bool) {
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

// transition returns the entry that results from applying record r to e, or false if r is
// not valid after e. It is a pure function, so all readers of the log agree.
func transition(e *Entry, r journal.Record) (*Entry, bool) {
	if r.Kind == journal.KindJobAccepted {
		return afterAccepted(e, r)
	}
	if e == nil {
		return nil, false
	}
	switch r.Kind {
	case journal.KindJobPlaced:
		return afterPlaced(e, r)
	case journal.KindJobRunning:
		return afterRunning(e, r)
	case journal.KindJobWithdrawn:
		return afterWithdrawn(e, r)
	case journal.KindJobFinished:
		return afterFinished(e, r)
	case journal.KindJobCancelled:
		return afterCancelled(e, r)
	case journal.KindJobMoved:
		return afterMoved(e, r)
	default:
		return e, false
	}
}

// mayBecomeValid reports whether r, which is not valid after e, may become valid after
// records that follow it in the log. Copies of records from an outage of the log are
// appended in any order.
func mayBecomeValid(e *Entry, r journal.Record) bool {
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

func afterAccepted(e *Entry, r journal.Record) (*Entry, bool) {
	var b journal.JobAccepted
	if e != nil || json.Unmarshal(r.Body, &b) != nil {
		return e, false
	}
	return &Entry{
		Job: model.Job{
			Spec: b.Spec, State: model.JobWaiting, HomeShard: b.HomeShard, AcceptedUnixMS: b.UnixMS,
		},
		Digest: Digest(b.Spec), BaseRecordUnixMS: r.UnixMS,
		TraceParent: r.TraceParent,
	}, true
}

func afterPlaced(e *Entry, r journal.Record) (*Entry, bool) {
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
	updated := *e
	updated.Job.HomeShard = p.Shard
	updated.Job.State = model.JobStarting
	updated.Job.Attempt = p.Attempt
	updated.Job.Placement = &p
	updated.Job.Reason = ""
	updated.PlacedRecordID = r.ID
	updated.PlacedBy = r.Host
	return &updated, true
}

func afterRunning(e *Entry, r journal.Record) (*Entry, bool) {
	var b journal.JobRunning
	if json.Unmarshal(r.Body, &b) != nil {
		return e, false
	}
	if e.Job.State != model.JobStarting || b.Attempt != e.Job.Attempt {
		return e, false
	}
	updated := *e
	p := *e.Job.Placement
	p.StartedUnixMS = r.UnixMS
	updated.Job.Placement = &p
	updated.Job.State = model.JobRunning
	return &updated, true
}

// isActiveAttempt reports whether attempt is the job's current attempt and has not ended.
func isActiveAttempt(j *model.Job, attempt int) bool {
	active := j.State == model.JobStarting || j.State == model.JobRunning
	return active && j.Attempt == attempt
}

func afterWithdrawn(e *Entry, r journal.Record) (*Entry, bool) {
	var b journal.JobWithdrawn
	if json.Unmarshal(r.Body, &b) != nil || !isActiveAttempt(&e.Job, b.Attempt) {
		return e, false
	}
	updated := *e
	updated.Job.Placement = nil
	updated.Job.Reason = b.Reason
	updated.Job.SavedRunMS = max(e.Job.SavedRunMS, b.SavedRunMS)
	updated.Job.State = model.JobWaiting
	if b.TaskFailed {
		updated.FailedAttempts++
	}
	if b.Final {
		updated.Job.State = model.JobFailed
		updated.Job.EndUnixMS = r.UnixMS
	}
	return &updated, true
}

func afterFinished(e *Entry, r journal.Record) (*Entry, bool) {
	var b journal.JobFinished
	if json.Unmarshal(r.Body, &b) != nil || !isActiveAttempt(&e.Job, b.Attempt) {
		return e, false
	}
	updated := *e
	updated.Job.State = model.JobFinished
	updated.Job.Result = b.Result
	updated.Job.EndUnixMS = r.UnixMS
	return &updated, true
}

func afterCancelled(e *Entry, r journal.Record) (*Entry, bool) {
	var b journal.JobCancelled
	if json.Unmarshal(r.Body, &b) != nil || e.Job.State.Final() {
		return e, false
	}
	updated := *e
	updated.Job.State = model.JobCancelled
	updated.Job.Reason = "cancelled by " + b.CancelledBy
	updated.Job.EndUnixMS = r.UnixMS
	return &updated, true
}

func afterMoved(e *Entry, r journal.Record) (*Entry, bool) {
	var b journal.JobMoved
	if json.Unmarshal(r.Body, &b) != nil {
		return e, false
	}
	if e.Job.State != model.JobWaiting || b.MoveNumber != e.MoveNumber+1 || b.From != e.Job.HomeShard {
		return e, false
	}
	updated := *e
	updated.Job.HomeShard = b.To
	updated.MoveNumber = b.MoveNumber
	return &updated, true
}
