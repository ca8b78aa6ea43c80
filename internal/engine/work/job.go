// Package work holds the jobs of the platform's engine: what a caller submitted, what
// became of it, and the transitions between.
package work

import (
	"encoding/json"

	"github.com/gravitational/trace"
)

// MaxTasks bounds the tasks of one job, so that its state stays within one record.
const MaxTasks = 4096

// Demand is what one task needs of a worker, or what a worker has.
type Demand struct {
	CPU          int `json:"c,omitempty"` // thousandths of a core
	MemoryMB     int `json:"m,omitempty"`
	Accelerators int `json:"g,omitempty"`
}

// Fits tells whether d is within room.
func (d Demand) Fits(room Demand) bool {
	return d.CPU <= room.CPU && d.MemoryMB <= room.MemoryMB && d.Accelerators <= room.Accelerators
}

// Plus returns the sum.
func (d Demand) Plus(o Demand) Demand {
	return Demand{d.CPU + o.CPU, d.MemoryMB + o.MemoryMB, d.Accelerators + o.Accelerators}
}

// Minus returns the difference.
func (d Demand) Minus(o Demand) Demand {
	return Demand{d.CPU - o.CPU, d.MemoryMB - o.MemoryMB, d.Accelerators - o.Accelerators}
}

// Times returns the demand of n tasks.
func (d Demand) Times(n int) Demand {
	return Demand{d.CPU * n, d.MemoryMB * n, d.Accelerators * n}
}

// Step is a set of equal tasks.
type Step struct {
	Tasks      int    `json:"n"`
	Demand     Demand `json:"d"`
	EstimateMS int    `json:"e,omitempty"`
	// After lists earlier steps that must be done first.
	After []int `json:"a,omitempty"`
	// Gang tasks start and end together.
	Gang bool `json:"k,omitempty"`
	// SameRack tasks are slower by a factor on more than one rack.
	SameRack bool `json:"r,omitempty"`
	// SavesProgress tasks resume from a checkpoint.
	SavesProgress bool `json:"s,omitempty"`
	// Label must be among the worker's labels, if set.
	Label string `json:"l,omitempty"`
	// Rack is where the data is, if set; tasks are slower on any other rack.
	Rack string `json:"h,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0 means no bound.
	MaxPerWorker int `json:"p,omitempty"`
	// LongRunning tasks run until the job is cancelled and are started again however they
	// end.
	LongRunning bool `json:"lr,omitempty"`
	// MayMiss is how many tasks of a long-running step may be away at the same time
	// because the system stopped them.
	MayMiss int `json:"mm,omitempty"`
	// Serves marks tasks that serve users of their own, whose response times must stay
	// below a target.
	Serves bool `json:"sv,omitempty"`
	// Fills tasks take what the others leave unused; they slow tasks that serve down.
	Fills bool `json:"fl,omitempty"`
}

// Job is what was accepted. It never changes.
type Job struct {
	ID           string  `json:"id"`
	Queue        string  `json:"q"`
	Service      string  `json:"v"`
	Organisation string  `json:"o,omitempty"`
	Priority     int     `json:"p,omitempty"` // 0 comes first
	MaxAttempts  int     `json:"t"`
	Stretch      float64 `json:"x"` // objective over the longest chain of estimates
	ObjectiveMS  int     `json:"w"` // added to the stretched chain
	AcceptedMS   int64   `json:"u"` // Unix milliseconds at the host that accepted it
	Spec         string  `json:"s"`
	// Advised jobs run only on workers that the advice service names for each step.
	Advised bool `json:"ad,omitempty"`
	// Steps are those of one occurrence.
	Steps []Step `json:"st"`
	// Repeats is how many occurrences the job has, or 0 for a job without times.
	// Occurrence k is due at FirstMS + k * PeriodMS, in Unix milliseconds.
	Repeats  int   `json:"n,omitempty"`
	FirstMS  int64 `json:"fm,omitempty"`
	PeriodMS int64 `json:"pm,omitempty"`
}

// StepCount is the number of steps over all occurrences. Steps are numbered through:
// those of the first occurrence come first.
func (j *Job) StepCount() int { return len(j.Steps) * max(j.Repeats, 1) }

// StepAt returns a step by its number over all occurrences.
func (j *Job) StepAt(step int) *Step { return &j.Steps[step%len(j.Steps)] }

// Name returns the name of a task by its step's number over all occurrences.
func (j *Job) Name(step, index int) TaskName {
	return TaskName{Job: j.ID, Occurrence: step / len(j.Steps), Step: step % len(j.Steps), Index: index}
}

// StepOf returns the number of a task's step over all occurrences.
func (j *Job) StepOf(n TaskName) int { return n.Occurrence*len(j.Steps) + n.Step }

// Due is the Unix millisecond before which a step must not start; 0 if there is none.
func (j *Job) Due(step int) int64 {
	if j.Repeats == 0 {
		return 0
	}
	return j.FirstMS + int64(step/len(j.Steps))*j.PeriodMS
}

// Has tells whether the job has the task.
func (j *Job) Has(n TaskName) bool {
	return n.Step < len(j.Steps) && n.Occurrence < max(j.Repeats, 1) && n.Index < j.Steps[n.Step].Tasks
}

// Check returns an error that names the first fault of a submitted job.
func (j *Job) Check() error {
	if len(j.Steps) == 0 {
		return trace.BadParameter("the job has no steps")
	}
	tasks := 0
	for i, s := range j.Steps {
		if s.Tasks < 1 {
			return trace.BadParameter("step %d has no tasks", i)
		}
		if s.LongRunning && j.Repeats > 0 {
			return trace.BadParameter("step %d of a repeated job is long-running", i)
		}
		if d := s.Demand; d.CPU < 0 || d.MemoryMB < 0 || d.Accelerators < 0 {
			return trace.BadParameter("step %d has a negative demand", i)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return trace.BadParameter("step %d waits for step %d, which is not an earlier one", i, a)
			}
		}
		tasks += s.Tasks
	}
	if j.Repeats < 0 || j.PeriodMS < 0 || j.FirstMS < 0 {
		return trace.BadParameter("the job has a negative number of repetitions, or negative times")
	}
	if tasks *= max(j.Repeats, 1); tasks > MaxTasks {
		return trace.BadParameter("the job has %d tasks, more than %d", tasks, MaxTasks)
	}
	return nil
}

// ChainMS is the longest chain of estimated durations through the steps.
func (j *Job) ChainMS() int {
	longest := 0
	ends := make([]int, len(j.Steps))
	for i, s := range j.Steps {
		begin := 0
		for _, a := range s.After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin + s.EstimateMS
		longest = max(longest, ends[i])
	}
	return longest
}

// Deadline is the Unix millisecond by which the occurrence of a step should be complete.
func (j *Job) Deadline(step int) int64 {
	return max(j.AcceptedMS, j.Due(step)) + int64(j.Stretch*float64(j.ChainMS())) + int64(j.ObjectiveMS)
}

// DecodeJob reads a job from its record.
func DecodeJob(data []byte) (*Job, error) {
	j := &Job{}
	if err := json.Unmarshal(data, j); err != nil {
		return nil, trace.Wrap(err)
	}
	return j, trace.Wrap(j.Check())
}

// Encode returns the job's record.
func (j *Job) Encode() []byte {
	data, err := json.Marshal(j)
	if err != nil {
		// Plain fields only; a failure is a programming error.
		panic(err)
	}
	return data
}
