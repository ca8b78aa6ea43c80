// Package journal keeps daisyfold's streams on the platform's log service: batched
// appends within the host's share of the append rate, recognition of appends whose
// answer was lost, replay for a host that starts empty, and the state of the log.
package journal

import (
	"context"
	"encoding/json"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
)

// Stream names a stream on the log service.
type Stream string

// The streams.
const (
	StreamConfig Stream = "config"
	StreamJobs   Stream = "jobs"
	StreamCalls  Stream = "calls"
)

// Kind is the kind of a record.
type Kind string

// Record kinds.
const (
	KindConfigEdit     Kind = "ConfigEdit"
	KindConfigSnapshot Kind = "ConfigSnapshot"
	KindJobAccepted    Kind = "JobAccepted"
	KindJobPlaced      Kind = "JobPlaced"
	KindJobRunning     Kind = "JobRunning"
	KindJobWithdrawn   Kind = "JobWithdrawn"
	KindJobFinished    Kind = "JobFinished"
	KindJobCancelled   Kind = "JobCancelled"
	KindJobMoved       Kind = "JobMoved"
	KindJobSnapshot    Kind = "JobSnapshot"
	KindCallIntent     Kind = "CallIntent"
	KindCallOutcome    Kind = "CallOutcome"
	KindCallCancelled  Kind = "CallCancelled"
)

// Record is the envelope of every record. Readers ignore a record whose ID they
// have seen in the same stream.
type Record struct {
	ID     string          `json:"id"`
	Kind   Kind            `json:"kind"`
	Host   model.HostID    `json:"host"`
	UnixMS int64           `json:"unixMS"`
	Body   json.RawMessage `json:"body"`
	// Trace is the span context of the record's writer as a traceparent value, so that
	// a trace goes on at the host that acts on the record. Empty when tracing is off.
	Trace string `json:"trace,omitempty"`
}

// ConfigEdit replaces the text. It is accepted if BaseVersion is the version in
// force at its place in the log; the new version is BaseVersion+1. Zone changes
// are edits too: the daemon rewrites the text and publishes it.
//
// ID is the operator's id of the edit. A zone change that races with another edit is
// written again with a new base and the same ID; a reader accepts an ID once.
type ConfigEdit struct {
	ID          string `json:"id"`
	BaseVersion int64  `json:"baseVersion"`
	Text        []byte `json:"text"`
}

// ConfigSnapshot repeats the text in force after the record at ThroughOffset, so
// that it outlives the log's retention. It accepts or changes nothing.
type ConfigSnapshot struct {
	Version       int64  `json:"version"`
	Text          []byte `json:"text"`
	ThroughOffset int64  `json:"throughOffset"`
	// Edits are the last accepted edits, oldest first. A reader that starts here
	// must refuse the same repeated IDs as the others.
	Edits []AcceptedEdit `json:"edits,omitempty"`
}

// AcceptedEdit says which edit made a version. Digest is a cut SHA-256 sum of the
// text, in hexadecimal.
type AcceptedEdit struct {
	ID      string `json:"id"`
	Version int64  `json:"version"`
	Digest  string `json:"digest"`
}

// JobAccepted is the acceptance of a job.
type JobAccepted struct {
	Spec   model.JobSpec `json:"spec"`
	Home   model.ShardID `json:"home"`
	UnixMS int64         `json:"unixMS"`
}

// JobPlaced is the decision to start an attempt. The first valid record of an
// attempt wins: the job is waiting, Placement.Attempt is the next attempt and
// Placement.Shard is the job's home.
type JobPlaced struct {
	Placement model.Placement `json:"placement"`
	// Outage is set when the decision was taken while the log was down for
	// everyone in contact. It counts although the job was moved since, because its
	// tasks may have run, and it may stand in the log after its successors.
	Outage bool `json:"outage,omitempty"`
}

// JobRunning says that every member of an attempt started.
type JobRunning struct {
	Job     model.JobKey `json:"job"`
	Attempt int          `json:"attempt"`
}

