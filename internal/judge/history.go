// Package judge compares the platform stand-in's ledger with what callers were
// told and counts broken promises. It is written independently of the product and
// imports nothing of it beyond the shared value types.
package judge

import (
	"github.com/daisyfold/daisyfold/internal/model"
)

// Fate is what must become of a submitted job.
type Fate string

// Fates of jobs.
const (
	FateComplete Fate = "complete" // must run to its end
	FateCancel   Fate = "cancel"   // its caller cancels it; it may complete first
	FateRefuse   Fate = "refuse"   // can never run
	FateFail     Fate = "fail"     // its tasks fail
)

// Reply is what a caller was told last about a submission or a request.
type Reply string

// Replies. The empty reply means that the caller never got one.
const (
	ReplyNone     Reply = ""
	ReplyAccepted Reply = "accepted" // jobs
	ReplyAnswered Reply = "answered" // requests, with the answer's body
	ReplyRan      Reply = "ran"      // requests, without the body
	ReplyNotRun   Reply = "not_run"
	ReplyUnknown  Reply = "unknown"
)

// Job is a caller's record of one job.
type Job struct {
	Key           model.JobKey
	Tasks         int
	NonRepeatable bool
	Expected      Fate
	Reply         Reply
	// CancelAccepted is set when the caller was told that the job is cancelled.
	CancelAccepted bool
	// CancelMS is when the caller was told so, in milliseconds since 1970.
	CancelMS int64
	// State is the last state that the product reported, or empty.
	State model.JobState
}

// Request is a caller's record of one request.
type Request struct {
	Organisation  model.Organisation
	ID            string
	NonRepeatable bool
	BodyDigest    string
	Reply         Reply
	// Body is the body of the answer.
	Body []byte
}

// ZoneChange is an operator's record of a zone that was taken out or in.
type ZoneChange struct {
	Zone      model.Zone
	InService bool
	SentMS    int64 // when the operator asked
	AckMS     int64 // when the product acknowledged it, 0 if it did not
}

// History is everything that callers and operators saw.
type History struct {
	Jobs     []Job
	Requests []Request
	Zones    []ZoneChange
}
