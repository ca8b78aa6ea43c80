package shard

import (
	"fmt"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/workerlink"
)

// observation is what the workers of the shard reported.
type observation struct {
	views map[model.WorkerID]linkView
	// tasks holds the reported tasks by attempt and member index. Observations
	// share it, so it must not be changed.
	tasks map[attemptKey]map[int]workerlink.Task
	held  int // workers whose lease this host holds
}

// observe reads the links. Only the shard's pass calls it, which never runs twice at
// the same time. The tasks of the last observation are used again when no link's
// tasks changed: links stay for the life of the shard, so an equal sum of their
// growing counts means that none changed.
func (s *Shard) observe() *observation {
	links := s.allLinks()
	o := &observation{views: make(map[model.WorkerID]linkView, len(links))}
	changes := uint64(len(links))
	for _, l := range links {
		v := l.view()
		o.views[l.worker.ID] = v
		changes += v.changes
		if v.held {
			o.held++
		}
	}
	if s.observed == nil || s.observedAt != changes {
		s.observed, s.observedAt = groupTasks(o.views), changes
	}
	o.tasks = s.observed
	return o
}

// groupTasks returns the reported tasks by attempt and member index.
func groupTasks(views map[model.WorkerID]linkView) map[attemptKey]map[int]workerlink.Task {
	o := observation{tasks: map[attemptKey]map[int]workerlink.Task{}}
	for _, v := range views {
		for _, t := range v.tasks {
			o.add(t)
		}
	}
	return o.tasks
}

func (o *observation) add(t workerlink.Task) {
	k := attemptKey{job: t.ID.Job, attempt: t.ID.Attempt}
	if o.tasks[k] == nil {
		o.tasks[k] = map[int]workerlink.Task{}
	}
	o.tasks[k][t.ID.Index] = t
}

// mayDecide reports whether this host may start and end attempts. While the log
// answers, the order of its records decides between two planners, and any worker is
// enough: a zone that lost a rack of two goes on. Without the log only the holder of
// more than half of the workers decides, because two hosts cannot both hold that.
func (s *Shard) mayDecide(o *observation) (bool, string) {
	if o.held == 0 {
		return false, "no worker is held"
	}
	if s.Journal.State().Answering || 2*o.held > len(o.views) {
		return true, ""
	}
	return false, fmt.Sprintf("only %d of %d workers are held and the log is down", o.held, len(o.views))
}

// gang summarises the members of one attempt.
type gang struct {
	running, finished, failed, ended int
	// absent members are not on their worker although this host holds it.
	absent int
	// lost members are on workers that this host cannot reach, pending ones on
	// workers that it is acquiring.
	lost, pending int
	detail        string
}

// linkGone reports whether a worker is not in the platform's list any more.
func (s *Shard) linkGone(id model.WorkerID) bool {
	return s.link(id) == nil && s.Now().Sub(s.began) > lostAfter
}

// summarise compares a placement with the reported tasks.
func (s *Shard) summarise(o *observation, p *model.Placement) gang {
	var g gang
	tasks := o.tasks[attemptKey{job: p.Job, attempt: p.Attempt}]
	for i := range p.Members {
		m := &p.Members[i]
		t, seen := tasks[m.TaskIndex]
		view := o.views[m.Worker]
		held := view.held
		switch {
		case seen && t.State == workerlink.TaskFinished:
			g.finished++
		case !held && (view.lost || s.linkGone(m.Worker)):
			g.lost++
		case !held:
			g.pending++
		case !seen:
			g.absent++
		case t.State == workerlink.TaskRunning:
			g.running++
		case t.State == workerlink.TaskFailed:
			g.failed++
			g.detail = t.Detail
		default:
			g.ended++
		}
	}
	return g
}
