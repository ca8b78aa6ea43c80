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

const octets = "application/octet-stream"

// TestEveryErrorCarriesAnOutcome guards against errors from which a caller cannot tell
// whether its work ran.
func TestEveryErrorCarriesAnOutcome(t *testing.T) {
	const notRun, unknown, ran = model.OutcomeNotRun, model.OutcomeUnknown, model.OutcomeRan
	job := `{"service": "proofs", "tasks": 1}`
	large := strings.Repeat("x", maxBodyBytes+1)
	cases := []exchange{
		{name: "no key", method: "GET", path: "/v1/jobs", status: 401, outcome: notRun, code: apierror.CodeUnauthorised},
		{name: "wrong key", method: "GET", path: "/v1/jobs", key: "x", status: 401, outcome: notRun, code: apierror.CodeUnauthorised},
		{name: "no such path", method: "GET", path: "/v2", key: "schools-key", status: 404, outcome: notRun, code: apierror.CodeNotFound},
		{name: "wrong method", method: "DELETE", path: "/v1/jobs", key: "schools-key", status: 405, outcome: notRun, code: apierror.CodeBadInput},
		{name: "bad JSON", method: "POST", path: "/v1/jobs", key: "schools-key", body: "{", status: 400, outcome: notRun, code: apierror.CodeBadInput},
		{name: "bad content type", method: "POST", path: "/v1/jobs", key: "schools-key", body: job, contentType: "text/plain", status: 400, outcome: notRun, code: apierror.CodeBadInput},
		{name: "bad parameter", method: "GET", path: "/v1/jobs?limit=0", key: "schools-key", status: 400, outcome: notRun, code: apierror.CodeBadInput},
		{name: "unknown state", method: "GET", path: "/v1/jobs?state=lost", key: "schools-key", status: 400, outcome: notRun, code: apierror.CodeBadInput},
		{name: "body over the bound", method: "POST", path: "/v1/services/exchange/call", key: "schools-key", body: large, contentType: octets, status: 413, outcome: notRun, code: apierror.CodeTooLarge},
		{name: "unknown service", method: "POST", path: "/v1/jobs", key: "schools-key", body: `{"service": "x", "tasks": 1}`, status: 400, outcome: notRun, code: apierror.CodeBadInput},
		{name: "job for a request service", method: "POST", path: "/v1/jobs", key: "schools-key", body: `{"service": "orders", "tasks": 1}`, status: 400, outcome: notRun, code: apierror.CodeBadInput},
		{name: "too many tasks", method: "POST", path: "/v1/jobs", key: "schools-key", body: `{"service": "proofs", "tasks": 9}`, status: 422, outcome: notRun, code: apierror.CodeImpossible},
		{name: "unknown zone of a job", method: "POST", path: "/v1/jobs", key: "schools-key", body: `{"service": "proofs", "tasks": 1, "zone": "x"}`, status: 400, outcome: notRun, code: apierror.CodeBadInput},
		{name: "id with a space", method: "POST", path: "/v1/jobs", key: "schools-key", body: `{"service": "proofs", "tasks": 1, "id": "a b"}`, status: 400, outcome: notRun, code: apierror.CodeBadInput},
		{name: "operator submits", method: "POST", path: "/v1/jobs", key: "operator-key", body: job, status: 403, outcome: notRun, code: apierror.CodeForbidden},
		{name: "unknown job", method: "GET", path: "/v1/jobs/none/wait", key: "schools-key", status: 404, outcome: notRun, code: apierror.CodeNotFound},
		{name: "operator without organisation", method: "GET", path: "/v1/jobs/schools-1", key: "operator-key", status: 400, outcome: notRun, code: apierror.CodeBadInput},
		{name: "call of a job service", method: "POST", path: "/v1/services/proofs/call", key: "schools-key", contentType: octets, status: 400, outcome: notRun, code: apierror.CodeBadInput},
		{name: "call of no service", method: "POST", path: "/v1/services/none/call", key: "schools-key", contentType: octets, status: 404, outcome: notRun, code: apierror.CodeNotFound},
		{name: "organisation publishes", method: "POST", path: "/v1/config", key: "schools-key", body: `{"id": "a", "baseVersion": 1, "text": ""}`, status: 403, outcome: notRun, code: apierror.CodeForbidden},
		{name: "organisation reads the text", method: "GET", path: "/v1/config", key: "schools-key", status: 403, outcome: notRun, code: apierror.CodeForbidden},
		{name: "organisation reads events", method: "GET", path: "/v1/events", key: "schools-key", status: 403, outcome: notRun, code: apierror.CodeForbidden},
		{name: "organisation takes a zone out", method: "POST", path: "/v1/zones/brest", key: "schools-key", body: `{"id": "a", "inService": false}`, status: 403, outcome: notRun, code: apierror.CodeForbidden},
		{name: "unknown zone", method: "POST", path: "/v1/zones/none", key: "operator-key", body: `{"id": "a", "inService": false}`, status: 404, outcome: notRun, code: apierror.CodeNotFound},
		{name: "text with findings", method: "POST", path: "/v1/config", key: "operator-key", body: `{"id": "a", "baseVersion": 1, "text": "{}"}`, status: 400, outcome: notRun, code: apierror.CodeBadInput},
		{name: "refused job", method: "POST", path: "/v1/jobs", key: "schools-key", body: job, err: apierror.NotRun(apierror.CodeQuota, "full"), status: 429, outcome: notRun, code: apierror.CodeQuota},
		{name: "wrapped error of a job", method: "POST", path: "/v1/jobs", key: "schools-key", body: job, err: trace.Wrap(apierror.NotRun(apierror.CodeLeaving, "leaving")), status: 503, outcome: notRun, code: apierror.CodeLeaving},
		{name: "untyped error of a job", method: "POST", path: "/v1/jobs", key: "schools-key", body: job, err: errors.New("broken"), status: 500, outcome: unknown, code: apierror.CodeInternal},
		{name: "untyped error of a cancellation", method: "POST", path: "/v1/jobs/schools-1/cancel", key: "schools-key", err: errors.New("broken"), status: 500, outcome: unknown, code: apierror.CodeInternal},
		{name: "failed wait", method: "GET", path: "/v1/jobs/schools-1/wait", key: "schools-key", err: errors.New("broken"), status: 500, outcome: unknown, code: apierror.CodeInternal},
		{name: "call without a kept answer", method: "POST", path: "/v1/services/orders/call", key: "schools-key", contentType: octets, err: apierror.Ran(apierror.CodeAnswerNotKept, "ran before"), status: 410, outcome: ran, code: apierror.CodeAnswerNotKept},
		{name: "call with unknown outcome", method: "POST", path: "/v1/services/orders/call", key: "schools-key", contentType: octets, err: apierror.Unknown(apierror.CodeUnknownOutcome, "lost"), status: 502, outcome: unknown, code: apierror.CodeUnknownOutcome},
		{name: "zone conflict", method: "POST", path: "/v1/zones/brest", key: "operator-key", body: `{"id": "a", "inService": false}`, err: apierror.NotRun(apierror.CodeVersionConflict, "raced"), status: 409, outcome: notRun, code: apierror.CodeVersionConflict},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f, deps := setup(t)
			f.err = c.err
			checkError(t, &c, deps)
		})
	}
}

