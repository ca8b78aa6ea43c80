package work

import (
	"encoding/json"

	"github.com/gravitational/trace"
)

// Status is what callers see of a job.
type Status byte

// Statuses; the byte is the first of a state record.
const (
	Queued    Status = 'q'
	Running   Status = 'r'
	Completed Status = 'd'
	Failed    Status = 'f'
	Cancelled Status = 'c'
)

// Ended tells whether the status is final.
func (s Status) Ended() bool { return s == Completed || s == Failed || s == Cancelled }

// Phase is the state of one task.
type Phase byte

// Phases of a task.
const (
	// Waiting tasks may be placed once their step's turn has come.
	Waiting Phase = iota
	// Placed tasks have a run on a worker that has not been seen to end.
	Placed
	// Done tasks have ended well.
	Done
)

// Task is the state of one task.
type Task struct {
	Phase  Phase  `json:"p,omitempty"`
	Run    int    `json:"r,omitempty"` // the last run number used
	Worker string `json:"w,omitempty"` // WorkerKey of the last run
	// Failures are the runs that ended failed; a gang counts in its step.
	Failures   int    `json:"f,omitempty"`
	Checkpoint string `json:"c,omitempty"`
}

// StepState is the state of one step.
type StepState struct {
	Failures   int    `json:"f,omitempty"` // failed runs of the gang
	Checkpoint string `json:"c,omitempty"` // of the gang
	Tasks      []Task `json:"t"`
}

// State is what became of a job. Only the scheduler writes it.
type State struct {
	Status  Status      `json:"-"`
	Started bool        `json:"-"` // a task has been started
	EndedMS int64       `json:"e,omitempty"`
	Steps   []StepState `json:"s,omitempty"`
}

// NewState returns the state of a job that waits.
func NewState(j *Job) *State {
	s := &State{Status: Queued, Steps: make([]StepState, j.StepCount())}
	for i := range s.Steps {
		s.Steps[i].Tasks = make([]Task, j.StepAt(i).Tasks)
	}
	return s
}

// flagStarted is the second byte of a state record once a task has been started.
const (
	flagWaiting = '0'
	flagStarted = '1'
	// headBytes precede the JSON of a state record, so that hosts which only report
	// states need not parse it.
	headBytes = 2
)

// Encode returns the state's record.
func (s *State) Encode() []byte {
	body := *s
	if s.Status.Ended() {
		body.Steps = nil
	}
	data, err := json.Marshal(&body)
	if err != nil {
		panic(err) // plain fields only
	}
	return append(s.Head(), data...)
}

// Head is what callers see of the state: the first bytes of its record.
func (s *State) Head() []byte { return EncodeHead(s.Status, s.Started) }

// EncodeHead encodes a status and whether a task has been started.
func EncodeHead(status Status, started bool) []byte {
	flag := byte(flagWaiting)
	if started {
		flag = flagStarted
	}
	return []byte{byte(status), flag}
}

// DecodeHead reads the status and whether a task has been started.
func DecodeHead(record []byte) (Status, bool, error) {
	if len(record) < headBytes {
		return 0, false, trace.BadParameter("a state record has %d bytes", len(record))
	}
	status := Status(record[0])
	switch status {
	case Queued, Running, Completed, Failed, Cancelled:
		return status, record[1] == flagStarted, nil
	}
	return 0, false, trace.BadParameter("a state record has the unknown status %q", record[0])
}

// DecodeState reads a state record of the job.
func DecodeState(j *Job, record []byte) (*State, error) {
	status, started, err := DecodeHead(record)
	if err != nil {
		return nil, err
	}
	s := &State{}
	if err := json.Unmarshal(record[headBytes:], s); err != nil {
		return nil, trace.Wrap(err)
	}
	s.Status, s.Started = status, started
	if status.Ended() {
		return s, nil
	}
	if len(s.Steps) != j.StepCount() {
		return nil, trace.BadParameter("state of job %s has %d steps, the job %d", j.ID, len(s.Steps), j.StepCount())
	}
	for i := range s.Steps {
		if len(s.Steps[i].Tasks) != j.StepAt(i).Tasks {
			return nil, trace.BadParameter("state of job %s: step %d has %d tasks, the job %d", j.ID, i, len(s.Steps[i].Tasks), j.StepAt(i).Tasks)
		}
	}
	return s, nil
}

// StepDone tells whether all tasks of the step are done.
func (s *State) StepDone(step int) bool {
	for i := range s.Steps[step].Tasks {
		if s.Steps[step].Tasks[i].Phase != Done {
			return false
		}
	}
	return true
}

// StepReady tells whether the steps of the occurrence that come before are done.
func (s *State) StepReady(j *Job, step int) bool {
	first := step - step%len(j.Steps)
	for _, a := range j.StepAt(step).After {
		if !s.StepDone(first + a) {
			return false
		}
	}
	return true
}

// AllDone tells whether every task is done.
func (s *State) AllDone() bool {
	for i := range s.Steps {
		if !s.StepDone(i) {
			return false
		}
	}
	return true
}

// NextRun returns the run number that a new start of the tasks takes: above every
// number that one of them has used. Gang members share it.
func (s *State) NextRun(step int, tasks []int) int {
	next := 0
	for _, i := range tasks {
		next = max(next, s.Steps[step].Tasks[i].Run)
	}
	return next + 1
}