// JobWithdrawn ends an attempt that did not finish; the job waits again, or is
// final if Final is set (a non-repeatable job that may have run, or a job that
// failed too often).
type JobWithdrawn struct {
	Job      model.JobKey `json:"job"`
	Attempt  int          `json:"attempt"`
	Reason   string       `json:"reason"`
	ServedMS int64        `json:"servedMS,omitempty"`
	Final    bool         `json:"final,omitempty"`
	// TaskFailed is set when a task of the job failed by itself, as opposed to a
	// lost worker or a preemption.
	TaskFailed bool `json:"taskFailed,omitempty"`
}

// JobFinished is the end of a job whose every task finished.
type JobFinished struct {
	Job     model.JobKey `json:"job"`
	Attempt int          `json:"attempt"`
	Result  []byte       `json:"result,omitempty"`
	RunMS   int64        `json:"runMS"`
}

// JobCancelled ends a job that is not final. A running attempt is stopped.
type JobCancelled struct {
	Job model.JobKey `json:"job"`
	By  string       `json:"by"`
}

// JobMoved changes the home of a waiting job. It is valid if Move is one more than
// the job's last move number.
type JobMoved struct {
	Job  model.JobKey  `json:"job"`
	From model.ShardID `json:"from"`
	To   model.ShardID `json:"to"`
	Move int           `json:"move"`
}

// JobSnapshot repeats a live job before retention ends.
type JobSnapshot struct {
	Job           model.Job    `json:"job"`
	Move          int          `json:"move"`
	Failures      int          `json:"failures,omitempty"`
	PlacedRecord  string       `json:"placedRecord,omitempty"`
	PlacedBy      model.HostID `json:"placedBy,omitempty"`
	ThroughOffset int64        `json:"throughOffset"`
}

// CallIntent is written before a non-repeatable request is sent to a target. The
// first intent of a request wins.
type CallIntent struct {
	Organisation model.Organisation `json:"organisation"`
	Request      string             `json:"request"`
	Service      model.Service      `json:"service"`
	BodyDigest   string             `json:"bodyDigest"` // SHA-256, hexadecimal
	// UniqueID tells two intents of one host apart.
	UniqueID string `json:"uniqueID"`
}

// CallOutcome is the answer of a request whose intent won.
type CallOutcome struct {
	Organisation model.Organisation `json:"organisation"`
	Request      string             `json:"request"`
	Outcome      model.Outcome      `json:"outcome"`
	Status       int                `json:"status"`
	Body         []byte             `json:"body,omitempty"`
	// BodyOmitted is set when the answer was too large to keep.
	BodyOmitted bool `json:"bodyOmitted,omitempty"`
}

// CallCancelled says that the host will never send the request of its intent.
type CallCancelled struct {
	Organisation model.Organisation `json:"organisation"`
	Request      string             `json:"request"`
	UniqueID     string             `json:"uniqueID"`
}

// State is the host's view of the log service.
type State struct {
	// Reachable is false while reads fail or are answered more than a second late:
	// start evidence from such a log is always too old.
	Reachable bool
	// Answering is true while reads are answered, however late, so that appends
	// make progress. Whoever asks whether the log is down for jobs and calls asks
	// this; Reachable is for start evidence and zone changes.
	Answering bool
	// LastHead is when a read of the config stream last reached its head, measured
	// at the moment the request was sent. Zero if never.
	LastHead time.Time
}

// Applier receives the records of one stream in log order, each ID once. It must
// not block for long and must not call Append.
type Applier interface {
	Apply(offset int64, r Record)
}

// Journal appends records and feeds appliers.
type Journal interface {
	// Append returns the record's offset after the record was read back and applied
	// locally, so the caller can ask the tables whether it won. ErrNotRecorded
	// (wrapped) means that the record is not in the log and never will be; after
	// any other error it may appear later.
	Append(ctx context.Context, s Stream, r Record) (int64, error)
	// State returns the current view of the log service.
	State() State
	// Replayed reports whether the stream was read up to the head that it had when
	// the journal started.
	Replayed(s Stream) bool
}

// NewRecord builds a record with the given ID. The body must marshal to JSON.
func NewRecord(kind Kind, host model.HostID, id string, now time.Time, body any) (Record, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Record{}, err
	}
	return Record{ID: id, Kind: kind, Host: host, UnixMS: now.UnixMilli(), Body: data}, nil
}