func checkError(t *testing.T, x *exchange, deps Deps) {
	t.Helper()
	recorder := x.send(deps)
	var body api.Error
	if err := json.Unmarshal(recorder.Body.Bytes(), &body); err != nil {
		t.Fatalf("status %d, body %q: %v", recorder.Code, recorder.Body, err)
	}
	if recorder.Code != x.status || body.Outcome != api.ErrorOutcome(x.outcome) || body.Code != string(x.code) {
		t.Errorf("got %d %s %s (%s), want %d %s %s",
			recorder.Code, body.Outcome, body.Code, body.Message, x.status, x.outcome, x.code)
	}
}

// TestNoConfiguration guards against a host that serves work before it knows the
// organisations, and against a first text from somebody without an operator's key.
func TestNoConfiguration(t *testing.T) {
	f, deps := setup(t)
	deps.Config = func() *blackboard.Configuration { return nil }
	for _, path := range []string{"/v1/jobs", "/v1/status", "/v1/config", "/v1/jobs/schools-1"} {
		for _, key := range []string{"", "schools-key", "operator-key"} {
			x := get(path, key)
			x.status, x.outcome, x.code = 503, model.OutcomeNotRun, apierror.CodeNoConfig
			checkError(t, x, deps)
		}
	}
	if got := get("/readyz", "").send(deps).Code; got != http.StatusServiceUnavailable {
		t.Errorf("readyz answered %d", got)
	}
	text, err := json.Marshal(exampleText(t))
	if err != nil {
		t.Fatal(err)
	}
	publish := func(key string) int {
		return post("/v1/config", key, `{"id": "a", "baseVersion": 0, "text": %s}`, text).send(deps).Code
	}
	if got := publish("schools-key"); got != http.StatusUnauthorized {
		t.Errorf("the key of an organisation got %d", got)
	}
	if got := publish("operator-key"); got != http.StatusOK || f.text == "" {
		t.Errorf("the key of an operator got %d", got)
	}
	deps.BootstrapKeyHash = auth.HashKey("first-key")
	if got := publish("operator-key"); got != http.StatusUnauthorized {
		t.Errorf("with a bootstrap key the key of an operator got %d", got)
	}
	if got := publish("first-key"); got != http.StatusOK {
		t.Errorf("the bootstrap key got %d", got)
	}
}

