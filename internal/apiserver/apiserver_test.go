package apiserver

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/auth"
	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/finding"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/gravitational/trace"
)

const octetStream = "application/octet-stream"

// TestErrorsHaveOutcome checks that every error response has the expected status, outcome
// and code, so that a caller can tell whether its work ran.
func TestErrorsHaveOutcome(t *testing.T) {
	const notRun, unknown, ran = model.OutcomeNotRun, model.OutcomeUnknown, model.OutcomeRan
	job := `{"service": "proofs", "tasks": 1}`
	large := strings.Repeat("x", maxBodyBytes+1)
	cases := []apiRequest{
		{name: "no key", method: "GET", path: "/v1/jobs", status: 401, outcome: notRun, code: apierror.CodeUnauthorised},
		{name: "wrong key", method: "GET", path: "/v1/jobs", key: "x", status: 401, outcome: notRun, code: apierror.CodeUnauthorised},
		{name: "no such path", method: "GET", path: "/v2", key: "schools-key", status: 404, outcome: notRun, code: apierror.CodeNotFound},
		{name: "wrong method", method: "DELETE", path: "/v1/jobs", key: "schools-key", status: 405, outcome: notRun, code: apierror.CodeBadInput},
		{name: "bad JSON", method: "POST", path: "/v1/jobs", key: "schools-key", body: "{", status: 400, outcome: notRun, code: apierror.CodeBadInput},
		{name: "bad content type", method: "POST", path: "/v1/jobs", key: "schools-key", body: job, contentType: "text/plain", status: 400, outcome: notRun, code: apierror.CodeBadInput},
		{name: "bad parameter", method: "GET", path: "/v1/jobs?limit=0", key: "schools-key", status: 400, outcome: notRun, code: apierror.CodeBadInput},
		{name: "unknown state", method: "GET", path: "/v1/jobs?state=lost", key: "schools-key", status: 400, outcome: notRun, code: apierror.CodeBadInput},
		{name: "body over the size limit", method: "POST", path: "/v1/services/exchange/call", key: "schools-key", body: large, contentType: octetStream, status: 413, outcome: notRun, code: apierror.CodeTooLarge},
		{name: "unknown service", method: "POST", path: "/v1/jobs", key: "schools-key", body: `{"service": "x", "tasks": 1}`, status: 400, outcome: notRun, code: apierror.CodeBadInput},
		{name: "job for a request service", method: "POST", path: "/v1/jobs", key: "schools-key", body: `{"service": "orders", "tasks": 1}`, status: 400, outcome: notRun, code: apierror.CodeBadInput},
		{name: "too many tasks", method: "POST", path: "/v1/jobs", key: "schools-key", body: `{"service": "proofs", "tasks": 9}`, status: 422, outcome: notRun, code: apierror.CodeCanNeverRun},
		{name: "unknown zone of a job", method: "POST", path: "/v1/jobs", key: "schools-key", body: `{"service": "proofs", "tasks": 1, "zone": "x"}`, status: 400, outcome: notRun, code: apierror.CodeBadInput},
		{name: "id with a space", method: "POST", path: "/v1/jobs", key: "schools-key", body: `{"service": "proofs", "tasks": 1, "id": "a b"}`, status: 400, outcome: notRun, code: apierror.CodeBadInput},
		{name: "operator submits", method: "POST", path: "/v1/jobs", key: "operator-key", body: job, status: 403, outcome: notRun, code: apierror.CodeForbidden},
		{name: "unknown job", method: "GET", path: "/v1/jobs/none/wait", key: "schools-key", status: 404, outcome: notRun, code: apierror.CodeNotFound},
		{name: "operator without organisation", method: "GET", path: "/v1/jobs/schools-1", key: "operator-key", status: 400, outcome: notRun, code: apierror.CodeBadInput},
		{name: "call of a job service", method: "POST", path: "/v1/services/proofs/call", key: "schools-key", contentType: octetStream, status: 400, outcome: notRun, code: apierror.CodeBadInput},
		{name: "call of an unknown service", method: "POST", path: "/v1/services/none/call", key: "schools-key", contentType: octetStream, status: 404, outcome: notRun, code: apierror.CodeNotFound},
		{name: "organisation publishes a configuration", method: "POST", path: "/v1/config", key: "schools-key", body: `{"id": "a", "baseVersion": 1, "text": ""}`, status: 403, outcome: notRun, code: apierror.CodeForbidden},
		{name: "organisation reads the configuration", method: "GET", path: "/v1/config", key: "schools-key", status: 403, outcome: notRun, code: apierror.CodeForbidden},
		{name: "organisation reads events", method: "GET", path: "/v1/events", key: "schools-key", status: 403, outcome: notRun, code: apierror.CodeForbidden},
		{name: "organisation takes a zone out", method: "POST", path: "/v1/zones/brest", key: "schools-key", body: `{"id": "a", "inService": false}`, status: 403, outcome: notRun, code: apierror.CodeForbidden},
		{name: "unknown zone", method: "POST", path: "/v1/zones/none", key: "operator-key", body: `{"id": "a", "inService": false}`, status: 404, outcome: notRun, code: apierror.CodeNotFound},
		{name: "invalid configuration", method: "POST", path: "/v1/config", key: "operator-key", body: `{"id": "a", "baseVersion": 1, "text": "{}"}`, status: 400, outcome: notRun, code: apierror.CodeBadInput},
		{name: "rejected job", method: "POST", path: "/v1/jobs", key: "schools-key", body: job, serviceErr: apierror.NotRun(apierror.CodeQuotaReached, "full"), status: 429, outcome: notRun, code: apierror.CodeQuotaReached},
		{name: "wrapped error of a job", method: "POST", path: "/v1/jobs", key: "schools-key", body: job, serviceErr: trace.Wrap(apierror.NotRun(apierror.CodeLeaving, "leaving")), status: 503, outcome: notRun, code: apierror.CodeLeaving},
		{name: "untyped error of a job", method: "POST", path: "/v1/jobs", key: "schools-key", body: job, serviceErr: errors.New("broken"), status: 500, outcome: unknown, code: apierror.CodeInternal},
		{name: "untyped error of a cancellation", method: "POST", path: "/v1/jobs/schools-1/cancel", key: "schools-key", serviceErr: errors.New("broken"), status: 500, outcome: unknown, code: apierror.CodeInternal},
		{name: "failed wait", method: "GET", path: "/v1/jobs/schools-1/wait", key: "schools-key", serviceErr: errors.New("broken"), status: 500, outcome: unknown, code: apierror.CodeInternal},
		{name: "call whose response is not kept", method: "POST", path: "/v1/services/orders/call", key: "schools-key", contentType: octetStream, serviceErr: apierror.Ran(apierror.CodeAnswerNotKept, "ran before"), status: 410, outcome: ran, code: apierror.CodeAnswerNotKept},
		{name: "call with unknown outcome", method: "POST", path: "/v1/services/orders/call", key: "schools-key", contentType: octetStream, serviceErr: apierror.Unknown(apierror.CodeUnknownOutcome, "lost"), status: 502, outcome: unknown, code: apierror.CodeUnknownOutcome},
		{name: "zone conflict", method: "POST", path: "/v1/zones/brest", key: "operator-key", body: `{"id": "a", "inService": false}`, serviceErr: apierror.NotRun(apierror.CodeVersionConflict, "raced"), status: 409, outcome: notRun, code: apierror.CodeVersionConflict},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f, deps := newTestDeps(t)
			f.err = c.serviceErr
			checkError(t, &c, deps)
		})
	}
}

