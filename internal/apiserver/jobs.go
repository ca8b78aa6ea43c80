package apiserver

import (
	"context"
	"time"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/auth"
	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/google/uuid"
)

// maxPayloadBytes is the largest payload of a job. It keeps the job's record within the
// size limit of the log.
const maxPayloadBytes = 64 << 10

// SubmitJob implements api.Handler.
func (s *server) SubmitJob(ctx context.Context, req *api.JobRequest) (*api.JobAccepted, error) {
	spec, err := s.jobSpec(ctx, req)
	if err != nil {
		return nil, err
	}
	result, submitErr := s.Jobs.Submit(ctx, spec)
	if submitErr != nil {
		return nil, errorResponse(toAPIError(submitErr), string(spec.Key.ID))
	}
	return &api.JobAccepted{
		ID:         string(result.ID),
		Durability: api.JobAcceptedDurability(result.Durability),
		State:      string(result.State),
	}, nil
}

// jobSpec checks a job request against the configuration and returns the job's
// specification.
func (s *server) jobSpec(ctx context.Context, req *api.JobRequest) (model.JobSpec, error) {
	organisation, err := callerOrganisation(ctx)
	if err != nil {
		return model.JobSpec{}, err
	}
	id, err := validIDOrNew(req.ID)
	if err != nil {
		return model.JobSpec{}, err
	}
	current := s.Config()
	if current == nil {
		return model.JobSpec{}, noConfigurationError()
	}
	service, err := jobService(current, req)
	if err != nil {
		return model.JobSpec{}, err
	}
	return newJobSpec(model.JobKey{Organisation: organisation, ID: model.JobID(id)}, service, req), nil
}

func newJobSpec(key model.JobKey, service *config.Service, req *api.JobRequest) model.JobSpec {
	return model.JobSpec{
		Key:     key,
		Service: service.Name,
		Tasks:   req.Tasks,
		Task: model.Resources{
			CPUs:         req.Cpus.Or(1),
			MemoryMB:     req.MemoryMB.Or(0),
			Accelerators: req.Accelerators.Or(0),
		},
		Within:          model.Level(req.Within.Or(api.LevelZone)),
		Zone:            model.Zone(req.Zone.Or("")),
		Priority:        service.PriorityClass(),
		DeclaredRunTime: time.Duration(req.DeclaredSeconds.Or(0) * float64(time.Second)),
		DeadlineUnixMS:  req.DeadlineUnixMS.Or(0),
		NonRepeatable:   req.NonRepeatable.Or(false) || !service.Repeatable,
		Payload:         []byte(req.Payload.Or("")),
	}
}

// jobService returns the service of a job request. It returns an error if the service or
// the zone does not exist, the service takes requests, or the request exceeds a limit.
func jobService(current *blackboard.Configuration, req *api.JobRequest) (*config.Service, error) {
	service := current.Parsed.Service(model.Service(req.Service))
	zone := model.Zone(req.Zone.Or(""))
	switch {
	case service == nil:
		return nil, apierror.NotRun(apierror.CodeBadInput, "there is no service %q", req.Service)
	case service.Kind != config.KindJobs:
		return nil, apierror.NotRun(apierror.CodeBadInput, "service %q takes requests, not jobs", req.Service)
	case req.Tasks > service.TaskLimit():
		return nil, apierror.NotRun(apierror.CodeCanNeverRun, "%d tasks exceed the limit of %d (maxTasks of service %q)",
			req.Tasks, service.TaskLimit(), req.Service)
	case zone != "" && current.Parsed.Zone(zone) == nil:
		return nil, apierror.NotRun(apierror.CodeBadInput, "there is no availability zone %q", zone)
	case len(req.Payload.Or("")) > maxPayloadBytes:
		return nil, apierror.NotRun(apierror.CodeTooLarge, "the payload exceeds %d bytes", maxPayloadBytes)
	default:
		return service, nil
	}
}

// ListJobs implements api.Handler. It returns the jobs of the caller's organisation, or of
// all organisations to an operator.
func (s *server) ListJobs(ctx context.Context, params api.ListJobsParams) (*api.JobList, error) {
	state := model.JobState(params.State.Or(""))
	if state != "" && api.JobState(state).Validate() != nil {
		return nil, apierror.NotRun(apierror.CodeBadInput, "there is no job state %q", state)
	}
	jobs := s.Jobs.List(auth.FromContext(ctx).Organisation, state, params.Limit.Or(1000))
	list := &api.JobList{Jobs: make([]api.Job, len(jobs))}
	for i := range jobs {
		list.Jobs[i] = *apiJob(&jobs[i])
	}
	return list, nil
}

// ShowJob implements api.Handler.
func (s *server) ShowJob(ctx context.Context, params api.ShowJobParams) (*api.Job, error) {
	job, err := s.authorisedJob(ctx, params.ID, params.Organisation)
	if err != nil {
		return nil, err
	}
	return apiJob(&job), nil
}

