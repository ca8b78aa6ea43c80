// Package apierror holds the typed error that callers and operators receive. Every
// error says whether the work ran.
package apierror

import (
	"fmt"

	"github.com/daisyfold/daisyfold/internal/finding"
	"github.com/daisyfold/daisyfold/internal/model"
)

// Code is a machine-readable cause.
type Code string

// Codes of errors.
const (
	CodeBadInput        Code = "bad_input"
	CodeTooLarge        Code = "too_large"
	CodeUnauthorised    Code = "unauthorised"
	CodeForbidden       Code = "forbidden"
	CodeNotFound        Code = "not_found"
	CodeNoConfig        Code = "no_configuration"
	CodeIDReused        Code = "id_reused" // same id, another body
	CodeImpossible      Code = "can_never_run"
	CodeQuota           Code = "quota_reached"
	CodeDependency      Code = "dependency_unavailable"
	CodeOverloaded      Code = "overloaded"
	CodeDeadline        Code = "deadline_exceeded"
	CodeNoTarget        Code = "no_target"
	CodeLogUnavailable  Code = "log_unavailable"
	CodeVersionConflict Code = "version_conflict"
	CodeInProgress      Code = "in_progress"
	CodeAnswerNotKept   Code = "answer_not_kept"
	CodeUnknownOutcome  Code = "unknown_outcome"
	CodeLeaving         Code = "leaving"
	CodeInternal        Code = "internal"
)

// Error is an error with the outcome of the work it concerns.
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

// Ran returns an error for work that ran but has no answer to give.
func Ran(code Code, format string, args ...any) *Error {
	return &Error{Outcome: model.OutcomeRan, Code: code, Message: fmt.Sprintf(format, args...)}
}
