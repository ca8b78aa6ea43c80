// Package targetlink is the adapter to targets. It holds the headers of the call
// API and a client that keeps connections per target.
//
// A call is POST {target base URL}/call with the request body. The target echoes
// HeaderAttempt. A 503 with HeaderNotRun set to "true" means that the target did
// not run the call, for example because all slots are in use.
package targetlink

import (
	"context"

	"github.com/daisyfold/daisyfold/internal/model"
)

// Headers of the call API.
const (
	HeaderRequest      = "Daisyfold-Request"      // request id, the same on every attempt
	HeaderAttempt      = "Daisyfold-Attempt"      // attempt id, echoed by the target
	HeaderOrganisation = "Daisyfold-Organisation" // organisation of the caller
	HeaderDeadline     = "Daisyfold-Deadline-Ms"  // milliseconds left
	HeaderNotRun       = "Daisyfold-Not-Run"      // "true": the call did not run
	HeaderLeaving      = "Daisyfold-Leaving"      // "true": the target is leaving
)

// Call is one attempt of a request.
type Call struct {
	Request      string
	Attempt      string
	Organisation model.Organisation
	Body         []byte
}

// Answer is a whole answer of a target.
type Answer struct {
	Status  int // HTTP status of the target
	Body    []byte
	Leaving bool
}

// NotRunError reports that the call did not run on the target, and why.
type NotRunError struct {
	Target  model.TargetID
	Reason  string
	Leaving bool
}

// Error implements error.
func (e *NotRunError) Error() string {
	return "target " + string(e.Target) + " did not run the call: " + e.Reason
}

// Caller sends one attempt to one target. It returns a *NotRunError when it is
// certain that the call did not run; after any other error it may have run. The
// context bounds the whole call.
type Caller interface {
	Call(ctx context.Context, t model.Target, c Call) (Answer, error)
}
