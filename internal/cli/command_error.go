package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/jessevdk/go-flags"
)

// Exit codes of the tool.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadInput = 2
	exitUnknown  = 3
	exitNotRun   = 4
)

// errorBody is the body of an error response of the API.
type errorBody = api.Error

// commandError is an error with the exit code of the tool. If printed is set, the error was
// already reported to the user.
type commandError struct {
	exitCode int
	printed  bool
	errorBody
}

// Error implements error.
func (e *commandError) Error() string { return e.Message }

func badInputError(format string, args ...any) *commandError {
	return newCommandError(exitBadInput, model.OutcomeNotRun, apierror.CodeBadInput, fmt.Sprintf(format, args...))
}

func newCommandError(exit int, outcome model.Outcome, code apierror.Code, message string) *commandError {
	return &commandError{exitCode: exit, errorBody: api.Error{
		Outcome: api.ErrorOutcome(outcome), Code: string(code), Message: message,
	}}
}

// toCommandError converts an error to a commandError.
func toCommandError(err error) *commandError {
	var commandErr *commandError
	var apiErr *api.ErrorStatusCode
	var flagsErr *flags.Error
	switch {
	case errors.As(err, &commandErr):
		return commandErr
	case errors.As(err, &flagsErr):
		return badInputError("%s", flagsErr.Message)
	case errors.As(err, &apiErr):
		return &commandError{exitCode: apiErrorExitCode(&apiErr.Response), errorBody: apiErr.Response}
	case isDialError(err):
		return newCommandError(exitNotRun, model.OutcomeNotRun, apierror.CodeNoTarget, fmt.Sprintf("cannot connect to any daemon: %v", err))
	case errors.Is(err, context.DeadlineExceeded):
		return newCommandError(exitUnknown, model.OutcomeUnknown, apierror.CodeDeadlineExceeded, "no response in time")
	default:
		return newCommandError(exitUnknown, model.OutcomeUnknown, apierror.CodeUnknownOutcome, err.Error())
	}
}

// apiErrorExitCode returns the exit code for an error response.
func apiErrorExitCode(e *api.Error) int {
	switch model.Outcome(e.Outcome) {
	case model.OutcomeRan:
		return exitFailed
	case model.OutcomeUnknown:
		return exitUnknown
	}
	switch apierror.Code(e.Code) {
	case apierror.CodeBadInput, apierror.CodeTooLarge, apierror.CodeCanNeverRun, apierror.CodeIDReused, apierror.CodeNotFound:
		return exitBadInput
	default:
		return exitNotRun
	}
}

// isDialError reports whether err means that no connection was made, so that nothing was
// sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// withRequestID adds the id of the job, request or edit to an error, so that the user can
// repeat the command with it.
func withRequestID(err error, id string) error {
	commandErr := toCommandError(err)
	if !commandErr.RequestID.IsSet() {
		commandErr.RequestID = api.NewOptString(id)
	}
	return commandErr
}

func (e *env) printError(commandErr *commandError) {
	if commandErr.printed {
		return
	}
	if e.Output == "json" {
		data, err := json.MarshalIndent(&commandErr.errorBody, "", "  ")
		if err == nil {
			_, _ = fmt.Fprintln(e.stderr, string(data))
			return
		}
	}
	line := fmt.Sprintf("daisyfold: %s (%s): %s", commandErr.Outcome, commandErr.Code, commandErr.Message)
	for _, l := range wrapLine(line, "", "  ") {
		_, _ = fmt.Fprintln(e.stderr, l)
	}
	for _, finding := range commandErr.Findings {
		_, _ = fmt.Fprintln(e.stderr, finding)
	}
	if id, ok := commandErr.RequestID.Get(); ok {
		_, _ = fmt.Fprintln(e.stderr, "id:", id)
	}
}
