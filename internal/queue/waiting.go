package queue

import (
	"slices"

	"github.com/daisyfold/daisyfold/internal/model"
)

// WaitingJobs holds waiting jobs in order of acceptance. Removing a job takes constant time
// on average. It is not safe for concurrent use.
type WaitingJobs struct {
	index map[model.JobKey]int // index in jobs
	jobs  []*model.Job         // nil where a job was removed
}

// Add appends a job and reports whether it is new.
func (w *WaitingJobs) Add(j *model.Job) bool {
	if w.index == nil {
		w.index = make(map[model.JobKey]int)
	}
	if _, ok := w.index[j.Spec.Key]; ok {
		return false
	}
	w.index[j.Spec.Key] = len(w.jobs)
	w.jobs = append(w.jobs, j)
	return true
}

// Remove removes a job that starts or is cancelled, and reports whether it was waiting.
func (w *WaitingJobs) Remove(key model.JobKey) bool {
	i, ok := w.index[key]
	if !ok {
		return false
	}
	delete(w.index, key)
	w.jobs[i] = nil
	if len(w.jobs) > 2*len(w.index)+64 {
		w.compact()
	}
	return true
}

// compact drops the entries of removed jobs. Remove calls it when they outnumber the
// waiting jobs, which keeps the cost of a removal constant on average.
func (w *WaitingJobs) compact() {
	w.jobs = slices.DeleteFunc(w.jobs, func(j *model.Job) bool { return j == nil })
	for i, j := range w.jobs {
		w.index[j.Spec.Key] = i
	}
}

// Len returns the number of waiting jobs.
func (w *WaitingJobs) Len() int { return len(w.index) }

// Jobs returns the waiting jobs in order of acceptance.
func (w *WaitingJobs) Jobs() []*model.Job {
	out := make([]*model.Job, 0, len(w.index))
	for _, j := range w.jobs {
		if j != nil {
			out = append(out, j)
		}
	}
	return out
}
