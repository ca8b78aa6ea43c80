package apiserver

import (
	"context"
	"errors"
	"net/http"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/apierror"
)

// httpStatusByCode maps error codes to HTTP status codes.
var httpStatusByCode = map[apierror.Code]int{
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

// httpStatus returns the HTTP status code for an error code, or 500 for an unknown one.
func httpStatus(code apierror.Code) int {
	if status, ok := httpStatusByCode[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

func noConfigurationError() *apierror.Error {
	return apierror.NotRun(apierror.CodeNoConfiguration, "this host has no configuration yet")
}

func unauthorisedError() *apierror.Error {
	return apierror.NotRun(apierror.CodeUnauthorised, "the bearer key is missing or unknown")
}

func bodyTooLargeError() *apierror.Error {
	return apierror.NotRun(apierror.CodeTooLarge, "the body exceeds %d bytes", maxBodyBytes)
}

// decodeError returns the error for a request that could not be decoded. Its outcome is
// not_run, because the request reached no handler.
func decodeError(err error) *apierror.Error {
	if isBodyTooLarge(err) {
		return bodyTooLargeError()
	}
	return apierror.NotRun(apierror.CodeBadInput, "%v", err)
}

// isBodyTooLarge reports whether err was caused by a body over maxBodyBytes.
func isBodyTooLarge(err error) bool {
	var maxBytesErr *http.MaxBytesError
	return errors.As(err, &maxBytesErr)
}

// toAPIError returns the *apierror.Error in the chain of err. Any other error becomes one
// with an unknown outcome, because it does not state whether the work ran.
func toAPIError(err error) *apierror.Error {
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

// errorResponse converts an error to an API response. An empty requestID is omitted.
func errorResponse(e *apierror.Error, requestID string) *api.ErrorStatusCode {
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
	return &api.ErrorStatusCode{StatusCode: httpStatus(e.Code), Response: body}
}
