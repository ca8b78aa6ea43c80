// Package work defines the jobs that the engine schedules: the job as submitted, its
// execution state, and the encoding of both.
package work

import (
	"encoding/json"

	"github.com/gravitational/trace"
)

// MaxTasks is the largest number of tasks of a job over all occurrences. It keeps the
// job's state within one append to the store.
const MaxTasks = 4096

// Resources is an amount of resources: what a task requires, or what a worker has in
// total or free.
type Resources struct {
	CPU          int `json:"c,omitempty"` // thousandths of a core
	MemoryMB     int `json:"m,omitempty"`
	Accelerators int `json:"g,omitempty"`
}

// Fits reports whether r does not exceed the available resources.
func (r Resources) Fits(available Resources) bool {
	return r.CPU <= available.CPU && r.MemoryMB <= available.MemoryMB && r.Accelerators <= available.Accelerators
}

// Plus returns r + o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns r - o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{r.CPU * n, r.MemoryMB * n, r.Accelerators * n}
}

// acceleratorCores is what an accelerator counts in cores where amounts of work are compared, as on
// the platform's pages.
const acceleratorCores = 8

// Cores returns the number of cores, with the accelerators added as such.
func (r Resources) Cores() float64 {
	const milliCoresPerCore = 1000
	return float64(r.CPU)/milliCoresPerCore + acceleratorCores*float64(r.Accelerators)
}

