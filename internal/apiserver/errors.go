package apiserver

import (
	"context"
	"errors"
	"net/http"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/apierror"
)

// statuses maps codes to HTTP statuses.
var statuses = map[apierror.Code]int{
	apierror.CodeBadInput:              http.StatusBadRequest,
	apierror.CodeTooLarge:              http.StatusRequestEntityTooLarge,
	apierror.CodeUnauthorised:          http.StatusUnauthorized,
	apierror.CodeForbidden:             http.StatusForbidden,
	apierror.CodeNotFound:              http.StatusNotFound,
	apierror.CodeNoConfiguration:       http.StatusServiceUnavailable,
	apierror.CodeIDReused:              http.StatusConflict,
	apierror.CodeCanNeverRun:           http.StatusUnprocessableEntity,
	apierror.CodeQuotaReached:          http.StatusTooManyRequests,
	apierror.CodeDependencyUnavailable: http.StatusServiceUnavailable,
	apierror.CodeOverloaded:            http.StatusServiceUnavailable,
	apierror.CodeDeadlineExceeded:      http.StatusGatewayTimeout,
	apierror.CodeNoTarget:              http.StatusServiceUnavailable,
	apierror.CodeLogUnavailable:        http.StatusServiceUnavailable,
	apierror.CodeVersionConflict:       http.StatusConflict,
	apierror.CodeInProgress:            http.StatusConflict,
	apierror.CodeAnswerNotKept:         http.StatusGone,
	apierror.CodeUnknownOutcome:        http.StatusBadGateway,
	apierror.CodeLeaving:               http.StatusServiceUnavailable,
	apierror.CodeInternal:              http.StatusInternalServerError,
}

func statusOf(code apierror.Code) int {
	if status, ok := statuses[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

func noConfiguration() *apierror.Error {
	return apierror.NotRun(apierror.CodeNoConfiguration, "this host has no configuration yet")
}

func unauthorised() *apierror.Error {
	return apierror.NotRun(apierror.CodeUnauthorised, "the bearer key is missing or unknown")
}

func tooLarge() *apierror.Error {
	return apierror.NotRun(apierror.CodeTooLarge, "the body is over %d bytes", maxBodyBytes)
}

// decodeError returns the error for a request that could not be decoded. Such a
// request never reached a handler, so it did not run.
func decodeError(err error) *apierror.Error {
	if overBound(err) {
		return tooLarge()
	}
	return apierror.NotRun(apierror.CodeBadInput, "%v", err)
}

func overBound(err error) bool {
	var bound *http.MaxBytesError
	return errors.As(err, &bound)
}

// asAPIError returns the typed error in err. An error without a type says nothing
// about the work, so its outcome is unknown.
func asAPIError(err error) *apierror.Error {
	var typed *apierror.Error
	switch {
	case errors.As(err, &typed):
		return typed
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return apierror.Unknown(apierror.CodeDeadlineExceeded, "the request ended before its outcome was known")
	default:
		return apierror.Unknown(apierror.CodeInternal, "%v", err)
	}
}

// errorAnswer returns the answer for an error.
func errorAnswer(e *apierror.Error, requestID string) *api.ErrorStatusCode {
	body := api.Error{
		Outcome: api.ErrorOutcome(e.Outcome),
		Code:    string(e.Code),
		Message: e.Message,
	}
	if requestID != "" {
		body.RequestID = api.NewOptString(requestID)
	}
	for _, f := range e.Findings {
		body.Findings = append(body.Findings, f.String())
	}
	return &api.ErrorStatusCode{StatusCode: statusOf(e.Code), Response: body}
}
