package emulator

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/ledger"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/workerlink"
)

// workerFixture is an emulator with one worker, which tests call through the daemon's
// client.
type workerFixture struct {
	t        *testing.T
	emulator *Emulator
	worker   workerlink.Worker
	id       model.WorkerID
}

func newWorkerFixture(t *testing.T) *workerFixture {
	d := Default()
	d.Zones = []Zone{{Name: "quimper", Workers: 1, Targets: []TargetGroup{{Service: "exchange", Count: 1}}}}
	e := New(d, "http://platform")
	workers, _ := e.inventory()
	client := workerlink.NewWithTransport(Transport(e.Handler()))
	return &workerFixture{t: t, emulator: e, worker: client.Worker(workers[0]), id: workers[0].ID}
}

var testJob = model.JobKey{Organisation: "schools", ID: "j1"}

func (f *workerFixture) acquire(holder model.HostID, force bool) model.FencingToken {
	f.t.Helper()
	request := workerlink.AcquireRequest{Holder: holder, TTLMS: 30_000, Force: force}
	response, err := f.worker.Acquire(f.t.Context(), request)
	if err != nil {
		f.t.Fatal(err)
	}
	return response.Token
}

func (f *workerFixture) hold(token model.FencingToken, attempt int) error {
	return f.worker.Hold(f.t.Context(), workerlink.HoldRequest{
		Token: token, Job: testJob, Attempt: attempt, TTLMS: 5000,
		Members: []model.GangMember{{
			Worker:       f.id,
			Accelerators: []int{0, 1},
			Resources:    model.Resources{CPUs: 4, Accelerators: 2},
		}},
	})
}

func (f *workerFixture) start(token model.FencingToken, attempt int, payload string) error {
	return f.worker.Start(f.t.Context(), workerlink.StartRequest{
		Token: token, Job: testJob, Attempt: attempt, GangSize: 1, LeaseMS: 3000, Payload: []byte(payload),
	})
}

// startConfirmed holds, starts and confirms attempt 1.
func (f *workerFixture) startConfirmed(token model.FencingToken, payload string) {
	f.t.Helper()
	confirm := workerlink.ConfirmRequest{Token: token, Job: testJob, Attempt: 1, TTLMS: 30_000}
	err := errors.Join(
		f.hold(token, 1),
		f.start(token, 1, payload),
		f.worker.Confirm(f.t.Context(), confirm),
	)
	if err != nil {
		f.t.Fatal(err)
	}
}

// wantCode checks that err is a workerlink.Error with the given code.
func (f *workerFixture) wantCode(err error, code workerlink.Code) {
	f.t.Helper()
	var workerError *workerlink.Error
	if !errors.As(err, &workerError) || workerError.Body.Code != code {
		f.t.Errorf("got %v, want an error with code %s", err, code)
	}
}

// onlyTask returns the only task in the ledger.
func (f *workerFixture) onlyTask() ledger.TaskRun {
	f.t.Helper()
	tasks := f.emulator.Ledger().Tasks
	if len(tasks) != 1 {
		f.t.Fatalf("got %d tasks in the ledger, want 1", len(tasks))
	}
	return tasks[0]
}

// TestFencedTokenIsRejected guards against a worker that accepts calls of a planner after
// another host has acquired the lease.
func TestFencedTokenIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWorkerFixture(t)
		oldToken := f.acquire("quimper-1", false)
		f.startConfirmed(oldToken, `{"runMS": 60000}`)
		_, err := f.worker.Acquire(t.Context(), workerlink.AcquireRequest{Holder: "quimper-2", TTLMS: 30_000})
		f.wantCode(err, workerlink.CodeBusy)
		newToken := f.acquire("quimper-2", true)
		if newToken <= oldToken {
			t.Errorf("got token %d after %d", newToken, oldToken)
		}
		f.wantCode(f.hold(oldToken, 2), workerlink.CodeFenced)
		f.wantCode(f.start(oldToken, 1, ""), workerlink.CodeFenced)
		_, err = f.worker.Renew(t.Context(), workerlink.RenewRequest{Token: oldToken, TTLMS: 30_000})
		f.wantCode(err, workerlink.CodeFenced)
		_, err = f.worker.Stop(t.Context(), workerlink.StopRequest{Token: oldToken, Job: testJob, Attempt: 1})
		f.wantCode(err, workerlink.CodeFenced)
	})
}

// TestFencingEndsPoll guards against a planner that learns only at the end of its long
// poll that its token is fenced.
func TestFencingEndsPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWorkerFixture(t)
		oldToken := f.acquire("quimper-1", false)
		polled := make(chan error)
		begin := time.Now()
		go func() {
			request := workerlink.RenewRequest{Token: oldToken, TTLMS: 30_000, WaitMS: 10_000}
			_, err := f.worker.Renew(context.Background(), request)
			polled <- err
		}()
		synctest.Wait()
		f.acquire("quimper-2", true)
		f.wantCode(<-polled, workerlink.CodeFenced)
		if time.Since(begin) != 0 {
			t.Errorf("the poll ended after %v", time.Since(begin))
		}
	})
}

