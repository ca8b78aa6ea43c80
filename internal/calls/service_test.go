package calls

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/hostlist"
	"github.com/daisyfold/daisyfold/internal/platform/targetlink"
)

// inWorld runs a test with hosts on virtual time and without random faults.
func inWorld(t *testing.T, hosts int, test func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		test(t, newWorld(ctx, 1, hosts, faults{}))
		time.Sleep(5 * time.Second) // past every deadline
		cancel()
		synctest.Wait()
	})
}

// do submits a request for a service with the id as body.
func (h *host) do(id string, service model.Service) (Answer, error) {
	return h.svc.Do(h.w.ctx, Request{ID: id, Organisation: "o", Service: service, Body: []byte(id)})
}

// expect fails the test unless err has the outcome and code.
func expect(t *testing.T, what string, err error, outcome model.Outcome, code apierror.Code) {
	t.Helper()
	var e *apierror.Error
	if !errors.As(err, &e) || e.Outcome != outcome || e.Code != code {
		t.Errorf("%s: got %v, want %s with code %s", what, err, outcome, code)
	}
}

// TestRestartedHostForgetsPromise guards against a host that repeats an old not_run
// after another one restarted, forgot its promise and ran a later submission.
func TestRestartedHostForgetsPromise(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		w.host(0).logDown.Store(true)
		_, err := w.host(0).do("r", "once")
		expect(t, "log down", err, model.OutcomeNotRun, apierror.CodeLogUnavailable)
		w.host(0).logDown.Store(false)
		_, err = w.host(1).do("r", "once")
		expect(t, "host that promised", err, model.OutcomeNotRun, apierror.CodeIDReused)
		w.kill(1)
		w.restart(1)
		w.setMembers(nil)
		ran, err := w.host(1).do("r", "once")
		if err != nil {
			t.Fatalf("restarted host: %v", err)
		}
		again, err := w.host(0).do("r", "once")
		if err != nil || string(again.Body) != string(ran.Body) {
			t.Errorf("first host: got %q, %v, want the answer %q", again.Body, err, ran.Body)
		}
	})
}

// TestPromiseIsNotAnOutcome guards against a host that promised not to send a
// request and tells its own caller not_run although another host ran it.
func TestPromiseIsNotAnOutcome(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		ran, err := w.host(0).do("r", "once")
		if err != nil {
			t.Fatal(err)
		}
		if a := w.host(1).svc.Outcome("o", "other"); a.Outcome != PeerNone {
			t.Fatalf("outcome of an id nobody submitted: %+v, want none", a)
		}
		w.host(2).svc.entries.promise(time.Now(), callKey{org: "o", id: "r"})
		again, err := w.host(2).do("r", "once")
		if err != nil || string(again.Body) != string(ran.Body) {
			t.Errorf("got %q, %v, want the answer %q", again.Body, err, ran.Body)
		}
	})
}

// TestWithdrawnRunKeepsPromise guards against a host that tells another one that it
// will not send a request, ends its own run as unknown and sends it later.
func TestWithdrawnRunKeepsPromise(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		w.kill(1)
		h := w.host(0)
		h.logDown.Store(true)
		ended := make(chan error, 1)
		go func() {
			_, err := h.do("r", "once")
			ended <- err
		}()
		synctest.Wait()
		if a := h.svc.Outcome("o", "r"); a.Outcome != PeerNone {
			t.Fatalf("outcome of a withdrawn run: %+v, want none", a)
		}
		expect(t, "first submission", <-ended, model.OutcomeUnknown, apierror.CodeLogUnavailable)
		h.logDown.Store(false)
		_, err := h.do("r", "once")
		expect(t, "second submission", err, model.OutcomeUnknown, apierror.CodeIDReused)
	})
}

// TestLateIntentIsCancelled guards against an intent that lands after its host gave
// up and died, and leaves the request open although it never ran.
func TestLateIntentIsCancelled(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		w.faults.Store(&faults{appendLate: 1})
		_, err := w.host(0).do("r", "once")
		expect(t, "intent not recorded", err, model.OutcomeNotRun, apierror.CodeLogUnavailable)
		time.Sleep(10 * time.Second)
		w.faults.Store(&faults{})
		w.kill(0)
		_, err = w.host(1).do("r", "once")
		expect(t, "other host", err, model.OutcomeNotRun, apierror.CodeIDReused)
	})
}

