// Package judge compares the ledger of the platform emulator with what callers were
// told, and reports every violated invariant. It is independent of the code under test
// and imports only the shared value types of packages model and ledger.
package judge

import (
	"github.com/daisyfold/daisyfold/internal/model"
)

// Expectation is the expected outcome of a submitted job.
type Expectation string

// Expected outcomes of jobs.
const (
	ExpectComplete Expectation = "complete" // must finish
	ExpectCancel   Expectation = "cancel"   // is cancelled by its caller, but may finish first
	ExpectReject   Expectation = "refuse"   // cannot fit, so that it must be rejected
	ExpectFail     Expectation = "fail"     // has tasks that fail
)

// Reply is the last reply that a caller got to a submission or a request. Except
// for accepted and answered, the values are outcomes of the API's errors.
type Reply string

// Replies to submissions and requests.
const (
	ReplyNone     Reply = ""         // no reply
	ReplyAccepted Reply = "accepted" // job is recorded
	ReplyAnswered Reply = "answered" // request ran, and the body of the response arrived
	ReplyRan      Reply = "ran"      // request ran, but the body of the response is not kept
	ReplyNotRun   Reply = "not_run"
	ReplyUnknown  Reply = "unknown"
)

// Job is a caller's record of one job. The JSON names of its fields are those of the
// history file that the demo writes.
type Job struct {
	Key           model.JobKey
	Tasks         int
	NonRepeatable bool
	Expected      Expectation
	Reply         Reply
	// CancelAccepted reports whether the caller was told that the job is cancelled.
	CancelAccepted bool
	// CancelledUnixMS is the time at which the caller was told so, in milliseconds
	// since the Unix epoch, or 0.
	CancelledUnixMS int64 `json:"CancelMS"`
	// State is the last state that the API reported, or empty.
	State model.JobState
}

// Request is a caller's record of one request.
type Request struct {
	Organisation  model.Organisation
	ID            string
	NonRepeatable bool
	BodyDigest    string
	Reply         Reply
	// Body is the body of the response.
	Body []byte
}

// ZoneChange is an operator's record of a request to take a zone out of service or
// back into service. Times are in milliseconds since the Unix epoch.
type ZoneChange struct {
	Zone               model.Zone
	InService          bool
	SentUnixMS         int64 `json:"SentMS"`
	AcknowledgedUnixMS int64 `json:"AckMS"` // 0 if it was never acknowledged
}

// History is everything that callers and operators observed.
type History struct {
	Jobs        []Job
	Requests    []Request
	ZoneChanges []ZoneChange `json:"Zones"`
}
