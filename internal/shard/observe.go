package shard

import (
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/workerlink"
)

// observation is what the workers of the shard reported.
type observation struct {
	views map[model.WorkerID]linkView
	// tasks holds the reported tasks by attempt and member index.
	tasks map[attemptKey]map[int]workerlink.Task
	held  int // workers whose lease this host holds
}

func (s *Shard) observe() *observation {
	o := &observation{
		views: map[model.WorkerID]linkView{},
		tasks: map[attemptKey]map[int]workerlink.Task{},
	}
	for _, l := range s.allLinks() {
		v := l.view()
		o.views[l.worker.ID] = v
		if v.held {
			o.held++
		}
		for _, t := range v.tasks {
			o.add(t)
		}
	}
	return o
}

func (o *observation) add(t workerlink.Task) {
	k := attemptKey{job: t.ID.Job, attempt: t.ID.Attempt}
	if o.tasks[k] == nil {
		o.tasks[k] = map[int]workerlink.Task{}
	}
	o.tasks[k][t.ID.Index] = t
}

// majority reports whether this host holds more than half of the workers. Two
// hosts that both plan a shard cannot both hold a majority.
func (o *observation) majority() bool { return 2*o.held > len(o.views) }

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
		t, seen := tasks[m.Index]
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