func checkError(t *testing.T, r *apiRequest, deps Deps) {
	t.Helper()
	recorder := r.send(deps)
	var body api.Error
	if err := json.Unmarshal(recorder.Body.Bytes(), &body); err != nil {
		t.Fatalf("status %d, body %q: %v", recorder.Code, recorder.Body, err)
	}
	if recorder.Code != r.status || body.Outcome != api.ErrorOutcome(r.outcome) || body.Code != string(r.code) {
		t.Errorf("got %d %s %s (%s), want %d %s %s",
			recorder.Code, body.Outcome, body.Code, body.Message, r.status, r.outcome, r.code)
	}
}

// TestBeforeFirstConfiguration checks that a host without a configuration rejects all
// work, and that the first configuration is accepted only with the bootstrap key or, when
// none is set, with an operator key of that configuration.
func TestBeforeFirstConfiguration(t *testing.T) {
	f, deps := newTestDeps(t)
	deps.Config = func() *blackboard.Configuration { return nil }
	for _, path := range []string{"/v1/jobs", "/v1/status", "/v1/config", "/v1/jobs/schools-1"} {
		for _, key := range []string{"", "schools-key", "operator-key"} {
			r := get(path, key)
			r.status, r.outcome, r.code = 503, model.OutcomeNotRun, apierror.CodeNoConfiguration
			checkError(t, r, deps)
		}
	}
	if got := get("/readyz", "").send(deps).Code; got != http.StatusServiceUnavailable {
		t.Errorf("readyz: got status %d", got)
	}
	text, err := json.Marshal(exampleConfig(t))
	if err != nil {
		t.Fatal(err)
	}
	publish := func(key string) int {
		return post("/v1/config", key, `{"id": "a", "baseVersion": 0, "text": %s}`, text).send(deps).Code
	}
	if got := publish("schools-key"); got != http.StatusUnauthorized {
		t.Errorf("organisation key: got status %d", got)
	}
	if got := publish("operator-key"); got != http.StatusOK || f.publishedText == "" {
		t.Errorf("operator key: got status %d", got)
	}
	deps.BootstrapKeyHash = auth.HashKey("first-key")
	if got := publish("operator-key"); got != http.StatusUnauthorized {
		t.Errorf("operator key while a bootstrap key is set: got status %d", got)
	}
	if got := publish("first-key"); got != http.StatusOK {
		t.Errorf("bootstrap key: got status %d", got)
	}
}

