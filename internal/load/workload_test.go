package load

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/judge"
)

// TestWorkload guards against workloads that differ for the same seed, and against a demo
// that is smaller than docs/design.md requires.
func TestWorkload(t *testing.T) {
	p, err := ExampleProfile("../../examples", "kerherve")
	if err != nil {
		t.Fatal(err)
	}
	w := NewWorkload(p, demoWorkloadSize, "t", 7)
	if !reflect.DeepEqual(w, NewWorkload(p, demoWorkloadSize, "t", 7)) {
		t.Error("two workloads of the same seed differ")
	}
	expectations := map[judge.Expectation]int{}
	largest := 0
	for _, job := range w.jobs {
		expectations[job.expected]++
		if job.expected != judge.ExpectReject {
			largest = max(largest, job.request.Tasks*job.request.Accelerators.Value)
		}
	}
	if len(w.jobs) < 200 || expectations[judge.ExpectReject] == 0 || expectations[judge.ExpectCancel] == 0 || largest != 32 {
		t.Errorf("%d jobs with expected outcomes %v, the largest has %d accelerators", len(w.jobs), expectations, largest)
	}
	nonRepeatable := 0
	for _, r := range w.requests {
		if r.nonRepeatable {
			nonRepeatable++
		}
	}
	if len(w.requests) < 2000 || nonRepeatable == 0 {
		t.Errorf("%d requests, %d non-repeatable", len(w.requests), nonRepeatable)
	}
}

// TestClassifyError guards against a caller that takes a broken connection for a final
// outcome or retries a request that has one.
func TestClassifyError(t *testing.T) {
	failure := func(outcome api.ErrorOutcome, code string) error {
		return &api.ErrorStatusCode{StatusCode: 503, Response: api.Error{Outcome: outcome, Code: code}}
	}
	cases := []struct {
		err   error
		reply judge.Reply
		next  retryDecision
	}{
		{errors.New("connection reset"), judge.ReplyNone, tryNextHost},
		{failure(api.ErrorOutcomeNotRun, "leaving"), judge.ReplyNotRun, tryNextHost},
		{failure(api.ErrorOutcomeNotRun, "overloaded"), judge.ReplyNotRun, stopRetrying},
		{failure(api.ErrorOutcomeUnknown, "unknown_outcome"), judge.ReplyUnknown, stopRetrying},
		{failure(api.ErrorOutcomeRan, "answer_not_kept"), judge.ReplyRan, stopRetrying},
	}
	for _, c := range cases {
		if reply, next := classifyError(c.err); reply != c.reply || next != c.next {
			t.Errorf("%v: got %q, %v", c.err, reply, next)
		}
	}
}

// TestEditModel guards against a check that accepts two edits of the same version, or that
// rejects an edit whose outcome is unknown.
func TestEditModel(t *testing.T) {
	op := func(client int, out editResult) porcupine.Operation {
		call := int64(client)
		return porcupine.Operation{ClientId: client, Input: configEdit{baseVersion: 1}, Output: out, Call: call, Return: call + int64(time.Second)}
	}
	accepted := editResult{accepted: true, version: 2}
	cases := map[porcupine.CheckResult][]porcupine.Operation{
		porcupine.Ok:      {op(0, accepted), op(1, editResult{}), op(2, editResult{unknown: true})},
		porcupine.Illegal: {op(0, accepted), op(1, accepted)},
	}
	for want, history := range cases {
		if got := porcupine.CheckOperationsTimeout(editModel.ToModel(), history, 0); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}
