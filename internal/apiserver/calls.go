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
	id, err := chosenID(params.RequestID)
	if err != nil {
		return nil, err
	}
	request, err := s.callRequest(ctx, id, req.Data, params)
	if err != nil {
		return nil, errorAnswer(asAPIError(err), id)
	}
	answer, err := s.Calls.Do(ctx, request)
	if err != nil {
		return nil, errorAnswer(asAPIError(err), id)
	}
	return &api.CallServiceOKHeaders{
		RequestID:    answer.RequestID,
		TargetStatus: answer.Status,
		Response:     api.CallServiceOK{Data: bytes.NewReader(answer.Body)},
	}, nil
}

func (s *server) callRequest(ctx context.Context, id string, body io.Reader, params api.CallServiceParams) (CallRequest, error) {
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

func (s *server) requestService(name string) (*config.Service, error) {
	current := s.Config()
	if current == nil {
		return nil, noConfiguration()
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

// readBody reads the whole body before the call is made. A body that breaks off was
// never sent to a target.
func readBody(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(body)
	switch {
	case overBound(err):
		return nil, tooLarge()
	case err != nil:
		return nil, apierror.NotRun(apierror.CodeBadInput, "the body broke off: %v", err)
	default:
		return data, nil
	}
}

// callTimeout returns the caller's timeout, at most the service's deadline.
func callTimeout(service *config.Service, chosen api.OptInt) time.Duration {
	deadline := service.DeadlineDuration()
	timeout := time.Duration(chosen.Or(0)) * time.Millisecond
	if timeout == 0 || (deadline > 0 && timeout > deadline) {
		return deadline
	}
	return timeout
}