// TestRestartedWinnerIsUnknown guards against a restarted host that denies a run of
// its earlier incarnation because its memory is empty.
func TestRestartedWinnerIsUnknown(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		w.faults.Store(&faults{silentRan: 1})
		ctx, cancel := context.WithTimeout(w.ctx, 500*time.Millisecond)
		defer cancel()
		go func() { _, _ = w.host(0).do("r", "once") }()
		<-ctx.Done()
		w.kill(0)
		w.restart(0)
		w.setMembers(nil)
		w.faults.Store(&faults{})
		for i := range 2 {
			_, err := w.host(i).do("r", "once")
			expect(t, string(w.host(i).id), err, model.OutcomeUnknown, apierror.CodeUnknownOutcome)
		}
	})
}

// TestRefusals guards against requests that are admitted against the configuration
// and against refusals with the wrong outcome or cause.
func TestRefusals(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		h := w.host(0)
		for _, tc := range []struct {
			service model.Service
			code    apierror.Code
		}{
			{"nowhere", apierror.CodeNotFound},
			{"render", apierror.CodeBadInput},
			{"empty", apierror.CodeNoTarget},
			{"needs-empty", apierror.CodeDependency},
			{"needs-nothing-there", apierror.CodeDependency},
		} {
			_, err := h.do("r-"+string(tc.service), tc.service)
			expect(t, string(tc.service), err, model.OutcomeNotRun, tc.code)
		}
		large := Request{Organisation: "o", Service: "again", Body: make([]byte, maxBodyBytes+1)}
		_, err := h.svc.Do(w.ctx, large)
		expect(t, "large body", err, model.OutcomeNotRun, apierror.CodeTooLarge)
		for range 2 {
			_, err = h.svc.Do(w.ctx, Request{Organisation: "slow", Service: "again"})
		}
		expect(t, "second request within a second", err, model.OutcomeNotRun, apierror.CodeQuota)
	})
}

// TestIDReused guards against an answer to another body under the same id, at the
// same host for any request and across hosts for non-repeatable ones.
func TestIDReused(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		for _, service := range []model.Service{"again", "once"} {
			if _, err := w.host(0).do("id-"+string(service), service); err != nil {
				t.Fatal(err)
			}
			other := Request{ID: "id-" + string(service), Organisation: "o", Service: service, Body: []byte("other")}
			_, err := w.host(0).svc.Do(w.ctx, other)
			expect(t, "same host", err, model.OutcomeNotRun, apierror.CodeIDReused)
			if service == "once" {
				_, err = w.host(1).svc.Do(w.ctx, other)
				expect(t, "other host", err, model.OutcomeNotRun, apierror.CodeIDReused)
			}
		}
	})
}

// TestSameIDSharesOneRun guards against concurrent submissions of one id at one host
// that run it more than once.
func TestSameIDSharesOneRun(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		bodies := make([]string, 10)
		var wg sync.WaitGroup
		for i := range bodies {
			wg.Go(func() {
				a, _ := w.host(0).do("r", "again")
				bodies[i] = string(a.Body)
			})
		}
		wg.Wait()
		for _, b := range bodies {
			if b != "run1" {
				t.Errorf("answers %v, want run1 for all", bodies)
				break
			}
		}
	})
}

// TestAnswersAreForgotten guards against memory that grows with every answer, and
// against an id that stays refused or answered for ever.
func TestAnswersAreForgotten(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		h := w.host(0)
		for _, service := range []model.Service{"again", "once"} {
			first, _ := h.do("id-"+string(service), service)
			time.Sleep(keepTime - time.Second)
			if a, _ := h.do("id-"+string(service), service); string(a.Body) != string(first.Body) {
				t.Errorf("%s: got %q before the keep time, want %q", service, a.Body, first.Body)
			}
			time.Sleep(2 * time.Second)
			if a, _ := h.do("id-"+string(service), service); string(a.Body) == string(first.Body) {
				t.Errorf("%s: the answer outlived the keep time", service)
			}
		}
		time.Sleep(openKeepTime)
		h.svc.entries.expire(time.Now())
		h.table.expire(time.Now())
		if len(h.svc.entries.byKey)+len(h.table.calls)+len(h.table.cancelled) != 0 || h.svc.entries.bytes+h.table.bytes != 0 {
			t.Error("entries are left after the keep time")
		}
	})
}