// Step is a set of identical tasks. EstimateMS is the estimated duration of a task.
type Step struct {
	Tasks      int       `json:"n"`
	Demand     Resources `json:"d"`
	EstimateMS int       `json:"e,omitempty"`
	// After lists the indexes of earlier steps that must be done before this one starts.
	After []int `json:"a,omitempty"`
	// Gang reports whether the tasks must start and end together.
	Gang bool `json:"k,omitempty"`
	// SameRack reports whether the tasks run slower when they are spread over several
	// racks.
	SameRack bool `json:"r,omitempty"`
	// SavesProgress reports whether a task can resume from a checkpoint.
	SavesProgress bool `json:"s,omitempty"`
	// RequiredLabel is a label that the worker must have; empty means any worker.
	RequiredLabel string `json:"l,omitempty"`
	// PreferredRack is the rack that holds the data, if set. Tasks run slower on other
	// racks.
	PreferredRack string `json:"h,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker; 0 means no limit.
	MaxPerWorker int `json:"p,omitempty"`
	// LongRunning reports whether the tasks run until the job is cancelled. They are
	// restarted however they end.
	LongRunning bool `json:"lr,omitempty"`
	// MaxUnavailable is the number of tasks of a long-running step that the scheduler may
	// have stopped at the same time.
	MaxUnavailable int `json:"mm,omitempty"`
	// LatencySensitive reports whether the tasks serve users' requests, whose response
	// times must stay below a target.
	LatencySensitive bool `json:"sv,omitempty"`
	// BestEffort reports whether the tasks only use resources that others leave free
	// ("fillers"). They slow down latency-sensitive tasks on the same worker.
	BestEffort bool `json:"fl,omitempty"`
}

// Pausable reports whether the step's tasks may be paused: they are best-effort tasks that no
// later step waits for.
func (s *Step) Pausable() bool { return s.BestEffort && s.LongRunning }

// Job is a job as it was accepted. It is immutable.
type Job struct {
	ID           string  `json:"id"`
	Queue        string  `json:"q"`
	Service      string  `json:"v"`
	Organisation string  `json:"o,omitempty"`
	Priority     int     `json:"p,omitempty"` // 0 is the most urgent
	MaxAttempts  int     `json:"t"`
	Stretch      float64 `json:"x"` // factor applied to the critical path to get the deadline
	ObjectiveMS  int     `json:"w"` // added to the critical path times Stretch
	AcceptedMS   int64   `json:"u"` // Unix milliseconds, by the clock of the accepting host
	Spec         string  `json:"s"` // passed to the workers unchanged
	// NeedsAdvice restricts each step to workers that the advice service allows.
	NeedsAdvice bool `json:"ad,omitempty"`
	// AdviceMS is how long a step waits for a usual call for advice, by the manifest at the job's
	// acceptance; 0 if it needs none.
	AdviceMS int `json:"am,omitempty"`
	// Steps are the steps of one occurrence.
	Steps []Step `json:"st"`
	// Occurrences is the number of times that a repeated job runs; 0 means that the job
	// has no due times and runs once. Occurrence k is due at FirstDueMS + k*PeriodMS, in
	// Unix milliseconds.
	Occurrences int   `json:"n,omitempty"`
	FirstDueMS  int64 `json:"fm,omitempty"`
	PeriodMS    int64 `json:"pm,omitempty"`
}

// StepCount returns the number of steps over all occurrences. Steps are numbered
// consecutively, starting with those of the first occurrence.
func (j *Job) StepCount() int { return len(j.Steps) * max(j.Occurrences, 1) }

// StepAt returns the step with the given number over all occurrences.
func (j *Job) StepAt(step int) *Step { return &j.Steps[step%len(j.Steps)] }

// TaskName returns the name of a task, given the number of its step over all occurrences
// and its index in the step.
func (j *Job) TaskName(step, index int) TaskName {
	return TaskName{Job: j.ID, Occurrence: step / len(j.Steps), Step: step % len(j.Steps), Index: index}
}

// StepNumber returns the number of the task's step over all occurrences.
func (j *Job) StepNumber(n TaskName) int { return n.Occurrence*len(j.Steps) + n.Step }

// DueMS returns the time in Unix milliseconds before which a step must not start, or 0 if
// there is none.
func (j *Job) DueMS(step int) int64 {
	if j.Occurrences == 0 {
		return 0
	}
	return j.FirstDueMS + int64(step/len(j.Steps))*j.PeriodMS
}

// HasTask reports whether the task belongs to the job.
func (j *Job) HasTask(n TaskName) bool {
	return n.Step < len(j.Steps) && n.Occurrence < max(j.Occurrences, 1) && n.Index < j.Steps[n.Step].Tasks
}

// Limits of a submitted job. Sums and products over a job's tasks and occurrences stay far
// below the range of int64.
const (
	maxSteps       = MaxTasks
	maxDemand      = 1 << 40 // of each resource, in its unit
	maxEstimateMS  = 1 << 40
	maxTimestampMS = 1 << 52
)

// Validate returns an error that describes the first fault of a submitted job, or nil.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return trace.BadParameter("the job has %d steps, want 1 to %d", len(j.Steps), maxSteps)
	}
	if err := j.validateTimes(); err != nil {
		return err
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.validateStep(i); err != nil {
			return err
		}
		if tasks += j.Steps[i].Tasks; tasks > MaxTasks/max(j.Occurrences, 1) {
			return trace.BadParameter("the job has more than %d tasks over all occurrences", MaxTasks)
		}
	}
	return nil
}

func (j *Job) validateTimes() error {
	switch {
	case j.Occurrences < 0 || j.PeriodMS < 0 || j.FirstDueMS < 0:
		return trace.BadParameter("the job has a negative number of occurrences, first due time or period")
	case j.Occurrences > MaxTasks:
		return trace.BadParameter("the job has %d occurrences, more than %d", j.Occurrences, MaxTasks)
	case j.FirstDueMS > maxTimestampMS || j.PeriodMS > maxTimestampMS/MaxTasks:
		return trace.BadParameter("the job's first due time or period is too large")
	}
	return nil
}

// validateStep checks the step with the given index.
func (j *Job) validateStep(i int) error {
	s := &j.Steps[i]
	d := s.Demand
	switch {
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return trace.BadParameter("step %d has %d tasks, want 1 to %d", i, s.Tasks, MaxTasks)
	case s.LongRunning && j.Occurrences > 0:
		return trace.BadParameter("step %d of a repeated job is long-running", i)
	case d.CPU < 0 || d.MemoryMB < 0 || d.Accelerators < 0:
		return trace.BadParameter("step %d has a negative demand", i)
	case max(d.CPU, d.MemoryMB, d.Accelerators) > maxDemand:
		return trace.BadParameter("the demand of step %d is too large", i)
	case s.MaxPerWorker < 0 || s.MaxUnavailable < 0:
		return trace.BadParameter("step %d has a negative limit", i)
	case s.EstimateMS < 0 || s.EstimateMS > maxEstimateMS:
		return trace.BadParameter("the estimate of step %d is negative or too large", i)
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= i {
			return trace.BadParameter("step %d waits for step %d, which is not an earlier step", i, earlier)
		}
	}
	return nil
}

// stepMS returns the estimated duration of a step's tasks and of the call for advice before them.
func (j *Job) stepMS(step int) int { return j.AdviceMS + j.Steps[step].EstimateMS }

// CriticalPathMS returns the duration of the longest chain of dependent steps in an
// occurrence, by their estimates.
func (j *Job) CriticalPathMS() int {
	longest := 0
	ends := make([]int, len(j.Steps))
	for i, s := range j.Steps {
		start := 0
		for _, earlier := range s.After {
			start = max(start, ends[earlier])
		}
		ends[i] = start + j.stepMS(i)
		longest = max(longest, ends[i])
	}
	return longest
}

// RemainingPathMS returns the duration of the longest chain of dependent steps that begins with the
// given one, by their estimates.
func (j *Job) RemainingPathMS(step int) int {
	first := step % len(j.Steps)
	ends := map[int]int{first: j.stepMS(first)}
	longest := ends[first]
	for i := first + 1; i < len(j.Steps); i++ {
		for _, earlier := range j.Steps[i].After {
			if end, ok := ends[earlier]; ok {
				ends[i] = max(ends[i], end+j.stepMS(i))
			}
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// DeadlineMS returns the time in Unix milliseconds by which the occurrence of a step
// should be complete.
func (j *Job) DeadlineMS(step int) int64 {
	return max(j.AcceptedMS, j.DueMS(step)) + int64(j.Stretch*float64(j.CriticalPathMS())) + int64(j.ObjectiveMS)
}

// worthlessFactor is the multiple of a job's objective after which its completion is worth nothing
// to its caller, by the platform's pages.
const worthlessFactor = 3

// WorthlessMS returns the time in Unix milliseconds from which the completion of the occurrence of a
// step is worth nothing to the caller.
func (j *Job) WorthlessMS(step int) int64 {
	due := max(j.AcceptedMS, j.DueMS(step))
	return due + worthlessFactor*(j.DeadlineMS(step)-due)
}

// Limits of the values that a job's record takes from the manifest.
const (
	maxStretch     = 1e6
	maxObjectiveMS = 1 << 40
	maxPriority    = 1 << 20
	maxMaxAttempts = 1 << 20
	maxAdviceMS    = 1 << 40
)

// DecodeJob decodes and validates the record of the job with the given id.
func DecodeJob(id string, data []byte) (*Job, error) {
	j := &Job{}
	if err := json.Unmarshal(data, j); err != nil {
		return nil, trace.Wrap(err)
	}
	switch {
	case j.ID == "" || j.ID != id:
		return nil, trace.BadParameter("the record's key names another job")
	case j.Priority < 0 || j.Priority > maxPriority || j.MaxAttempts < 1 || j.MaxAttempts > maxMaxAttempts:
		return nil, trace.BadParameter("the job's priority or number of attempts is out of range")
	case j.Stretch < 0 || j.Stretch > maxStretch || j.ObjectiveMS < 0 || j.ObjectiveMS > maxObjectiveMS:
		return nil, trace.BadParameter("the job's objective is out of range")
	case j.AdviceMS < 0 || j.AdviceMS > maxAdviceMS:
		return nil, trace.BadParameter("the time that the job's steps wait for advice is out of range")
	case j.AcceptedMS < 0 || j.AcceptedMS > maxTimestampMS:
		return nil, trace.BadParameter("the time of the job's acceptance is out of range")
	}
	return j, trace.Wrap(j.Validate())
}

// Encode returns the job's record.
func (j *Job) Encode() []byte {
	data, err := json.Marshal(j)
	if err != nil {
		// Job has only plain fields, so a failure is a programming error.
		panic(err)
	}
	return data
}
