// Package journal reads and appends daisyfold's streams on the platform's log service. It
// batches appends within the host's share of the append rate, detects appends that took
// effect although their response was lost, replays the streams when a host starts, and
// monitors the state of the log service.
package journal

import (
	"context"
	"encoding/json"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
)

// Stream is the name of a stream on the log service.
type Stream string

// Streams.
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

// Record is the envelope of all records. Readers ignore a record if they have read one
// with the same ID in the same stream before.
type Record struct {
	ID     string          `json:"id"`
	Kind   Kind            `json:"kind"`
	Host   model.HostID    `json:"host"`
	UnixMS int64           `json:"unixMS"` // creation time, in milliseconds since 1970
	Body   json.RawMessage `json:"body"`
	// TraceParent is the span context of the record's writer as a traceparent value, so
	// that the trace continues on the host that acts on the record. It is empty if tracing
	// is off.
	TraceParent string `json:"trace,omitempty"`
}

// ConfigEdit replaces the text of the configuration. It is accepted if BaseVersion is the
// version in force at its place in the log; the new version is BaseVersion+1. A zone change
// is an edit too: the daemon rewrites the text and publishes it.
//
// ID is the operator's ID of the edit. A zone change that conflicts with another edit is
// appended again with a new base version and the same ID; readers accept each ID once.
type ConfigEdit struct {
	ID          string `json:"id"`
	BaseVersion int64  `json:"baseVersion"`
	Text        []byte `json:"text"`
}

// ConfigSnapshot repeats the text in force after the record at ThroughOffset, so that it
// outlives the log's retention. It does not change the configuration.
type ConfigSnapshot struct {
	Version       int64  `json:"version"`
	Text          []byte `json:"text"`
	ThroughOffset int64  `json:"throughOffset"`
	// Edits are the last accepted edits, oldest first. With them, a reader that starts at
	// the snapshot rejects the same repeated IDs as other readers do.
	Edits []AcceptedEdit `json:"edits,omitempty"`
}

// AcceptedEdit identifies the edit that created a version. Digest is a truncated SHA-256
// sum of the text in hexadecimal.
type AcceptedEdit struct {
	ID      string `json:"id"`
	Version int64  `json:"version"`
	Digest  string `json:"digest"`
}

// JobAccepted is the acceptance of a job.
type JobAccepted struct {
	Spec      model.JobSpec `json:"spec"`
	HomeShard model.ShardID `json:"home"`
	// UnixMS is the time of the acceptance, in milliseconds since 1970.
	UnixMS int64 `json:"unixMS"`
}

// JobPlaced is the decision to start an attempt. It is valid if the job is waiting,
// Placement.Attempt is the next attempt and Placement.Shard is the job's home shard. The
// first valid record of an attempt takes effect.
type JobPlaced struct {
	Placement model.Placement `json:"placement"`
	// Outage is set if the decision was made while the log was unavailable to this host
	// and to all peers that it could reach. Such a record is valid even if the job has
	// moved since, because its tasks may have run, and it may follow its successors in the
	// log.
	Outage bool `json:"outage,omitempty"`
}

// JobRunning records that all members of an attempt have started.
type JobRunning struct {
	Job     model.JobKey `json:"job"`
	Attempt int          `json:"attempt"`
}

// JobWithdrawn ends an attempt that did not finish. The job waits again, or fails if Final
// is set, as for a non-repeatable job that may have run or a job that failed too often.
type JobWithdrawn struct {
	Job     model.JobKey `json:"job"`
	Attempt int          `json:"attempt"`
	Reason  string       `json:"reason"`
	// SavedRunMS is the run time, in milliseconds, that a checkpoint saved; 0 without one.
	SavedRunMS int64 `json:"servedMS,omitempty"`
	Final      bool  `json:"final,omitempty"`
	// TaskFailed is set if a task of the job failed, as opposed to a lost worker or a
	// preemption.
	TaskFailed bool `json:"taskFailed,omitempty"`
}

