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
	// lost members are on workers that this host cannot reach.
	lost   int
	detail string
}

// summarise compares a placement with the reported tasks.
func (o *observation) summarise(p *model.Placement) gang {
	var g gang
	tasks := o.tasks[attemptKey{job: p.Job, attempt: p.Attempt}]
	for i := range p.Members {
		m := &p.Members[i]
		t, seen := tasks[m.Index]
		held := o.views[m.Worker].held
		switch {
		case seen && t.State == workerlink.TaskFinished:
			g.finished++
		case !held:
			g.lost++
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
