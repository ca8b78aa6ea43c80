package shard

import (
	"fmt"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/workerlink"
)

// observation is the state of the shard's workers and tasks at one time.
type observation struct {
	views map[model.WorkerID]linkView
	// tasks holds the reported tasks by attempt and member index. It is shared by
	// observations and must not be modified.
	tasks     map[attemptKey]map[int]workerlink.Task
	heldCount int // workers whose lease this host holds
}

// observe reads the state of all links. Only reconcileAndPlan calls it, which never runs
// concurrently. If no link's tasks changed, the tasks of the last observation are reused: a
// link stays while it has tasks and its change count only grows, so an equal sum is taken
// as no change.
func (s *Shard) observe() *observation {
	links := s.allLinks()
	o := &observation{views: make(map[model.WorkerID]linkView, len(links))}
	changes := uint64(len(links))
	for _, l := range links {
		v := l.view()
		o.views[l.worker.ID] = v
		changes += v.taskChanges
		if v.held {
			o.heldCount++
		}
	}
	if s.observedTasks == nil || s.observedTaskChanges != changes {
		s.observedTasks, s.observedTaskChanges = groupTasks(o.views), changes
	}
	o.tasks = s.observedTasks
	return o
}

// groupTasks returns the reported tasks by attempt and member index.
func groupTasks(views map[model.WorkerID]linkView) map[attemptKey]map[int]workerlink.Task {
	o := observation{tasks: map[attemptKey]map[int]workerlink.Task{}}
	for _, v := range views {
		for _, t := range v.tasks {
			o.addTask(t)
		}
	}
	return o.tasks
}

// addTask adds a reported task.
func (o *observation) addTask(t workerlink.Task) {
	k := attemptKey{job: t.ID.Job, attempt: t.ID.Attempt}
	if o.tasks[k] == nil {
		o.tasks[k] = map[int]workerlink.Task{}
	}
	o.tasks[k][t.ID.Index] = t
}

// canDecide reports whether this host may start and end attempts, and if not, why. While
// the log answers, the order of its records decides between two planners, so one held worker
// is enough and a zone that lost one of two racks keeps working. During a log outage only a
// host that holds more than half of the workers may decide, because two hosts cannot both
// do so.
func (s *Shard) canDecide(o *observation) (bool, string) {
	if o.heldCount == 0 {
		return false, "this host holds no worker's lease"
	}
	if s.Journal.State().Answering || 2*o.heldCount > len(o.views) {
		return true, ""
	}
	return false, fmt.Sprintf("the log is down and this host holds the leases of only %d of %d workers", o.heldCount, len(o.views))
}

// gangStatus counts the members of one attempt by their state.
type gangStatus struct {
	running, finished, failed, stopped int
	// absent is the number of members that are not on their worker although this host holds
	// its lease.
	absent int
	// lost is the number of members on workers that this host cannot reach, and pending the
	// number of those on workers that it is acquiring.
	lost, pending int
	failureDetail string
}

// workerRemoved reports whether a worker is no longer in the platform's host list. It
// returns false until workerLostAfter has passed since the start of the shard.
func (s *Shard) workerRemoved(id model.WorkerID) bool {
	return s.link(id) == nil && s.Now().Sub(s.startedAt) > workerLostAfter
}

// gangStatusOf compares a placement with the reported tasks.
func (s *Shard) gangStatusOf(o *observation, p *model.Placement) gangStatus {
	var status gangStatus
	tasks := o.tasks[attemptKey{job: p.Job, attempt: p.Attempt}]
	for i := range p.Members {
		m := &p.Members[i]
		t, reported := tasks[m.TaskIndex]
		view := o.views[m.Worker]
		held := view.held
		switch {
		case reported && t.State == workerlink.TaskFinished:
			status.finished++
		case !held && (view.lost || s.workerRemoved(m.Worker)):
			status.lost++
		case !held:
			status.pending++
		case !reported:
			status.absent++
		case t.State == workerlink.TaskRunning:
			status.running++
		case t.State == workerlink.TaskFailed:
			status.failed++
			status.failureDetail = t.Detail
		default:
			status.stopped++
		}
	}
	return status
}
