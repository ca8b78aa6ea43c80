// Package ledger defines the record that the platform emulator keeps of every task
// and request that ran. Package judge checks it; daisyfold itself never reads it.
package ledger

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/daisyfold/daisyfold/internal/model"
)

// TaskOutcome is the way in which a task ended.
type TaskOutcome string

// Task outcomes.
const (
	OutcomeFinished     TaskOutcome = "finished"
	OutcomeFailed       TaskOutcome = "failed"
	OutcomeStopped      TaskOutcome = "stopped"
	OutcomeLeaseExpired TaskOutcome = "lapsed"
	OutcomeWorkerLost   TaskOutcome = "lost"
)

// TaskRun is one task that a worker started. Index is the number of the task's
// member in its gang.
type TaskRun struct {
	Job         model.JobKey     `json:"job"`
	Attempt     int              `json:"attempt"`
	Index       int              `json:"index"`
	GangSize    int              `json:"gangSize"`
	Member      model.GangMember `json:"member"`
	Worker      model.WorkerID   `json:"worker"`
	Zone        model.Zone       `json:"zone"`
	StartUnixMS int64            `json:"startUnixMS"`
	EndUnixMS   int64            `json:"endUnixMS,omitempty"` // 0 while the task runs
	Outcome     TaskOutcome      `json:"end,omitempty"`       // empty while the task runs
	Confirmed   bool             `json:"confirmed,omitempty"`
}

// Execution is one run of a request on a target. Status is the HTTP status of the
// response.
type Execution struct {
	RequestID    string             `json:"request"`
	AttemptID    string             `json:"attempt"`
	Organisation model.Organisation `json:"organisation"`
	Target       model.TargetID     `json:"target"`
	Zone         model.Zone         `json:"zone"`
	Service      model.Service      `json:"service"`
	BodyDigest   string             `json:"bodyDigest"`
	StartUnixMS  int64              `json:"startUnixMS"`
	EndUnixMS    int64              `json:"endUnixMS,omitempty"`
	Status       int                `json:"status,omitempty"`
}

// LeavingTarget is a target that was asked to leave, and the time at which it was asked.
type LeavingTarget struct {
	Target      model.TargetID `json:"target"`
	SinceUnixMS int64          `json:"unixMS"`
}

// Ledger is a copy of the whole record, taken at NowUnixMS. All times are in
// milliseconds since the Unix epoch.
type Ledger struct {
	NowUnixMS      int64           `json:"nowUnixMS"`
	Tasks          []TaskRun       `json:"tasks"`
	Executions     []Execution     `json:"executions"`
	LeavingTargets []LeavingTarget `json:"left,omitempty"`
}

// ResponseBody is the JSON body of a target's response. RequestID, Organisation
// and BodyDigest are copied from the request.
type ResponseBody struct {
	RequestID    string             `json:"request"`
	Organisation model.Organisation `json:"organisation"`
	BodyDigest   string             `json:"bodyDigest"`
	Target       model.TargetID     `json:"target"`
}

// Digest returns the SHA-256 digest of body in hexadecimal.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
