package apiserver

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/model"
)

// fakeServices implements all interfaces of Deps and records the arguments of calls. If
// err is not nil, every method that returns an error returns it.
type fakeServices struct {
	jobs          map[model.JobKey]model.Job
	submittedSpec model.JobSpec
	lastCall      CallRequest
	publishedText string
	cancelledBy   string
	err           error
}

func (f *fakeServices) Submit(_ context.Context, spec model.JobSpec) (SubmitResult, error) {
	f.submittedSpec = spec
	return SubmitResult{ID: spec.Key.ID, Durability: DurabilityLog, State: model.JobWaiting}, f.err
}

func (f *fakeServices) Get(key model.JobKey) (model.Job, bool) {
	job, ok := f.jobs[key]
	return job, ok
}

func (f *fakeServices) List(org model.Organisation, _ model.JobState, _ int) []model.Job {
	var list []model.Job
	for key, job := range f.jobs {
		if org == "" || key.Organisation == org {
			list = append(list, job)
		}
	}
	return list
}

func (f *fakeServices) Wait(ctx context.Context, _ model.JobKey) (model.Job, error) {
	if f.err != nil {
		return model.Job{}, f.err
	}
	<-ctx.Done()
	return model.Job{}, ctx.Err()
}

func (f *fakeServices) Cancel(_ context.Context, key model.JobKey, requestedBy string) (model.Job, error) {
	f.cancelledBy = requestedBy
	return f.jobs[key], f.err
}

func (f *fakeServices) Explain(context.Context, model.JobKey) []model.Reason { return nil }

func (f *fakeServices) Call(_ context.Context, request CallRequest) (CallResponse, error) {
	f.lastCall = request
	return CallResponse{RequestID: request.ID, Status: http.StatusOK, Body: request.Body}, f.err
}

func (f *fakeServices) Publish(_ context.Context, _ string, baseVersion int64, text []byte) (int64, error) {
	f.publishedText = string(text)
	return baseVersion + 1, f.err
}

func (f *fakeServices) SetZone(context.Context, string, model.Zone, bool) (string, int64, error) {
	return "accepted", 2, f.err
}

func (f *fakeServices) Status(context.Context) *api.Status {
	return &api.Status{
		Zones: []api.ZoneStatus{}, Hosts: []api.HostStatus{}, Findings: []string{"a finding"},
		Organisations: []api.OrganisationStatus{{Organisation: "schools"}, {Organisation: "parishes"}},
	}
}

func (f *fakeServices) Events(time.Time) []blackboard.Event {
	return []blackboard.Event{{Time: time.UnixMilli(5), Part: "shard", Message: "took over"}}
}

// exampleConfig returns the configuration of the kerherve example.
func exampleConfig(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../examples/kerherve/daisyfold.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// newTestDeps returns dependencies with the example's configuration, and the fake behind
// them, which has one running job for each of two organisations.
func newTestDeps(t *testing.T) (*fakeServices, Deps) {
	t.Helper()
	f := &fakeServices{jobs: map[model.JobKey]model.Job{}}
	for _, org := range []model.Organisation{"schools", "parishes"} {
		key := model.JobKey{Organisation: org, ID: model.JobID(org + "-1")}
		f.jobs[key] = model.Job{Spec: model.JobSpec{Key: key, Service: "proofs", Tasks: 1}, State: model.JobRunning}
	}
	raw := exampleConfig(t)
	cfg, findings := config.Parse("t", []byte(raw))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	current := &blackboard.Configuration{Version: 1, Text: []byte(raw), Parsed: cfg}
	return f, Deps{
		Jobs: f, Calls: f, Configs: f, Status: f,
		Config: func() *blackboard.Configuration { return current },
	}
}

// apiRequest is a request to the API with the expected status, outcome and code of its
// response. The services return serviceErr.
type apiRequest struct {
	name, method, path, key, body string
	contentType                   string
	serviceErr                    error
	status                        int
	outcome                       model.Outcome
	code                          apierror.Code
}

// send sends the request to the API and returns the recorded response.
func (r *apiRequest) send(deps Deps) *httptest.ResponseRecorder {
	req := httptest.NewRequest(r.method, r.path, strings.NewReader(r.body))
	if r.key != "" {
		req.Header.Set("Authorization", "Bearer "+r.key)
	}
	req.Header.Set("Content-Type", "application/json")
	if r.contentType != "" {
		req.Header.Set("Content-Type", r.contentType)
	}
	return serve(deps, req)
}

func serve(deps Deps, req *http.Request) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	NewHandler(deps).ServeHTTP(recorder, req)
	return recorder
}

func get(path, key string) *apiRequest {
	return &apiRequest{method: http.MethodGet, path: path, key: key}
}

func post(path, key, format string, args ...any) *apiRequest {
	return &apiRequest{method: http.MethodPost, path: path, key: key, body: fmt.Sprintf(format, args...)}
}