// WaitJob implements api.Handler. At the timeout, or when a planned stop begins, it returns
// the job in its current state.
func (s *server) WaitJob(ctx context.Context, params api.WaitJobParams) (*api.Job, error) {
	job, err := s.authorisedJob(ctx, params.ID, params.Organisation)
	if err != nil {
		return nil, err
	}
	waitCtx, cancel := context.WithTimeout(ctx, time.Duration(params.Seconds.Or(30))*time.Second)
	defer cancel()
	stop := s.cancelOnLeaving(waitCtx, cancel)
	defer stop()
	final, waitErr := s.Jobs.Wait(waitCtx, job.Spec.Key)
	switch {
	case waitErr == nil:
		return apiJob(&final), nil
	case waitCtx.Err() == nil:
		return nil, waitErr
	}
	job, err = s.authorisedJob(ctx, params.ID, params.Organisation)
	if err != nil {
		return nil, err
	}
	return apiJob(&job), nil
}

// cancelOnLeaving calls cancel when a planned stop begins. The returned function releases
// its goroutine.
func (s *server) cancelOnLeaving(ctx context.Context, cancel context.CancelFunc) (stop func()) {
	done := make(chan struct{})
	go func() {
		select {
		case <-s.Leaving:
			cancel()
		case <-ctx.Done():
		case <-done:
		}
	}()
	return func() { close(done) }
}

// CancelJob implements api.Handler.
func (s *server) CancelJob(ctx context.Context, params api.CancelJobParams) (*api.Job, error) {
	job, err := s.authorisedJob(ctx, params.ID, params.Organisation)
	if err != nil {
		return nil, err
	}
	job, cancelErr := s.Jobs.Cancel(ctx, job.Spec.Key, auth.FromContext(ctx).String())
	if cancelErr != nil {
		return nil, errorResponse(toAPIError(cancelErr), params.ID)
	}
	return apiJob(&job), nil
}

// ExplainJob implements api.Handler.
func (s *server) ExplainJob(ctx context.Context, params api.ExplainJobParams) (*api.Explanation, error) {
	job, err := s.authorisedJob(ctx, params.ID, params.Organisation)
	if err != nil {
		return nil, err
	}
	explanation := &api.Explanation{Job: *apiJob(&job), Reasons: []api.Reason{}}
	for _, r := range s.Jobs.Explain(ctx, job.Spec.Key) {
		explanation.Reasons = append(explanation.Reasons, api.Reason{
			Code: string(r.Code), Detail: r.Detail, UnixMS: r.UnixMS,
		})
	}
	return explanation, nil
}

// authorisedJob returns a job after checking that the caller may access it. A nonempty
// organisation names the owner of the job.
func (s *server) authorisedJob(ctx context.Context, id string, organisation api.OptString) (model.Job, error) {
	owner, err := authorisedOrganisation(ctx, organisation)
	if err != nil {
		return model.Job{}, err
	}
	job, ok := s.Jobs.Get(model.JobKey{Organisation: owner, ID: model.JobID(id)})
	if !ok {
		return model.Job{}, apierror.NotRun(apierror.CodeNotFound, "organisation %q has no job %q", owner, id)
	}
	return job, nil
}

// authorisedOrganisation returns the named organisation, or the caller's own if none is
// named. It returns an error if the caller may not access the organisation's jobs.
func authorisedOrganisation(ctx context.Context, named api.OptString) (model.Organisation, error) {
	identity := auth.FromContext(ctx)
	organisation := model.Organisation(named.Or(string(identity.Organisation)))
	switch {
	case identity.IsOperator() && organisation == "":
		return "", apierror.NotRun(apierror.CodeBadInput, "an operator must name the organisation of the job")
	case !identity.IsOperator() && organisation != identity.Organisation:
		return "", apierror.NotRun(apierror.CodeForbidden, "%s cannot access the jobs of other organisations", identity)
	default:
		return organisation, nil
	}
}

// callerOrganisation returns the organisation of the caller, or an error for an operator.
func callerOrganisation(ctx context.Context) (model.Organisation, error) {
	identity := auth.FromContext(ctx)
	if identity.Organisation == "" {
		return "", apierror.NotRun(apierror.CodeForbidden, "only organisations may submit jobs and requests, not %s", identity)
	}
	return identity.Organisation, nil
}

// validIDOrNew returns the id given by the caller, or a new UUID if it is absent or empty.
// It returns an error if the id has characters other than printable ASCII without spaces.
func validIDOrNew(given api.OptString) (string, error) {
	id, ok := given.Get()
	if !ok || id == "" {
		return uuid.NewString(), nil
	}
	for _, r := range id {
		if r <= ' ' || r > '~' {
			return "", apierror.NotRun(apierror.CodeBadInput, "an id must consist of printable ASCII characters without spaces")
		}
	}
	return id, nil
}
