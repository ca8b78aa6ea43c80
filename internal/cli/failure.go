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

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadInput = 2
	exitUnknown  = 3
	exitNotRun   = 4
)

// errorBody is the body of an error answer of the API.
type errorBody = api.Error

// failure is an error with its exit code. A quiet failure was already printed.
type failure struct {
	exit  int
	quiet bool
	errorBody
}

// Error implements error.
func (f *failure) Error() string { return f.Message }

func badInput(format string, args ...any) *failure {
	return newFailure(exitBadInput, model.OutcomeNotRun, apierror.CodeBadInput, fmt.Sprintf(format, args...))
}

func newFailure(exit int, outcome model.Outcome, code apierror.Code, message string) *failure {
	return &failure{exit: exit, errorBody: api.Error{
		Outcome: api.ErrorOutcome(outcome), Code: string(code), Message: message,
	}}
}

// asFailure returns the failure that an error stands for.
func asFailure(err error) *failure {
	var known *failure
	var answer *api.ErrorStatusCode
	var usage *flags.Error
	switch {
	case errors.As(err, &known):
		return known
	case errors.As(err, &usage):
		return badInput("%s", usage.Message)
	case errors.As(err, &answer):
		return &failure{exit: exitOf(&answer.Response), errorBody: answer.Response}
	case refused(err):
		return newFailure(exitNotRun, model.OutcomeNotRun, apierror.CodeNoTarget, fmt.Sprintf("no daemon accepts a connection: %v", err))
	case errors.Is(err, context.DeadlineExceeded):
		return newFailure(exitUnknown, model.OutcomeUnknown, apierror.CodeDeadlineExceeded, "no answer in time")
	default:
		return newFailure(exitUnknown, model.OutcomeUnknown, apierror.CodeUnknownOutcome, err.Error())
	}
}

// exitOf returns the exit code of an error answer.
func exitOf(e *api.Error) int {
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

// refused reports whether no connection was made, so that nothing was sent.
func refused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// withID adds the id of the work to an error, for a repetition.
func withID(err error, id string) error {
	f := asFailure(err)
	if !f.RequestID.IsSet() {
		f.RequestID = api.NewOptString(id)
	}
	return f
}

func (e *env) printFailure(f *failure) {
	if f.quiet {
		return
	}
	if e.Output == "json" {
		data, err := json.MarshalIndent(&f.errorBody, "", "  ")
		if err == nil {
			_, _ = fmt.Fprintln(e.stderr, string(data))
			return
		}
	}
	line := fmt.Sprintf("daisyfold: %s (%s): %s", f.Outcome, f.Code, f.Message)
	for _, l := range wrap(line, "", "  ") {
		_, _ = fmt.Fprintln(e.stderr, l)
	}
	for _, finding := range f.Findings {
		_, _ = fmt.Fprintln(e.stderr, finding)
	}
	if id, ok := f.RequestID.Get(); ok {
		_, _ = fmt.Fprintln(e.stderr, "id:", id)
	}
}
