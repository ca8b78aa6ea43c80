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

// fake implements all interfaces of Deps. Err, when set, is returned by every call
// that can fail.
type fake struct {
	jobs map[model.JobKey]model.Job
	spec model.JobSpec
	call CallRequest
	text string
	by   string
	err  error
}

func (f *fake) Submit(_ context.Context, spec model.JobSpec) (SubmitResult, error) {
	f.spec = spec
	return SubmitResult{ID: spec.Key.ID, Durability: DurabilityLog, State: model.JobWaiting}, f.err
}

func (f *fake) Get(key model.JobKey) (model.Job, bool) {
	job, ok := f.jobs[key]
	return job, ok
}

func (f *fake) List(org model.Organisation, _ model.JobState, _ int) []model.Job {
	var list []model.Job
	for key, job := range f.jobs {
		if org == "" || key.Organisation == org {
			list = append(list, job)
		}
	}
	return list
}

func (f *fake) Wait(ctx context.Context, _ model.JobKey) (model.Job, error) {
	if f.err != nil {
		return model.Job{}, f.err
	}
	<-ctx.Done()
	return model.Job{}, ctx.Err()
}

func (f *fake) Cancel(_ context.Context, key model.JobKey, by string) (model.Job, error) {
	f.by = by
	return f.jobs[key], f.err
}

func (f *fake) Explain(context.Context, model.JobKey) []model.Reason { return nil }

func (f *fake) Do(_ context.Context, request CallRequest) (CallAnswer, error) {
	f.call = request
	return CallAnswer{RequestID: request.ID, Status: http.StatusOK, Body: request.Body}, f.err
}

func (f *fake) Publish(_ context.Context, _ string, base int64, text []byte) (int64, error) {
	f.text = string(text)
	return base + 1, f.err
}

func (f *fake) SetZone(context.Context, string, model.Zone, bool) (string, int64, error) {
	return "accepted", 2, f.err
}

func (f *fake) Status(context.Context) *api.Status {
	return &api.Status{
		Zones: []api.ZoneStatus{}, Hosts: []api.HostStatus{}, Findings: []string{"a finding"},
		Organisations: []api.OrganisationStatus{{Organisation: "schools"}, {Organisation: "parishes"}},
	}
}

func (f *fake) Events(time.Time) []blackboard.Event {
	return []blackboard.Event{{Time: time.UnixMilli(5), Part: "shard", Message: "took over"}}
}

func exampleText(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../examples/kerherve/daisyfold.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// setup returns the API over a fake with one job of each of two organisations.
func setup(t *testing.T) (*fake, Deps) {
	t.Helper()
	f := &fake{jobs: map[model.JobKey]model.Job{}}
	for _, org := range []model.Organisation{"schools", "parishes"} {
		key := model.JobKey{Organisation: org, ID: model.JobID(org + "-1")}
		f.jobs[key] = model.Job{Spec: model.JobSpec{Key: key, Service: "proofs", Tasks: 1}, State: model.JobRunning}
	}
	raw := exampleText(t)
	text, findings := config.Parse("t", []byte(raw))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	current := &blackboard.Configuration{Version: 1, Raw: []byte(raw), Parsed: text}
	return f, Deps{
		Jobs: f, Calls: f, Configs: f, Status: f,
		Config: func() *blackboard.Configuration { return current },
	}
}

// exchange is one request and what is expected of the answer.
type exchange struct {
	name, method, path, key, body string
	contentType                   string
	err                           error
	status                        int
	outcome                       model.Outcome
	code                          apierror.Code
}

// send sends the request to the API and returns the answer.
func (x *exchange) send(deps Deps) *httptest.ResponseRecorder {
	req := httptest.NewRequest(x.method, x.path, strings.NewReader(x.body))
	if x.key != "" {
		req.Header.Set("Authorization", "Bearer "+x.key)
	}
	req.Header.Set("Content-Type", "application/json")
	if x.contentType != "" {
		req.Header.Set("Content-Type", x.contentType)
	}
	return serve(deps, req)
}

func serve(deps Deps, req *http.Request) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	NewHandler(deps).ServeHTTP(recorder, req)
	return recorder
}

func get(path, key string) *exchange {
	return &exchange{method: http.MethodGet, path: path, key: key}
}

func post(path, key, format string, args ...any) *exchange {
	return &exchange{method: http.MethodPost, path: path, key: key, body: fmt.Sprintf(format, args...)}
}
