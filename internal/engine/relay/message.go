// Package relay passes callers' calls from hosts that cannot serve them to hosts that can. Each
// host writes its address into a topic that all hosts follow; a call goes to one peer after the
// other, is executed there with the peer's own manifest and store, and is never passed on
// again.
package relay

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/engine/intake"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// Request is a call as it is sent to a peer.
type Request struct {
	// To is the name of the host that the call is meant for. Another host at its address does
	// not execute it.
	To        string           `json:"to"`
	Operation intake.Operation `json:"operation"`
	Host      string           `json:"host"`
	Path      string           `json:"path"`
	Key       string           `json:"key,omitempty"`
	ID        string           `json:"id,omitempty"`
	Job       *work.Job        `json:"job,omitempty"`
	// TimeoutMS is the time in milliseconds within which the peer has to answer.
	TimeoutMS int64 `json:"timeoutMs"`
	// MinManifest is the least version of the manifest with which the peer may answer.
	MinManifest int64 `json:"minManifest,omitempty"`
}

// Reply is a peer's answer to a call.
type Reply struct {
	Outcome      intake.Outcome `json:"outcome"`
	Reason       string         `json:"reason,omitempty"`
	RetryAfterMS int64          `json:"retryAfterMs,omitempty"`
	Status       work.Status    `json:"status,omitempty"`
	Waiting      int            `json:"waiting,omitempty"`
	Manifest     int64          `json:"manifest"`
}

// Errors of calls that were not executed. After any other error the call may have been executed.
var (
	// ErrNotExecuted means that the peer refused the call.
	ErrNotExecuted = &trace.LimitExceededError{Message: "the peer did not execute the call"}
	// ErrUnreachable means that there was no connection to the peer.
	ErrUnreachable = &trace.ConnectionProblemError{Message: "the peer cannot be reached"}
	// ErrTooLarge means that this host did not send the call. It says nothing about the peer.
	ErrTooLarge = &trace.LimitExceededError{Message: "the call is too large for a peer"}
)

// Transport sends calls to peers.
type Transport interface {
	Send(ctx context.Context, address string, r Request) (Reply, error)
}

func newRequest(peer Peer, r intake.Request, timeout time.Duration) Request {
	return Request{
		To: peer.Host, Operation: r.Operation, Host: r.Call.Host, Path: r.Call.Path, Key: r.Call.Key, ID: r.ID, Job: r.Job,
		TimeoutMS: timeout.Milliseconds(), MinManifest: r.Call.MinManifest,
	}
}

// call returns the parameters of the relayed call.
func (r Request) call() intake.Call {
	return intake.Call{
		Host: r.Host, Path: r.Path, Key: r.Key, Timeout: time.Duration(r.TimeoutMS) * time.Millisecond,
		Relayed: true, MinManifest: r.MinManifest,
	}
}

func newReply(a intake.Answer, manifest int64) Reply {
	return Reply{
		Outcome: a.Outcome, Reason: a.Reason, RetryAfterMS: a.RetryAfter.Milliseconds(), Status: a.Status, Waiting: a.Waiting,
		Manifest: manifest,
	}
}

func (r Reply) answer() intake.Answer {
	return intake.Answer{
		Outcome: r.Outcome, Reason: r.Reason, RetryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond,
		Status: r.Status, Waiting: r.Waiting,
	}
}

// isValid reports whether a reply has a known outcome and, for a job, a known status.
func (r Reply) isValid(o intake.Operation) bool {
	if r.Outcome < intake.OK || r.Outcome > intake.Unknown {
		return false
	}
	return o != intake.StatusQuery || r.Outcome != intake.OK || r.Status == work.Queued || r.Status == work.Running || r.Status.Ended()
}
