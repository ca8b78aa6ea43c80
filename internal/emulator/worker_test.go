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

// bench is an emulator with one worker that a test calls through the product's
// client.
type bench struct {
	t        *testing.T
	emulator *Emulator
	worker   workerlink.Worker
	id       model.WorkerID
}

func newBench(t *testing.T) *bench {
	d := Default()
	d.Zones = []Zone{{Name: "quimper", Workers: 1, Targets: []TargetsGroup{{Service: "exchange", Count: 1}}}}
	e := New(d, "http://platform")
	workers, _ := e.current()
	client := workerlink.NewWithTransport(Transport(e.Handler()))
	return &bench{t: t, emulator: e, worker: client.Worker(workers[0]), id: workers[0].ID}
}

var testJob = model.JobKey{Organisation: "schools", ID: "j1"}

func (b *bench) acquire(holder model.HostID, force bool) model.FencingToken {
	b.t.Helper()
	request := workerlink.AcquireRequest{Holder: holder, TTLMS: 30_000, Force: force}
	answer, err := b.worker.Acquire(b.t.Context(), request)
	if err != nil {
		b.t.Fatal(err)
	}
	return answer.Token
}

func (b *bench) hold(token model.FencingToken, attempt int) error {
	return b.worker.Hold(b.t.Context(), workerlink.HoldRequest{
		Token: token, Job: testJob, Attempt: attempt, TTLMS: 5000,
		Members: []model.GangMember{{
			Worker:       b.id,
			Accelerators: []int{0, 1},
			Resources:    model.Resources{CPUs: 4, Accelerators: 2},
		}},
	})
}

func (b *bench) start(token model.FencingToken, attempt int, payload string) error {
	return b.worker.Start(b.t.Context(), workerlink.StartRequest{
		Token: token, Job: testJob, Attempt: attempt, GangSize: 1, LeaseMS: 3000, Payload: []byte(payload),
	})
}

// run starts and confirms attempt 1.
func (b *bench) run(token model.FencingToken, payload string) {
	b.t.Helper()
	confirm := workerlink.ConfirmRequest{Token: token, Job: testJob, Attempt: 1, TTLMS: 30_000}
	err := errors.Join(
		b.hold(token, 1),
		b.start(token, 1, payload),
		b.worker.Confirm(b.t.Context(), confirm),
	)
	if err != nil {
		b.t.Fatal(err)
	}
}

func (b *bench) wantCode(err error, code workerlink.Code) {
	b.t.Helper()
	var refused *workerlink.Error
	if !errors.As(err, &refused) || refused.Body.Code != code {
		b.t.Errorf("got %v, want a refusal with code %s", err, code)
	}
}

func (b *bench) onlyTask() ledger.TaskRun {
	b.t.Helper()
	tasks := b.emulator.Ledger().Tasks
	if len(tasks) != 1 {
		b.t.Fatalf("got %d tasks in the ledger, want 1", len(tasks))
	}
	return tasks[0]
}

// TestFencing guards against a worker that obeys a planner whose lease went to
// another host.
func TestFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		old := b.acquire("quimper-1", false)
		b.run(old, `{"runMS": 60000}`)
		_, err := b.worker.Acquire(t.Context(), workerlink.AcquireRequest{Holder: "quimper-2", TTLMS: 30_000})
		b.wantCode(err, workerlink.CodeBusy)
		fresh := b.acquire("quimper-2", true)
		if fresh <= old {
			t.Errorf("got token %d after %d", fresh, old)
		}
		b.wantCode(b.hold(old, 2), workerlink.CodeFenced)
		b.wantCode(b.start(old, 1, ""), workerlink.CodeFenced)
		_, err = b.worker.Renew(t.Context(), workerlink.RenewRequest{Token: old, TTLMS: 30_000})
		b.wantCode(err, workerlink.CodeFenced)
		_, err = b.worker.Stop(t.Context(), workerlink.StopRequest{Token: old, Job: testJob, Attempt: 1})
		b.wantCode(err, workerlink.CodeFenced)
	})
}

// TestFencedPoll guards against a planner that learns of its fencing only at the
// end of its long poll.
func TestFencedPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		old := b.acquire("quimper-1", false)
		polled := make(chan error)
		begin := time.Now()
		go func() {
			request := workerlink.RenewRequest{Token: old, TTLMS: 30_000, WaitMS: 10_000}
			_, err := b.worker.Renew(context.Background(), request)
			polled <- err
		}()
		synctest.Wait()
		b.acquire("quimper-2", true)
		b.wantCode(<-polled, workerlink.CodeFenced)
		if time.Since(begin) != 0 {
			t.Errorf("the poll ended after %v", time.Since(begin))
		}
	})
}

