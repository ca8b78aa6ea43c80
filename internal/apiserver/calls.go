package apiserver

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/model"
)

// CallService implements api.Handler.
func (s *server) CallService(ctx context.Context, req api.CallServiceReq, params api.CallServiceParams) (*api.CallServiceOKHeaders, error) {
	id, err := validIDOrNew(params.RequestID)
	if err != nil {
		return nil, err
	}
	request, err := s.newCallRequest(ctx, id, req.Data, params)
	if err != nil {
		return nil, errorResponse(toAPIError(err), id)
	}
	response, err := s.Calls.Call(ctx, request)
	if err != nil {
		return nil, errorResponse(toAPIError(err), id)
	}
	return &api.CallServiceOKHeaders{
		RequestID:    response.RequestID,
		TargetStatus: response.Status,
		Response:     api.CallServiceOK{Data: bytes.NewReader(response.Body)},
	}, nil
}

// newCallRequest checks a call, reads its body and returns the request for Calls.
func (s *server) newCallRequest(ctx context.Context, id string, body io.Reader, params api.CallServiceParams) (CallRequest, error) {
	organisation, err := callerOrganisation(ctx)
	if err != nil {
		return CallRequest{}, err
	}
	service, err := s.requestService(params.Service)
	if err != nil {
		return CallRequest{}, err
	}
	data, err := readBody(body)
	if err != nil {
		return CallRequest{}, err
	}
	return CallRequest{
		ID:            id,
		Organisation:  organisation,
		Service:       service.Name,
		Body:          data,
		Timeout:       callTimeout(service, params.TimeoutMs),
		NonRepeatable: params.NonRepeatable.Or(false) || !service.Repeatable,
	}, nil
}

// requestService returns the service of the given name, or an error if it does not exist
// or takes jobs.
func (s *server) requestService(name string) (*config.Service, error) {
	current := s.Config()
	if current == nil {
		return nil, noConfigurationError()
	}
	service := current.Parsed.Service(model.Service(name))
	switch {
	case service == nil:
		return nil, apierror.NotRun(apierror.CodeNotFound, "there is no service %q", name)
	case service.Kind != config.KindRequests:
		return nil, apierror.NotRun(apierror.CodeBadInput, "service %q takes jobs, not requests", name)
	default:
		return service, nil
	}
}

// readBody reads the whole body before the call is made. It returns a not_run error for
// an incomplete body, because nothing was sent to a target.
func readBody(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(body)
	switch {
	case isBodyTooLarge(err):
		return nil, bodyTooLargeError()
	case err != nil:
		return nil, apierror.NotRun(apierror.CodeBadInput, "the body could not be read: %v", err)
	default:
		return data, nil
	}
}

// callTimeout returns the requested timeout, capped at the service's deadline. It returns
// the deadline if no timeout was requested; a deadline of 0 means no cap.
func callTimeout(service *config.Service, requestedMs api.OptInt) time.Duration {
	deadline := service.DeadlineDuration()
	timeout := time.Duration(requestedMs.Or(0)) * time.Millisecond
	if timeout == 0 || (deadline > 0 && timeout > deadline) {
		return deadline
	}
	return timeout
}
