package targetlink

import (
	"fmt"

	"github.com/daisyfold/daisyfold/internal/model"
)

// ResponseLostError reports that the target ran the call, but that its response is not
// usable because it was truncated or too large. It is returned only after a response
// header with the right attempt id was read.
type ResponseLostError struct {
	Target model.TargetID
	Reason string
}

// Error implements error.
func (e *ResponseLostError) Error() string {
	return fmt.Sprintf("target %s ran the call, but its response was lost: %s", e.Target, e.Reason)
}

// AttemptMismatchError reports a response to another attempt. The response was
// discarded; the call may have run.
type AttemptMismatchError struct {
	Target model.TargetID
	Want   string // attempt id
	Got    string // attempt id
}

// Error implements error.
func (e *AttemptMismatchError) Error() string {
	return fmt.Sprintf("target %s responded to attempt %q instead of %q", e.Target, e.Got, e.Want)
}
