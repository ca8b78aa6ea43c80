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

// TestWorkload guards against a workload that differs between two runs of one
// seed, and against a demo that is smaller than the design page asks for.
func TestWorkload(t *testing.T) {
	p, err := ExampleProfile("../../examples", "kerherve")
	if err != nil {
		t.Fatal(err)
	}
	w := NewWorkload(p, demoSize, "t", 7)
	if !reflect.DeepEqual(w, NewWorkload(p, demoSize, "t", 7)) {
		t.Error("one seed gave two workloads")
	}
	fates := map[judge.Expectation]int{}
	largest := 0
	for _, job := range w.jobs {
		fates[job.fate]++
		if job.fate != judge.ExpectReject {
			largest = max(largest, job.request.Tasks*job.request.Accelerators.Value)
		}
	}
	if len(w.jobs) < 200 || fates[judge.ExpectReject] == 0 || fates[judge.ExpectCancel] == 0 || largest != 32 {
		t.Errorf("%d jobs with fates %v, the largest has %d accelerators", len(w.jobs), fates, largest)
	}
	once := 0
	for _, r := range w.requests {
		if r.nonRepeatable {
			once++
		}
	}
	if len(w.requests) < 2000 || once == 0 {
		t.Errorf("%d requests, %d non-repeatable", len(w.requests), once)
	}
}

// TestSettle guards against a caller that takes a broken connection for an answer
// or that sends a settled request again.
func TestSettle(t *testing.T) {
	failure := func(outcome api.ErrorOutcome, code string) error {
		return &api.ErrorStatusCode{StatusCode: 503, Response: api.Error{Outcome: outcome, Code: code}}
	}
	cases := []struct {
		err   error
		reply judge.Reply
		next  verdict
	}{
		{errors.New("connection reset"), judge.ReplyNone, another},
		{failure(api.ErrorOutcomeNotRun, "leaving"), judge.ReplyNotRun, another},
		{failure(api.ErrorOutcomeNotRun, "overloaded"), judge.ReplyNotRun, finish},
		{failure(api.ErrorOutcomeUnknown, "unknown_outcome"), judge.ReplyUnknown, finish},
		{failure(api.ErrorOutcomeRan, "answer_not_kept"), judge.ReplyRan, finish},
	}
	for _, c := range cases {
		if reply, next := settle(c.err); reply != c.reply || next != c.next {
			t.Errorf("%v: got %q, %v", c.err, reply, next)
		}
	}
}

// TestEditModel guards against a check that lets two edits of one version be
// accepted, or that blames an edit whose outcome is unknown.
func TestEditModel(t *testing.T) {
	op := func(client int, out editResult) porcupine.Operation {
		call := int64(client)
		return porcupine.Operation{ClientId: client, Input: edit{base: 1}, Output: out, Call: call, Return: call + int64(time.Second)}
	}
	won := editResult{accepted: true, version: 2}
	cases := map[porcupine.CheckResult][]porcupine.Operation{
		porcupine.Ok:      {op(0, won), op(1, editResult{}), op(2, editResult{unknown: true})},
		porcupine.Illegal: {op(0, won), op(1, won)},
	}
	for want, history := range cases {
		if got := porcupine.CheckOperationsTimeout(editModel.ToModel(), history, 0); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}