// TestOrganisationsAreSeparate guards against an organisation that sees or cancels
// another's job, whether or not the job exists.
func TestOrganisationsAreSeparate(t *testing.T) {
	f, deps := setup(t)
	for _, path := range []string{"", "/wait", "/explain", "/cancel"} {
		for query, code := range map[string]int{"": 404, "?organisation=parishes": 403} {
			x := get("/v1/jobs/parishes-1"+path+query, "schools-key")
			if path == "/cancel" {
				x.method = http.MethodPost
			}
			if got := x.send(deps).Code; got != code {
				t.Errorf("%s: got %d, want %d", x.path, got, code)
			}
		}
	}
	if f.by != "" {
		t.Errorf("a job was cancelled by %s", f.by)
	}
	list := get("/v1/jobs", "schools-key").send(deps).Body.String()
	if strings.Contains(list, "parishes") || !strings.Contains(list, "schools-1") {
		t.Errorf("the list is %s", list)
	}
	status := get("/v1/status", "schools-key").send(deps).Body.String()
	if strings.Contains(status, "parishes") || strings.Contains(status, "a finding") {
		t.Errorf("the status is %s", status)
	}
	if got := get("/v1/jobs/parishes-1?organisation=parishes", "operator-key").send(deps).Code; got != http.StatusOK {
		t.Errorf("an operator got %d", got)
	}
}

// TestSubmit guards against jobs that lose what the text or the caller says.
func TestSubmit(t *testing.T) {
	f, deps := setup(t)
	answer := post("/v1/jobs", "schools-key",
		`{"id": "a", "service": "proofs", "tasks": 2, "accelerators": 4, "within": "rack", "declaredSeconds": 1.5}`).send(deps)
	want := model.JobSpec{
		Key: model.JobKey{Organisation: "schools", ID: "a"}, Service: "proofs", Tasks: 2,
		Task: model.Resources{CPUs: 1, Accelerators: 4}, Within: model.LevelRack,
		Priority: model.PriorityHigh, DeclaredRunTime: 1500 * time.Millisecond, Payload: []byte{},
	}
	got, _ := json.Marshal(f.spec)
	expected, _ := json.Marshal(want)
	if answer.Code != http.StatusOK || string(got) != string(expected) {
		t.Errorf("status %d, got %s, want %s", answer.Code, got, expected)
	}
	deps.Config().Parsed.Service("proofs").Repeatable = false
	post("/v1/jobs", "schools-key", `{"service": "proofs", "tasks": 1}`).send(deps)
	if f.spec.Key.ID == "" || !f.spec.NonRepeatable {
		t.Errorf("got id %q and non-repeatable %v", f.spec.Key.ID, f.spec.NonRepeatable)
	}
}

