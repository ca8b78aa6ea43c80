// Package ledger holds the platform stand-in's own record of what ran where and
// when. The judge reads it; the product never does.
package ledger

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/daisyfold/daisyfold/internal/model"
)

// End says how a task ended.
type End string

// Ends of a task.
const (
	EndFinished End = "finished"
	EndFailed   End = "failed"
	EndStopped  End = "stopped"
	EndLapsed   End = "lapsed"
	EndLost     End = "lost" // the worker was lost
)

// TaskRun is one task that a worker started.
type TaskRun struct {
	Job       model.JobKey     `json:"job"`
	Attempt   int              `json:"attempt"`
	Index     int              `json:"index"`
	GangSize  int              `json:"gangSize"`
	Member    model.GangMember `json:"member"`
	Worker    model.WorkerID   `json:"worker"`
	Zone      model.Zone       `json:"zone"`
	StartMS   int64            `json:"startUnixMS"`
	EndMS     int64            `json:"endUnixMS,omitempty"` // 0 while it runs
	End       End              `json:"end,omitempty"`
	Confirmed bool             `json:"confirmed,omitempty"`
}

// Execution is one request that a target ran.
type Execution struct {
	Request      string             `json:"request"`
	Attempt      string             `json:"attempt"`
	Organisation model.Organisation `json:"organisation"`
	Target       model.TargetID     `json:"target"`
	Zone         model.Zone         `json:"zone"`
	Service      model.Service      `json:"service"`
	BodyDigest   string             `json:"bodyDigest"`
	StartMS      int64              `json:"startUnixMS"`
	EndMS        int64              `json:"endUnixMS,omitempty"`
	Status       int                `json:"status,omitempty"`
}

// TargetLeft is the moment at which a target began to leave.
type TargetLeft struct {
	Target model.TargetID `json:"target"`
	UnixMS int64          `json:"unixMS"`
}

// Ledger is the whole record.
type Ledger struct {
	NowMS      int64        `json:"nowUnixMS"`
	Tasks      []TaskRun    `json:"tasks"`
	Executions []Execution  `json:"executions"`
	Left       []TargetLeft `json:"left,omitempty"`
}

// AnswerBody is the body of a target's answer. Request, Organisation and
// BodyDigest are those of the request that it answers.
type AnswerBody struct {
	Request      string             `json:"request"`
	Organisation model.Organisation `json:"organisation"`
	BodyDigest   string             `json:"bodyDigest"`
	Target       model.TargetID     `json:"target"`
}

// Digest returns the SHA-256 sum of a request body in hexadecimal.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
