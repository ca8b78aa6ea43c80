package shard

import (
	"testing"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/workerlink"
)

// Guards against a pass that works with the tasks of an earlier one: copies of the
// tasks are kept between passes, and each way in which a link changes must drop them.
func TestObservationSeesEveryChange(t *testing.T) {
	worker := model.Worker{ID: "w1"}
	l := newLink(worker, nil, "h1", time.Now, nil, func() {})
	s := &Shard{links: map[model.WorkerID]*link{worker.ID: l}}
	key := model.JobKey{Organisation: "org", ID: "j1"}
	k := attemptKey{job: key, attempt: 1}
	state := func() workerlink.TaskState { return s.observe().tasks[k][0].State }
	if got := state(); got != "" {
		t.Fatalf("an empty link shows a task %s", got)
	}
	l.started(&model.Placement{Job: key, Attempt: 1}, []model.GangMember{{TaskIndex: 0, Worker: worker.ID}})
	if got := state(); got != workerlink.TaskRunning {
		t.Fatalf("a started task is %q", got)
	}
	l.mu.Lock()
	l.note(workerlink.Task{ID: model.TaskID{Job: key, Attempt: 1}, State: workerlink.TaskFinished}, 1)
	l.mu.Unlock()
	if got := state(); got != workerlink.TaskFinished {
		t.Fatalf("a finished task is %q", got)
	}
	l.forget(key, 1)
	if got := state(); got != "" {
		t.Fatalf("a forgotten task is %q", got)
	}
}
