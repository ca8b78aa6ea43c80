package work

import "github.com/gravitational/trace"

// Status is the state of a job as callers see it.
type Status byte

// Statuses of a job. The value is the first byte of a state record.
const (
	Queued    Status = 'q'
	Running   Status = 'r'
	Completed Status = 'd'
	Failed    Status = 'f'
	Cancelled Status = 'c'
)

// Ended reports whether the status is final.
func (s Status) Ended() bool { return s == Completed || s == Failed || s == Cancelled }

// Phase is the phase of a task.
type Phase byte

// Phases of a task.
const (
	// Waiting tasks may be placed once the steps before theirs are done.
	Waiting Phase = iota
	// Placed tasks have a run on a worker that is not known to have ended.
	Placed
	// Done tasks have completed successfully.
	Done
)

// TaskState is the state of one task.
type TaskState struct {
	Phase     Phase  `json:"p,omitempty"`
	RunNumber int    `json:"r,omitempty"` // number of the latest run
	Worker    string `json:"w,omitempty"` // WorkerKey of the latest run
	// Failures counts the failed runs of the task. Failures of a gang are counted in its
	// StepState.
	Failures   int    `json:"f,omitempty"`
	Checkpoint string `json:"c,omitempty"`
	// Crashes counts the workers that the task may have crashed, FreshCrashes those that crashed
	// right after its start. Suspect is set until a run of the task has shown that it does not.
	Crashes      int  `json:"x,omitempty"`
	FreshCrashes int  `json:"y,omitempty"`
	Suspect      bool `json:"u,omitempty"`
}

// maxRunNumber is far above any number of runs of a task.
const maxRunNumber = 1 << 31

// valid reports whether the numbers are in range and a placed task has a run on a worker.
func (t *TaskState) valid() bool {
	return t.Phase <= Done && t.RunNumber >= 0 && t.RunNumber <= maxRunNumber && min(t.Failures, t.Crashes, t.FreshCrashes) >= 0 &&
		(t.Phase != Placed || (t.RunNumber > 0 && t.Worker != ""))
}

// StepState is the state of one step.
type StepState struct {
	Failures   int         `json:"f,omitempty"` // failed runs of a gang
	FailedRun  int         `json:"g,omitempty"` // number of the last run that Failures counts
	Checkpoint string      `json:"c,omitempty"` // latest checkpoint of a gang
	Tasks      []TaskState `json:"t"`
}

// State is the execution state of a job. Only the scheduler writes it.
type State struct {
	Status  Status      `json:"-"`
	Started bool        `json:"-"` // a task has been started at least once
	EndedMS int64       `json:"e,omitempty"`
	Steps   []StepState `json:"s,omitempty"`
}

// NewState returns the state of a job of which nothing has been started.
func NewState(j *Job) *State {
	s := &State{Status: Queued, Steps: make([]StepState, j.StepCount())}
	for i := range s.Steps {
		s.Steps[i].Tasks = make([]TaskState, j.StepAt(i).Tasks)
	}
	return s
}

// Header of a state record: the status byte, and a flag byte that states whether a task
// has been started.
const (
	notStartedFlag = '0'
	startedFlag    = '1'
	// HeaderBytes is the length of the header, which hosts that only report statuses read.
	HeaderBytes = 2
)

// Header returns the header of the state's record, which holds what callers see of the
// state.
func (s *State) Header() []byte { return EncodeHeader(s.Status, s.Started) }

// EncodeHeader returns the header for a status and whether a task has been started.
func EncodeHeader(status Status, started bool) []byte {
	flag := byte(notStartedFlag)
	if started {
		flag = startedFlag
	}
	return []byte{byte(status), flag}
}

// DecodeHeader returns the status in a state record and whether a task has been started.
func DecodeHeader(record []byte) (Status, bool, error) {
	if len(record) < HeaderBytes {
		return 0, false, trace.BadParameter("a state record of %d bytes is too short", len(record))
	}
	status := Status(record[0])
	switch status {
	case Queued, Running, Completed, Failed, Cancelled:
		return status, record[1] == startedFlag, nil
	}
	return 0, false, trace.BadParameter("a state record has the unknown status %q", record[0])
}

// StepDone reports whether all tasks of the step are done.
func (s *State) StepDone(step int) bool {
	for i := range s.Steps[step].Tasks {
		if s.Steps[step].Tasks[i].Phase != Done {
			return false
		}
	}
	return true
}

// StepReady reports whether all steps that the step waits for are done in its occurrence.
func (s *State) StepReady(j *Job, step int) bool {
	first := step - step%len(j.Steps)
	for _, earlier := range j.StepAt(step).After {
		if !s.StepDone(first + earlier) {
			return false
		}
	}
	return true
}

// AllDone reports whether all tasks of the job are done.
func (s *State) AllDone() bool {
	for i := range s.Steps {
		if !s.StepDone(i) {
			return false
		}
	}
	return true
}

// NextRunNumber returns the run number for a new start of the tasks, above every number
// that any of them has used. Members of a gang share a run number.
func (s *State) NextRunNumber(step int, tasks []int) int {
	next := 0
	for _, i := range tasks {
		next = max(next, s.Steps[step].Tasks[i].RunNumber)
	}
	return next + 1
}