// TestOrganisationIsolation checks that an organisation can neither see nor cancel the
// jobs of another one.
func TestOrganisationIsolation(t *testing.T) {
	f, deps := newTestDeps(t)
	for _, path := range []string{"", "/wait", "/explain", "/cancel"} {
		for query, code := range map[string]int{"": 404, "?organisation=parishes": 403} {
			r := get("/v1/jobs/parishes-1"+path+query, "schools-key")
			if path == "/cancel" {
				r.method = http.MethodPost
			}
			if got := r.send(deps).Code; got != code {
				t.Errorf("%s: got %d, want %d", r.path, got, code)
			}
		}
	}
	if f.cancelledBy != "" {
		t.Errorf("a job was cancelled by %s", f.cancelledBy)
	}
	list := get("/v1/jobs", "schools-key").send(deps).Body.String()
	if strings.Contains(list, "parishes") || !strings.Contains(list, "schools-1") {
		t.Errorf("job list: got %s", list)
	}
	status := get("/v1/status", "schools-key").send(deps).Body.String()
	if strings.Contains(status, "parishes") || strings.Contains(status, "a finding") {
		t.Errorf("status: got %s", status)
	}
	if got := get("/v1/jobs/parishes-1?organisation=parishes", "operator-key").send(deps).Code; got != http.StatusOK {
		t.Errorf("operator: got status %d", got)
	}
}

// TestSubmitJob checks that the submitted job combines the caller's request with the
// settings of the service in the configuration.
func TestSubmitJob(t *testing.T) {
	f, deps := newTestDeps(t)
	response := post("/v1/jobs", "schools-key",
		`{"id": "a", "service": "proofs", "tasks": 2, "accelerators": 4, "within": "rack", "declaredSeconds": 1.5}`).send(deps)
	want := model.JobSpec{
		Key: model.JobKey{Organisation: "schools", ID: "a"}, Service: "proofs", Tasks: 2,
		Task: model.Resources{CPUs: 1, Accelerators: 4}, Within: model.LevelRack,
		Priority: model.PriorityHigh, DeclaredRunTime: 1500 * time.Millisecond, Payload: []byte{},
	}
	got, _ := json.Marshal(f.submittedSpec)
	expected, _ := json.Marshal(want)
	if response.Code != http.StatusOK || string(got) != string(expected) {
		t.Errorf("status %d, got %s, want %s", response.Code, got, expected)
	}
	deps.Config().Parsed.Service("proofs").Repeatable = false
	post("/v1/jobs", "schools-key", `{"service": "proofs", "tasks": 1}`).send(deps)
	if f.submittedSpec.Key.ID == "" || !f.submittedSpec.NonRepeatable {
		t.Errorf("got id %q and non-repeatable %v", f.submittedSpec.Key.ID, f.submittedSpec.NonRepeatable)
	}
}