// TestCall guards against calls that may run twice although the service forbids it,
// and against timeouts over the service's deadline.
func TestCall(t *testing.T) {
	f, deps := setup(t)
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
		req.Header.Set("Content-Type", octets)
		req.Header.Set(c.header, c.value)
		recorder := serve(deps, req)
		if recorder.Code != http.StatusOK || recorder.Body.String() != "body" || recorder.Header().Get("Request-Id") != f.call.ID {
			t.Errorf("%+v: got %d %q", c, recorder.Code, recorder.Body)
		}
		if f.call.ID == "" || f.call.NonRepeatable != c.nonRepeatable || f.call.Timeout != c.timeout {
			t.Errorf("%+v: got %+v", c, f.call)
		}
	}
}

// TestFindingsOfAText guards against refused texts without the places of the faults.
func TestFindingsOfAText(t *testing.T) {
	_, deps := setup(t)
	recorder := post("/v1/config", "operator-key", `{"id": "a", "baseVersion": 1, "text": "{\"x\": 1}"}`).send(deps)
	var body api.Error
	if err := json.Unmarshal(recorder.Body.Bytes(), &body); err != nil {
		t.Fatal(err)
	}
	want := finding.Finding{File: publishedFile, Line: 1, Column: 2, Message: `unknown field "x"`}.String()
	for _, f := range body.Findings {
		if strings.HasPrefix(f, want) {
			return
		}
	}
	t.Errorf("got %q, want one with %q", body.Findings, want)
}

// TestWaitEnds guards against waits that run over their time or hold up a planned stop.
func TestWaitEnds(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			_, deps := setup(t)
			leaving := make(chan struct{})
			deps.Leaving = leaving
			want := 7 * time.Second
			if leaves {
				want = 2 * time.Second
				time.AfterFunc(want, func() { close(leaving) })
			}
			start := time.Now()
			recorder := get("/v1/jobs/schools-1/wait?seconds=7", "schools-key").send(deps)
			if got := time.Since(start); got != want || recorder.Code != http.StatusOK {
				t.Errorf("answered %d after %s, want 200 after %s", recorder.Code, got, want)
			}
			if !strings.Contains(recorder.Body.String(), `"running"`) {
				t.Errorf("got %s", recorder.Body)
			}
		})
	}
}

// TestReadyz guards against a host that gets work while it is not ready.
func TestReadyz(t *testing.T) {
	_, deps := setup(t)
	if got := get("/readyz", "").send(deps).Code; got != http.StatusOK {
		t.Errorf("got %d without a readiness function", got)
	}
	deps.Ready = func() error { return errors.New("leaving") }
	if got := get("/readyz", "").send(deps); got.Code != http.StatusServiceUnavailable || !strings.Contains(got.Body.String(), "leaving") {
		t.Errorf("got %d %s", got.Code, got.Body)
	}
}

// keySource gives the generated client its key.
type keySource string

func (k keySource) Bearer(context.Context, api.OperationName) (api.Bearer, error) {
	return api.Bearer{Token: string(k)}, nil
}

// TestGeneratedClient guards against answers that the generated client cannot read, and
// against bodies of undeclared length that pass the bound.
func TestGeneratedClient(t *testing.T) {
	f, deps := setup(t)
	server := httptest.NewServer(NewHandler(deps))
	defer server.Close()
	client, err := api.NewClient(server.URL, keySource("schools-key"))
	if err != nil {
		t.Fatal(err)
	}
	call := func(body io.Reader) ([]byte, error) {
		answer, err := client.CallService(t.Context(), api.CallServiceReq{Data: body}, api.CallServiceParams{Service: "exchange"})
		if err != nil {
			return nil, err
		}
		return io.ReadAll(answer.Response)
	}
	largest := strings.Repeat("x", maxBodyBytes)
	if got, err := call(strings.NewReader(largest)); err != nil || string(got) != largest {
		t.Errorf("the largest body: %d bytes came back, error %v", len(got), err)
	}
	f.call = CallRequest{}
	_, err = call(io.MultiReader(strings.NewReader(largest), strings.NewReader("x")))
	var refused *api.ErrorStatusCode
	if !errors.As(err, &refused) || refused.StatusCode != http.StatusRequestEntityTooLarge || f.call.ID != "" {
		t.Errorf("a body over the bound got %v", err)
	}
	job, err := client.ShowJob(t.Context(), api.ShowJobParams{ID: "schools-1"})
	if err != nil || job.State != api.JobStateRunning {
		t.Errorf("got %v, error %v", job, err)
	}
}