// TestUnconfirmedTaskLeaseExpires guards against members of a partly started gang that
// continue to run after their planner died.
func TestUnconfirmedTaskLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWorkerFixture(t)
		token := f.acquire("quimper-1", false)
		if err := errors.Join(f.hold(token, 1), f.start(token, 1, `{"runMS": 60000}`)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		// A renewal must not extend the lease of an unconfirmed task.
		response, err := f.worker.Renew(t.Context(), workerlink.RenewRequest{Token: token, TTLMS: 30_000, WaitMS: 10_000})
		if err != nil || len(response.Events) != 1 || response.Events[0].Task.State != workerlink.TaskLapsed {
			t.Errorf("got %+v, %v, want one task with an expired lease", response, err)
		}
		if run := f.onlyTask(); run.EndUnixMS-run.StartUnixMS != 3000 || run.Outcome != ledger.OutcomeLeaseExpired {
			t.Errorf("got %+v, want an expired lease after 3 s", run)
		}
	})
}

// TestConfirmedTaskLease guards against confirmed tasks that run after their lease has
// expired, or that end although it is renewed.
func TestConfirmedTaskLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWorkerFixture(t)
		token := f.acquire("quimper-1", false)
		f.startConfirmed(token, `{"runMS": 600000}`)
		for range 6 {
			request := workerlink.RenewRequest{Token: token, TTLMS: 30_000, WaitMS: 10_000}
			if _, err := f.worker.Renew(t.Context(), request); err != nil {
				t.Fatal(err)
			}
		}
		if run := f.onlyTask(); run.EndUnixMS != 0 {
			t.Errorf("the task ended although its lease was renewed: %+v", run)
		}
		time.Sleep(40 * time.Second)
		// The last of six renewals of 10 s each was sent 50 s after the start.
		if run := f.onlyTask(); run.Outcome != ledger.OutcomeLeaseExpired || run.EndUnixMS-run.StartUnixMS != 80_000 {
			t.Errorf("got %+v, want an expired lease after 80 s", run)
		}
	})
}

// TestHoldExpires guards against a start on an expired hold, whose resources another
// attempt may have.
func TestHoldExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWorkerFixture(t)
		token := f.acquire("quimper-1", false)
		if err := f.hold(token, 1); err != nil {
			t.Fatal(err)
		}
		f.wantCode(f.hold(token, 2), workerlink.CodeBusy)
		time.Sleep(5 * time.Second)
		f.wantCode(f.start(token, 1, ""), workerlink.CodeNoHold)
		if err := f.hold(token, 2); err != nil {
			t.Errorf("hold after the first one expired: %v", err)
		}
	})
}

// TestResultIsKeptUntilAcknowledged guards against a result that is lost when the planner
// dies before it has read it.
func TestResultIsKeptUntilAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWorkerFixture(t)
		token := f.acquire("quimper-1", false)
		f.startConfirmed(token, `{"runMS": 700, "result": "done"}`)
		time.Sleep(time.Second)
		request := workerlink.AcquireRequest{Holder: "quimper-2", TTLMS: 30_000, Force: true}
		response, err := f.worker.Acquire(t.Context(), request)
		if err != nil || len(response.Tasks) != 1 || string(response.Tasks[0].Result) != "done" {
			t.Fatalf("got %+v, %v, want the finished task", response, err)
		}
		renew := workerlink.RenewRequest{Token: response.Token, TTLMS: 30_000, AckSeq: response.Seq}
		if _, err := f.worker.Renew(t.Context(), renew); err != nil {
			t.Fatal(err)
		}
		again, err := f.worker.Acquire(t.Context(), request)
		if err != nil || len(again.Tasks) != 0 {
			t.Errorf("got %+v, %v after the acknowledgement, want no task", again, err)
		}
	})
}

// TestCheckpointRestoresProgress guards against work that is repeated although a
// checkpoint saved it.
func TestCheckpointRestoresProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWorkerFixture(t)
		token := f.acquire("quimper-1", false)
		f.startConfirmed(token, `{"runMS": 10000, "checkpointMS": 500}`)
		time.Sleep(4 * time.Second)
		stop := workerlink.StopRequest{Token: token, Job: testJob, Attempt: 1, Checkpoint: true, GraceMS: 2000}
		response, err := f.worker.Stop(t.Context(), stop)
		if err != nil || response.SavedRunMS != 4500 {
			t.Fatalf("got %+v, %v, want 4500 ms of saved run time", response, err)
		}
		start := workerlink.StartRequest{
			Token: token, Job: testJob, Attempt: 2, GangSize: 1, LeaseMS: 30_000,
			SavedRunMS: response.SavedRunMS, Payload: []byte(`{"runMS": 10000}`),
		}
		if err := errors.Join(f.hold(token, 2), f.worker.Start(t.Context(), start)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		second := f.emulator.Ledger().Tasks[1]
		if second.Outcome != ledger.OutcomeFinished || second.EndUnixMS-second.StartUnixMS != 5500 {
			t.Errorf("got %+v, want a run of 5500 ms", second)
		}
	})
}