// JobFinished ends a job of which all tasks have finished.
type JobFinished struct {
	Job     model.JobKey `json:"job"`
	Attempt int          `json:"attempt"`
	Result  []byte       `json:"result,omitempty"`
	// RunMS is the run time of the attempt that finished, in milliseconds.
	RunMS int64 `json:"runMS"`
}

// JobCancelled ends a job that is not final. A running attempt is stopped.
type JobCancelled struct {
	Job         model.JobKey `json:"job"`
	CancelledBy string       `json:"by"`
}

// JobMoved changes the home shard of a waiting job. It is valid if MoveNumber is one more
// than that of the job's last move and From is the job's home shard.
type JobMoved struct {
	Job        model.JobKey  `json:"job"`
	From       model.ShardID `json:"from"`
	To         model.ShardID `json:"to"`
	MoveNumber int           `json:"move"`
}

// JobSnapshot repeats the state of a job after the record at ThroughOffset, so that it
// outlives the log's retention.
type JobSnapshot struct {
	Job            model.Job    `json:"job"`
	MoveNumber     int          `json:"move"`
	FailedAttempts int          `json:"failures,omitempty"`
	PlacedRecordID string       `json:"placedRecord,omitempty"`
	PlacedBy       model.HostID `json:"placedBy,omitempty"`
	ThroughOffset  int64        `json:"throughOffset"`
}

// CallIntent is appended before a non-repeatable request is sent to a target. The first
// intent of a request takes effect.
type CallIntent struct {
	Organisation model.Organisation `json:"organisation"`
	Request      string             `json:"request"`
	Service      model.Service      `json:"service"`
	BodyDigest   string             `json:"bodyDigest"` // SHA-256, hexadecimal
	// UniqueID distinguishes intents of one host for the same request.
	UniqueID string `json:"uniqueID"`
}

// CallOutcome is the outcome of a request whose intent took effect.
type CallOutcome struct {
	Organisation model.Organisation `json:"organisation"`
	Request      string             `json:"request"`
	Outcome      model.Outcome      `json:"outcome"`
	Status       int                `json:"status"`
	Body         []byte             `json:"body,omitempty"`
	// BodyOmitted is set if the request ran, but its response was lost or too large to store.
	BodyOmitted bool `json:"bodyOmitted,omitempty"`
}

// CallCancelled records that the host will never send the request of its intent.
type CallCancelled struct {
	Organisation model.Organisation `json:"organisation"`
	Request      string             `json:"request"`
	UniqueID     string             `json:"uniqueID"`
}

// State is the host's view of the log service.
type State struct {
	// Reachable is false while reads fail or are answered more than a second late, because
	// start evidence from such a log is always too old.
	Reachable bool
	// Answering is true while reads are answered, however late, so that appends make
	// progress. Jobs and calls use it to decide whether the log is down; start evidence
	// and zone changes use Reachable.
	Answering bool
	// LastHeadRead is the time at which the last read of the config stream that reached
	// the head was sent. It is zero if there was none.
	LastHeadRead time.Time
}

// Applier processes the records of one stream. Apply is called in log order and once for
// each record ID. It must not block for long and must not call Append.
type Applier interface {
	Apply(offset int64, r Record)
}

// Journal appends records and passes the records of its streams to appliers.
type Journal interface {
	// Append appends a record and returns its offset after the record was read back and
	// applied locally, so that the caller can look up in the tables whether it took
	// effect. A wrapped ErrNotRecorded means that the record is not in the log and never
	// will be; after any other error it may appear later.
	Append(ctx context.Context, s Stream, r Record) (int64, error)
	// State returns the current state of the log service.
	State() State
	// Replayed reports whether the stream was read up to the head that it had when the
	// journal started, or when records were last skipped.
	Replayed(s Stream) bool
}

// NewRecord returns a record with the given ID and the JSON encoding of body.
func NewRecord(kind Kind, host model.HostID, id string, now time.Time, body any) (Record, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Record{}, err
	}
	return Record{ID: id, Kind: kind, Host: host, UnixMS: now.UnixMilli(), Body: data}, nil
}
