// Package apierror defines the error type of the API. Every error states whether the
// requested work ran.
package apierror

import (
	"fmt"

	"github.com/daisyfold/daisyfold/internal/finding"
	"github.com/daisyfold/daisyfold/internal/model"
)

// Code identifies the cause of an error for programs.
type Code string

// Error codes of the API.
const (
	CodeBadInput              Code = "bad_input"
	CodeTooLarge              Code = "too_large"
	CodeUnauthorised          Code = "unauthorised"
	CodeForbidden             Code = "forbidden"
	CodeNotFound              Code = "not_found"
	CodeNoConfiguration       Code = "no_configuration" // the host has no configuration yet
	CodeIDReused              Code = "id_reused"        // the id was used before with a different body
	CodeCanNeverRun           Code = "can_never_run"    // the job exceeds a limit, a quota or the hardware
	CodeQuotaReached          Code = "quota_reached"
	CodeDependencyUnavailable Code = "dependency_unavailable"
	CodeOverloaded            Code = "overloaded"
	CodeDeadlineExceeded      Code = "deadline_exceeded"
	CodeNoTarget              Code = "no_target"
	CodeLogUnavailable        Code = "log_unavailable"
	CodeVersionConflict       Code = "version_conflict"
	CodeInProgress            Code = "in_progress"     // a request with the same id is in progress
	CodeAnswerNotKept         Code = "answer_not_kept" // the request ran and its response is not stored
	CodeUnknownOutcome        Code = "unknown_outcome"
	CodeLeaving               Code = "leaving" // the host is in a planned stop
	CodeInternal              Code = "internal"
)

// Error is an API error. Outcome states whether the requested work ran.
type Error struct {
	Outcome  model.Outcome
	Code     Code
	Message  string
	Findings finding.List
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

// NotRun returns an error for work that did not run and cannot run later.
func NotRun(code Code, format string, args ...any) *Error {
	return &Error{Outcome: model.OutcomeNotRun, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Unknown returns an error for work that may have run or may still run.
func Unknown(code Code, format string, args ...any) *Error {
	return &Error{Outcome: model.OutcomeUnknown, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Ran returns an error for work that ran but whose response is not available.
func Ran(code Code, format string, args ...any) *Error {
	return &Error{Outcome: model.OutcomeRan, Code: code, Message: fmt.Sprintf(format, args...)}
}
