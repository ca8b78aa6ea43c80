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

// withCluster runs a test with a cluster of hosts in virtual time, without random faults.
func withCluster(t *testing.T, hosts int, test func(t *testing.T, cluster *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		test(t, newTestCluster(ctx, 1, hosts, faults{}))
		time.Sleep(5 * time.Second) // longer than every deadline
		cancel()
		synctest.Wait()
	})
}

// submit submits a request for a service with the id as body.
func (h *testHost) submit(id string, service model.Service) (Response, error) {
	return h.svc.Call(h.cluster.ctx, Request{ID: id, Organisation: "o", Service: service, Body: []byte(id)})
}

// expectError fails the test unless err has the outcome and code.
func expectError(t *testing.T, what string, err error, outcome model.Outcome, code apierror.Code) {
	t.Helper()
	var e *apierror.Error
	if !errors.As(err, &e) || e.Outcome != outcome || e.Code != code {
		t.Errorf("%s: got %v, want %s with code %s", what, err, outcome, code)
	}
}

// TestNotRunIsCheckedAgainAfterPeerRestart guards against a host that repeats an old
// not_run although a peer restarted, forgot its promise not to send the request and ran
// a later submission.
func TestNotRunIsCheckedAgainAfterPeerRestart(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cluster *testCluster) {
		cluster.host(0).logDown.Store(true)
		_, err := cluster.host(0).submit("r", "once")
		expectError(t, "log down", err, model.OutcomeNotRun, apierror.CodeLogUnavailable)
		cluster.host(0).logDown.Store(false)
		_, err = cluster.host(1).submit("r", "once")
		expectError(t, "host that promised not to send", err, model.OutcomeNotRun, apierror.CodeIDReused)
		cluster.killHost(1)
		cluster.restartHost(1)
		cluster.setMembers(nil)
		ran, err := cluster.host(1).submit("r", "once")
		if err != nil {
			t.Fatalf("restarted host: %v", err)
		}
		again, err := cluster.host(0).submit("r", "once")
		if err != nil || string(again.Body) != string(ran.Body) {
			t.Errorf("first host: got %q, %v, want the response %q", again.Body, err, ran.Body)
		}
	})
}

// TestPromiseNotToSendIsNotAnOutcome guards against a host that promised not to send a
// request and reports not_run to its own caller although another host ran the request.
func TestPromiseNotToSendIsNotAnOutcome(t *testing.T) {
	withCluster(t, 3, func(t *testing.T, cluster *testCluster) {
		ran, err := cluster.host(0).submit("r", "once")
		if err != nil {
			t.Fatal(err)
		}
		if response := cluster.host(1).svc.Outcome("o", "other"); response.Outcome != PeerNotSent {
			t.Fatalf("outcome of an id nobody submitted: %+v, want none", response)
		}
		cluster.host(2).svc.requests.promiseNotToSend(time.Now(), requestKey{org: "o", id: "r"})
		again, err := cluster.host(2).submit("r", "once")
		if err != nil || string(again.Body) != string(ran.Body) {
			t.Errorf("got %q, %v, want the response %q", again.Body, err, ran.Body)
		}
	})
}

// TestPromiseNotToSendOutlivesRun guards against a host that promises another one not to
// send a request, ends its own run as unknown and sends the request later.
func TestPromiseNotToSendOutlivesRun(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cluster *testCluster) {
		cluster.killHost(1)
		h := cluster.host(0)
		h.logDown.Store(true)
		ended := make(chan error, 1)
		go func() {
			_, err := h.submit("r", "once")
			ended <- err
		}()
		synctest.Wait()
		if response := h.svc.Outcome("o", "r"); response.Outcome != PeerNotSent {
			t.Fatalf("outcome of a run that will not send: %+v, want none", response)
		}
		expectError(t, "first submission", <-ended, model.OutcomeUnknown, apierror.CodeLogUnavailable)
		h.logDown.Store(false)
		_, err := h.submit("r", "once")
		expectError(t, "second submission", err, model.OutcomeUnknown, apierror.CodeIDReused)
	})
}

// TestLateIntentIsCancelled guards against an intent that reaches the log after its host
// gave up and died, and that leaves the outcome open although the request never ran.
func TestLateIntentIsCancelled(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cluster *testCluster) {
		cluster.faults.Store(&faults{appendLate: 1})
		_, err := cluster.host(0).submit("r", "once")
		expectError(t, "intent not recorded", err, model.OutcomeNotRun, apierror.CodeLogUnavailable)
		time.Sleep(10 * time.Second)
		cluster.faults.Store(&faults{})
		cluster.killHost(0)
		_, err = cluster.host(1).submit("r", "once")
		expectError(t, "other host", err, model.OutcomeNotRun, apierror.CodeIDReused)
	})
}

