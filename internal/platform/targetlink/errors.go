package targetlink

import (
	"fmt"

	"github.com/daisyfold/daisyfold/internal/model"
)

// RanError reports that the target ran the call, but that its answer is not
// usable: it broke off or was too large. It is returned only after the target's
// status line with the right attempt id was read.
type RanError struct {
	Target model.TargetID
	Reason string
}

// Error implements error.
func (e *RanError) Error() string {
	return fmt.Sprintf("target %s ran the call, but its answer was lost: %s", e.Target, e.Reason)
}

// AttemptMismatchError reports an answer that belongs to another attempt. The
// answer was discarded; the call may have run.
type AttemptMismatchError struct {
	Target model.TargetID
	Want   string
	Got    string
}

// Error implements error.
func (e *AttemptMismatchError) Error() string {
	return fmt.Sprintf("target %s answered attempt %q instead of %q", e.Target, e.Got, e.Want)
}
