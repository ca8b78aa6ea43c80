package shard

import (
	"testing"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/workerlink"
)

// TestObservationReflectsTaskChanges guards against a controller run that uses outdated
// tasks. Copies of the tasks are kept between runs, and every change of a link must discard
// them.
func TestObservationReflectsTaskChanges(t *testing.T) {
	worker := model.Worker{ID: "w1"}
	l := newLink(worker, nil, "h1", time.Now, nil, func() {})
	s := &Shard{links: map[model.WorkerID]*link{worker.ID: l}}
	key := model.JobKey{Organisation: "org", ID: "j1"}
	k := attemptKey{job: key, attempt: 1}
	state := func() workerlink.TaskState { return s.observe().tasks[k][0].State }
	if got := state(); got != "" {
		t.Fatalf("a link without tasks reports a task in state %s", got)
	}
	l.addStartedTasks(&model.Placement{Job: key, Attempt: 1}, []model.GangMember{{TaskIndex: 0, Worker: worker.ID}})
	if got := state(); got != workerlink.TaskRunning {
		t.Fatalf("a started task is in state %q", got)
	}
	l.mu.Lock()
	l.recordTask(workerlink.Task{ID: model.TaskID{Job: key, Attempt: 1}, State: workerlink.TaskFinished}, 1)
	l.mu.Unlock()
	if got := state(); got != workerlink.TaskFinished {
		t.Fatalf("a finished task is in state %q", got)
	}
	l.forgetAttempt(key, 1)
	if got := state(); got != "" {
		t.Fatalf("a removed task is in state %q", got)
	}
}