// TestUnconfirmedLapses guards against members of a half-started gang that run on
// after their planner died.
func TestUnconfirmedLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		token := b.acquire("quimper-1", false)
		if err := errors.Join(b.hold(token, 1), b.start(token, 1, `{"runMS": 60000}`)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		// A renewal must not extend the lease of an unconfirmed task.
		answer, err := b.worker.Renew(t.Context(), workerlink.RenewRequest{Token: token, TTLMS: 30_000, WaitMS: 10_000})
		if err != nil || len(answer.Events) != 1 || answer.Events[0].Task.State != workerlink.TaskLapsed {
			t.Errorf("got %+v, %v, want one lapsed task", answer, err)
		}
		if run := b.onlyTask(); run.EndMS-run.StartMS != 3000 || run.End != ledger.EndLapsed {
			t.Errorf("got %+v, want an end by lapse after 3 s", run)
		}
	})
}

// TestConfirmedLease guards against confirmed tasks that outlive their lease, or
// that end although it is renewed.
func TestConfirmedLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		token := b.acquire("quimper-1", false)
		b.run(token, `{"runMS": 600000}`)
		for range 6 {
			request := workerlink.RenewRequest{Token: token, TTLMS: 30_000, WaitMS: 10_000}
			if _, err := b.worker.Renew(t.Context(), request); err != nil {
				t.Fatal(err)
			}
		}
		if run := b.onlyTask(); run.EndMS != 0 {
			t.Errorf("the task ended although its lease was renewed: %+v", run)
		}
		time.Sleep(40 * time.Second)
		// The last of six renewals of 10 s each was sent 50 s after the start.
		if run := b.onlyTask(); run.End != ledger.EndLapsed || run.EndMS-run.StartMS != 80_000 {
			t.Errorf("got %+v, want an end by lapse after 80 s", run)
		}
	})
}

// TestHoldLapses guards against a start on resources that were given to another
// attempt after the hold ran out.
func TestHoldLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		token := b.acquire("quimper-1", false)
		if err := b.hold(token, 1); err != nil {
			t.Fatal(err)
		}
		b.wantCode(b.hold(token, 2), workerlink.CodeBusy)
		time.Sleep(5 * time.Second)
		b.wantCode(b.start(token, 1, ""), workerlink.CodeNoHold)
		if err := b.hold(token, 2); err != nil {
			t.Errorf("hold after the first one lapsed: %v", err)
		}
	})
}

// TestResultUntilAcknowledged guards against a result that is lost when its
// planner dies before it reads it.
func TestResultUntilAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		token := b.acquire("quimper-1", false)
		b.run(token, `{"runMS": 700, "result": "done"}`)
		time.Sleep(time.Second)
		request := workerlink.AcquireRequest{Holder: "quimper-2", TTLMS: 30_000, Force: true}
		answer, err := b.worker.Acquire(t.Context(), request)
		if err != nil || len(answer.Tasks) != 1 || string(answer.Tasks[0].Result) != "done" {
			t.Fatalf("got %+v, %v, want the finished task", answer, err)
		}
		renew := workerlink.RenewRequest{Token: answer.Token, TTLMS: 30_000, AckSeq: answer.Seq}
		if _, err := b.worker.Renew(t.Context(), renew); err != nil {
			t.Fatal(err)
		}
		again, err := b.worker.Acquire(t.Context(), request)
		if err != nil || len(again.Tasks) != 0 {
			t.Errorf("got %+v, %v after the acknowledgement, want no task", again, err)
		}
	})
}

// TestCheckpointRestores guards against work that is done again although a
// checkpoint kept it.
func TestCheckpointRestores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		token := b.acquire("quimper-1", false)
		b.run(token, `{"runMS": 10000, "checkpointMS": 500}`)
		time.Sleep(4 * time.Second)
		stop := workerlink.StopRequest{Token: token, Job: testJob, Attempt: 1, Checkpoint: true, GraceMS: 2000}
		answer, err := b.worker.Stop(t.Context(), stop)
		if err != nil || answer.ServedMS != 4500 {
			t.Fatalf("got %+v, %v, want 4500 ms served", answer, err)
		}
		start := workerlink.StartRequest{
			Token: token, Job: testJob, Attempt: 2, GangSize: 1, LeaseMS: 30_000,
			RestoreMS: answer.ServedMS, Payload: []byte(`{"runMS": 10000}`),
		}
		if err := errors.Join(b.hold(token, 2), b.worker.Start(t.Context(), start)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		second := b.emulator.Ledger().Tasks[1]
		if second.End != ledger.EndFinished || second.EndMS-second.StartMS != 5500 {
			t.Errorf("got %+v, want a run of 5500 ms", second)
		}
	})
}