// TestCallService checks that calls to a non-repeatable service are marked non-repeatable,
// and that a caller's timeout is capped at the service's deadline.
func TestCallService(t *testing.T) {
	f, deps := newTestDeps(t)
	cases := []struct {
		service, header, value string
		nonRepeatable          bool
		timeout                time.Duration
	}{
		{"exchange", "Request-Id", "r1", false, 5 * time.Second},
		{"exchange", "Non-Repeatable", "true", true, 5 * time.Second},
		{"orders", "Timeout-Ms", "1500", true, 1500 * time.Millisecond},
		{"orders", "Timeout-Ms", "600000", true, 10 * time.Second},
	}
	for _, c := range cases {
		req, err := http.NewRequest(http.MethodPost, "/v1/services/"+c.service+"/call", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer schools-key")
		req.Header.Set("Content-Type", octetStream)
		req.Header.Set(c.header, c.value)
		recorder := serve(deps, req)
		if recorder.Code != http.StatusOK || recorder.Body.String() != "body" || recorder.Header().Get("Request-Id") != f.lastCall.ID {
			t.Errorf("%+v: got %d %q", c, recorder.Code, recorder.Body)
		}
		if f.lastCall.ID == "" || f.lastCall.NonRepeatable != c.nonRepeatable || f.lastCall.Timeout != c.timeout {
			t.Errorf("%+v: got %+v", c, f.lastCall)
		}
	}
}

// TestPublishConfigFindings checks that the rejection of an invalid configuration gives the
// position of the fault.
func TestPublishConfigFindings(t *testing.T) {
	_, deps := newTestDeps(t)
	recorder := post("/v1/config", "operator-key", `{"id": "a", "baseVersion": 1, "text": "{\"x\": 1}"}`).send(deps)
	var body api.Error
	if err := json.Unmarshal(recorder.Body.Bytes(), &body); err != nil {
		t.Fatal(err)
	}
	want := finding.Finding{File: publishedFileName, Line: 1, Column: 2, Message: `unknown field "x"`}.String()
	for _, f := range body.Findings {
		if strings.HasPrefix(f, want) {
			return
		}
	}
	t.Errorf("got %q, want a finding that begins with %q", body.Findings, want)
}

// TestWaitJobEnds checks that a wait ends at its timeout, and early when a planned stop
// begins, so that waits do not delay the stop.
func TestWaitJobEnds(t *testing.T) {
	for _, plannedStop := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			_, deps := newTestDeps(t)
			leaving := make(chan struct{})
			deps.Leaving = leaving
			want := 7 * time.Second
			if plannedStop {
				want = 2 * time.Second
				time.AfterFunc(want, func() { close(leaving) })
			}
			start := time.Now()
			recorder := get("/v1/jobs/schools-1/wait?seconds=7", "schools-key").send(deps)
			if got := time.Since(start); got != want || recorder.Code != http.StatusOK {
				t.Errorf("got status %d after %s, want 200 after %s", recorder.Code, got, want)
			}
			if !strings.Contains(recorder.Body.String(), `"running"`) {
				t.Errorf("got %s", recorder.Body)
			}
		})
	}
}

// TestReadyz checks that the readiness endpoint fails while the host is not ready, so that
// it gets no new work.
func TestReadyz(t *testing.T) {
	_, deps := newTestDeps(t)
	if got := get("/readyz", "").send(deps).Code; got != http.StatusOK {
		t.Errorf("got %d without a readiness function", got)
	}
	deps.Ready = func() error { return errors.New("leaving") }
	if got := get("/readyz", "").send(deps); got.Code != http.StatusServiceUnavailable || !strings.Contains(got.Body.String(), "leaving") {
		t.Errorf("got %d %s", got.Code, got.Body)
	}
}

// staticKey implements api.SecuritySource with a fixed key.
type staticKey string

func (k staticKey) Bearer(context.Context, api.OperationName) (api.Bearer, error) {
	return api.Bearer{Token: string(k)}, nil
}

// TestGeneratedClient checks that the generated client can decode responses, and that a
// body of undeclared length over the size limit is rejected.
func TestGeneratedClient(t *testing.T) {
	f, deps := newTestDeps(t)
	server := httptest.NewServer(NewHandler(deps))
	defer server.Close()
	client, err := api.NewClient(server.URL, staticKey("schools-key"))
	if err != nil {
		t.Fatal(err)
	}
	call := func(body io.Reader) ([]byte, error) {
		response, err := client.CallService(t.Context(), api.CallServiceReq{Data: body}, api.CallServiceParams{Service: "exchange"})
		if err != nil {
			return nil, err
		}
		return io.ReadAll(response.Response)
	}
	largest := strings.Repeat("x", maxBodyBytes)
	if got, err := call(strings.NewReader(largest)); err != nil || string(got) != largest {
		t.Errorf("largest body: got %d bytes back, error %v", len(got), err)
	}
	f.lastCall = CallRequest{}
	_, err = call(io.MultiReader(strings.NewReader(largest), strings.NewReader("x")))
	var apiErr *api.ErrorStatusCode
	if !errors.As(err, &apiErr) || apiErr.StatusCode != http.StatusRequestEntityTooLarge || f.lastCall.ID != "" {
		t.Errorf("body over the size limit: got error %v", err)
	}
	job, err := client.ShowJob(t.Context(), api.ShowJobParams{ID: "schools-1"})
	if err != nil || job.State != api.JobStateRunning {
		t.Errorf("got %v, error %v", job, err)
	}
}
