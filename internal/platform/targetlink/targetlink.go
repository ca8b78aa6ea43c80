// Package targetlink defines the headers of the call API of targets and provides a client
// that keeps connections per target.
//
// A call is POST {target base URL}/call with the request body. The target echoes
// HeaderAttemptID. A response with status 503 and HeaderNotRun set to "true" means that
// the target did not run the call, for example because all slots are in use.
package targetlink

import (
	"context"

	"github.com/daisyfold/daisyfold/internal/model"
)

// Headers of the call API.
const (
	HeaderRequestID    = "Daisyfold-Request"      // request id, the same for every attempt
	HeaderAttemptID    = "Daisyfold-Attempt"      // attempt id, echoed by the target
	HeaderOrganisation = "Daisyfold-Organisation" // organisation of the caller
	HeaderDeadlineMS   = "Daisyfold-Deadline-Ms"  // milliseconds until the deadline
	HeaderNotRun       = "Daisyfold-Not-Run"      // "true": the call did not run
	HeaderLeaving      = "Daisyfold-Leaving"      // "true": the target is leaving
)

// Call is one attempt of a request.
type Call struct {
	RequestID    string
	AttemptID    string
	Organisation model.Organisation
	Body         []byte
}

// Response is a complete response of a target.
type Response struct {
	Status  int // HTTP status of the target
	Body    []byte
	Leaving bool // the target is leaving
}

// NotRunError reports that the call did not run on the target, and why.
type NotRunError struct {
	Target  model.TargetID
	Reason  string
	Leaving bool // the target is leaving
}

// Error implements error.
func (e *NotRunError) Error() string {
	return "target " + string(e.Target) + " did not run the call: " + e.Reason
}

// Caller sends one attempt to one target. It returns a *NotRunError if the call certainly
// did not run, and a *ResponseLostError if it ran. After any other error it may have run.
// The context limits the whole call.
type Caller interface {
	Call(ctx context.Context, t model.Target, c Call) (Response, error)
}