// TestOutcomeIsUnknownAfterHostRestart guards against a host that reports a request as
// not run after it sent the request and lost its memory in a restart.
func TestOutcomeIsUnknownAfterHostRestart(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cluster *testCluster) {
		cluster.faults.Store(&faults{ranNoResponse: 1})
		ctx, cancel := context.WithTimeout(cluster.ctx, 500*time.Millisecond)
		defer cancel()
		go func() { _, _ = cluster.host(0).submit("r", "once") }()
		<-ctx.Done()
		cluster.killHost(0)
		cluster.restartHost(0)
		cluster.setMembers(nil)
		cluster.faults.Store(&faults{})
		for i := range 2 {
			_, err := cluster.host(i).submit("r", "once")
			expectError(t, string(cluster.host(i).id), err, model.OutcomeUnknown, apierror.CodeUnknownOutcome)
		}
	})
}

// TestRefusals guards against requests that are admitted although the configuration
// forbids it, and against refusals with a wrong outcome or code.
func TestRefusals(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cluster *testCluster) {
		h := cluster.host(0)
		for _, tc := range []struct {
			service model.Service
			code    apierror.Code
		}{
			{"nowhere", apierror.CodeNotFound},
			{"render", apierror.CodeBadInput},
			{"empty", apierror.CodeNoTarget},
			{"needs-empty", apierror.CodeDependencyUnavailable},
			{"needs-empty-indirectly", apierror.CodeDependencyUnavailable},
		} {
			_, err := h.submit("r-"+string(tc.service), tc.service)
			expectError(t, string(tc.service), err, model.OutcomeNotRun, tc.code)
		}
		large := Request{Organisation: "o", Service: "repeatable", Body: make([]byte, maxBodyBytes+1)}
		_, err := h.svc.Call(cluster.ctx, large)
		expectError(t, "large body", err, model.OutcomeNotRun, apierror.CodeTooLarge)
		for range 2 {
			_, err = h.svc.Call(cluster.ctx, Request{Organisation: "slow", Service: "repeatable"})
		}
		expectError(t, "second request within a second", err, model.OutcomeNotRun, apierror.CodeQuotaReached)
	})
}

// TestReusedIDIsRefused guards against a response to another body with the same id, at
// one host for any request and across hosts for non-repeatable ones.
func TestReusedIDIsRefused(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cluster *testCluster) {
		for _, service := range []model.Service{"repeatable", "once"} {
			if _, err := cluster.host(0).submit("id-"+string(service), service); err != nil {
				t.Fatal(err)
			}
			other := Request{ID: "id-" + string(service), Organisation: "o", Service: service, Body: []byte("other")}
			_, err := cluster.host(0).svc.Call(cluster.ctx, other)
			expectError(t, "same host", err, model.OutcomeNotRun, apierror.CodeIDReused)
			if service == "once" {
				_, err = cluster.host(1).svc.Call(cluster.ctx, other)
				expectError(t, "other host", err, model.OutcomeNotRun, apierror.CodeIDReused)
			}
		}
	})
}

// TestSameIDSharesOneRun guards against concurrent submissions of one id at one host
// that run it more than once.
func TestSameIDSharesOneRun(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cluster *testCluster) {
		bodies := make([]string, 10)
		var wg sync.WaitGroup
		for i := range bodies {
			wg.Go(func() {
				response, _ := cluster.host(0).submit("r", "repeatable")
				bodies[i] = string(response.Body)
			})
		}
		wg.Wait()
		for _, b := range bodies {
			if b != "run1" {
				t.Errorf("responses %v, want run1 for all", bodies)
				break
			}
		}
	})
}

// TestResponsesExpire guards against memory that grows with every response, and against an
// id whose first response or refusal is returned forever.
func TestResponsesExpire(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cluster *testCluster) {
		h := cluster.host(0)
		for _, service := range []model.Service{"repeatable", "once"} {
			first, _ := h.submit("id-"+string(service), service)
			time.Sleep(outcomeRetention - time.Second)
			if response, _ := h.submit("id-"+string(service), service); string(response.Body) != string(first.Body) {
				t.Errorf("%s: got %q before the end of the retention, want %q", service, response.Body, first.Body)
			}
			time.Sleep(2 * time.Second)
			if response, _ := h.submit("id-"+string(service), service); string(response.Body) == string(first.Body) {
				t.Errorf("%s: the response outlived its retention", service)
			}
		}
		time.Sleep(openIntentRetention)
		h.svc.requests.expire(time.Now())
		h.table.expire(time.Now())
		if len(h.svc.requests.byKey)+len(h.table.calls)+len(h.table.cancelled) != 0 || h.svc.requests.bodyBytes+h.table.bodyBytes != 0 {
			t.Error("entries are left after their retention")
		}
	})
}