// TestZoneOut guards against requests to targets in a zone that operators took out,
// and against dependents that run while all zones of a service are out.
func TestZoneOut(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		h := w.host(0)
		text := testText()
		text.AvailabilityZones[0].InService = false
		h.board.Config.Put(&blackboard.Configuration{Version: 2, Parsed: text})
		h.svc.gate.refresh()
		p := newPlan(Request{Service: "again"})
		p.service = &servicePlan{}
		for range 10 { // of the 16 slots in zone b
			if c, err := h.svc.gate.acquire(w.ctx, p, nil); c.Target.Zone != "b" {
				t.Errorf("target %+v, %v, want one in zone b", c.Target, err)
			}
		}
		both := testText()
		both.AvailabilityZones[0].InService, both.AvailabilityZones[1].InService = false, false
		h.board.Config.Put(&blackboard.Configuration{Version: 3, Parsed: both})
		_, err := h.do("r", "needs-once")
		expect(t, "all zones out", err, model.OutcomeNotRun, apierror.CodeDependency)
	})
}

// TestLeavingTargetGetsNothing guards against new requests to a target that the host
// list or its own answer calls leaving.
func TestLeavingTargetGetsNothing(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		h := w.host(0)
		targets := testTargets()
		for i := range targets {
			targets[i].Leaving = true
		}
		h.board.Hosts.Put(&hostlist.List{Targets: targets})
		_, err := h.do("r", "again")
		expect(t, "all targets leave", err, model.OutcomeNotRun, apierror.CodeNoTarget)
	})
}

// TestDrainWaits guards against a planned stop that cuts a request or loses its
// outcome record, and against new requests on a leaving host.
func TestDrainWaits(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		h := w.host(0)
		answered := make(chan error, 1)
		go func() {
			_, err := h.do("r", "once")
			answered <- err
		}()
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- h.svc.Drain(w.ctx) }()
		synctest.Wait()
		if _, err := h.do("r", "once"); err != nil {
			t.Errorf("second submission of a request in progress: %v", err)
		}
		if err := <-drained; err != nil {
			t.Fatal(err)
		}
		if err := <-answered; err != nil {
			t.Errorf("request in progress: %v", err)
		}
		if known, _ := h.table.get(callKey{org: "o", id: "r"}); known.outcome != model.OutcomeRan {
			t.Errorf("the log says %+v after the drain, want ran", known)
		}
		_, err := h.do("r2", "once")
		expect(t, "after the drain", err, model.OutcomeNotRun, apierror.CodeLeaving)
	})
}

// TestSilentTargetLeavesTimeToRetry guards against a repeatable request that spends
// its whole time on one silent target while a retry could be paid.
func TestSilentTargetLeavesTimeToRetry(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		h := w.host(0)
		for i := range 10 {
			if _, err := h.do(string(rune('a'+i)), "again"); err != nil {
				t.Fatal(err)
			}
		}
		w.faults.Store(&faults{silent: 1})
		go func() {
			time.Sleep(time.Second / 2)
			w.faults.Store(&faults{})
		}()
		if _, err := h.do("r", "again"); err != nil || h.svc.Stats().Retries != 1 {
			t.Errorf("got %v after %d retries, want an answer after one", err, h.svc.Stats().Retries)
		}
	})
}

// TestOpenAttemptIsNotRepeated guards against a non-repeatable request that is sent
// again after an attempt that may have run.
func TestOpenAttemptIsNotRepeated(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		h := w.host(0)
		for i := range 10 { // fill the retry budget
			if _, err := h.do(string(rune('a'+i)), "once"); err != nil {
				t.Fatal(err)
			}
		}
		w.faults.Store(&faults{crossed: 1})
		_, err := h.do("r", "once")
		expect(t, "crossed answer", err, model.OutcomeUnknown, apierror.CodeUnknownOutcome)
		if n := h.svc.Stats().Attempts; n != 11 {
			t.Errorf("%d attempts for 11 requests", n)
		}
	})
}

// TestLargeAnswerIsNotKept guards against an answer of more than 64 KB in the
// journal, and against unknown where the request is known to have run.
func TestLargeAnswerIsNotKept(t *testing.T) {
	inWorld(t, 2, func(t *testing.T, w *world) {
		h := w.host(0)
		h.svc.cfg.Targets = largeTarget{}
		if a, err := h.do("r", "once"); err != nil || len(a.Body) <= maxRecordedBody {
			t.Fatalf("got %d bytes, %v", len(a.Body), err)
		}
		if err := h.svc.Drain(w.ctx); err != nil { // the outcome is in the log
			t.Fatal(err)
		}
		w.kill(0)
		_, err := w.host(1).do("r", "once")
		expect(t, "other host", err, model.OutcomeRan, apierror.CodeAnswerNotKept)
	})
}

// largeTarget answers with more than fits into the journal.
type largeTarget struct{}

func (largeTarget) Call(ctx context.Context, _ model.Target, _ targetlink.Call) (targetlink.Answer, error) {
	return targetlink.Answer{Status: 200, Body: make([]byte, maxRecordedBody+1)}, ctx.Err()
}