// TestZoneOutOfService guards against requests to targets in a zone that is out of
// service, and against running a service while all zones of its dependency are out of
// service.
func TestZoneOutOfService(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cluster *testCluster) {
		h := cluster.host(0)
		cfg := testConfig()
		cfg.AvailabilityZones[0].InService = false
		h.board.Config.Put(&blackboard.Configuration{Version: 2, Parsed: cfg})
		h.svc.dispatcher.refresh()
		p := newPreparedRequest(Request{Service: "repeatable"})
		p.service = &serviceSettings{}
		for range 10 { // fewer than the 16 slots in zone b
			if c, err := h.svc.dispatcher.acquire(cluster.ctx, p, nil); c.Target.Zone != "b" {
				t.Errorf("target %+v, %v, want one in zone b", c.Target, err)
			}
		}
		allOut := testConfig()
		allOut.AvailabilityZones[0].InService, allOut.AvailabilityZones[1].InService = false, false
		h.board.Config.Put(&blackboard.Configuration{Version: 3, Parsed: allOut})
		_, err := h.submit("r", "needs-once")
		expectError(t, "all zones out", err, model.OutcomeNotRun, apierror.CodeDependencyUnavailable)
	})
}

// TestLeavingTargetGetsNoRequests guards against new requests to a target that is leaving
// according to the host list.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cluster *testCluster) {
		h := cluster.host(0)
		targets := testTargets()
		for i := range targets {
			targets[i].Leaving = true
		}
		h.board.Hosts.Put(&hostlist.List{Targets: targets})
		_, err := h.submit("r", "repeatable")
		expectError(t, "all targets leave", err, model.OutcomeNotRun, apierror.CodeNoTarget)
	})
}

// TestDrainWaitsForRequests guards against a planned stop that interrupts a request or
// loses its outcome record, and against new requests on a leaving host.
func TestDrainWaitsForRequests(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cluster *testCluster) {
		h := cluster.host(0)
		ended := make(chan error, 1)
		go func() {
			_, err := h.submit("r", "once")
			ended <- err
		}()
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- h.svc.Drain(cluster.ctx) }()
		synctest.Wait()
		if _, err := h.submit("r", "once"); err != nil {
			t.Errorf("second submission of a request in progress: %v", err)
		}
		if err := <-drained; err != nil {
			t.Fatal(err)
		}
		if err := <-ended; err != nil {
			t.Errorf("request in progress: %v", err)
		}
		if known, _ := h.table.get(requestKey{org: "o", id: "r"}); known.outcome != model.OutcomeRan {
			t.Errorf("the log says %+v after the drain, want ran", known)
		}
		_, err := h.submit("r2", "once")
		expectError(t, "after the drain", err, model.OutcomeNotRun, apierror.CodeLeaving)
	})
}

// TestUnresponsiveTargetLeavesTimeToRetry guards against a repeatable request that spends
// all its time on one target that does not respond, although the budget allows a retry.
func TestUnresponsiveTargetLeavesTimeToRetry(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cluster *testCluster) {
		h := cluster.host(0)
		for i := range 10 {
			if _, err := h.submit(string(rune('a'+i)), "repeatable"); err != nil {
				t.Fatal(err)
			}
		}
		cluster.faults.Store(&faults{noResponse: 1})
		go func() {
			time.Sleep(time.Second / 2)
			cluster.faults.Store(&faults{})
		}()
		if _, err := h.submit("r", "repeatable"); err != nil || h.svc.Stats().Retries != 1 {
			t.Errorf("got %v after %d retries, want a response after one", err, h.svc.Stats().Retries)
		}
	})
}

// TestUncertainAttemptIsNotRetried guards against a non-repeatable request that is sent
// again after an attempt that may have run.
func TestUncertainAttemptIsNotRetried(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cluster *testCluster) {
		h := cluster.host(0)
		for i := range 10 { // fill the retry budget
			if _, err := h.submit(string(rune('a'+i)), "once"); err != nil {
				t.Fatal(err)
			}
		}
		cluster.faults.Store(&faults{wrongAttempt: 1})
		_, err := h.submit("r", "once")
		expectError(t, "response to another attempt", err, model.OutcomeUnknown, apierror.CodeUnknownOutcome)
		if n := h.svc.Stats().Attempts; n != 11 {
			t.Errorf("%d attempts for 11 requests", n)
		}
	})
}

// TestLargeResponseIsNotRecorded guards against a response body of more than 64 KB in the
// journal, and against the outcome unknown for a request that is known to have run.
func TestLargeResponseIsNotRecorded(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cluster *testCluster) {
		h := cluster.host(0)
		h.svc.cfg.Targets = largeResponseTarget{}
		if response, err := h.submit("r", "once"); err != nil || len(response.Body) <= maxRecordedBodyBytes {
			t.Fatalf("got %d bytes, %v", len(response.Body), err)
		}
		if err := h.svc.Drain(cluster.ctx); err != nil { // the outcome is in the log
			t.Fatal(err)
		}
		cluster.killHost(0)
		_, err := cluster.host(1).submit("r", "once")
		expectError(t, "other host", err, model.OutcomeRan, apierror.CodeAnswerNotKept)
	})
}

// largeResponseTarget responds with more than maxRecordedBodyBytes.
type largeResponseTarget struct{}

func (largeResponseTarget) Call(ctx context.Context, _ model.Target, _ targetlink.Call) (targetlink.Response, error) {
	return targetlink.Response{Status: 200, Body: make([]byte, maxRecordedBodyBytes+1)}, ctx.Err()
}
