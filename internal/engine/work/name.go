package work

import (
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// TaskName identifies a task in the whole deployment.
type TaskName struct {
	Job string
	// Occurrence is which time of a repeated job the task belongs to; 0 otherwise.
	Occurrence int
	// Step is the number of the step within the occurrence.
	Step  int
	Index int
}

// String returns ID.OCCURRENCE.STEP.INDEX; jobs without occurrences use 0.
func (n TaskName) String() string {
	return n.Job + "." + strconv.Itoa(n.Occurrence) + "." + strconv.Itoa(n.Step) + "." + strconv.Itoa(n.Index)
}

// StepName returns ID.OCCURRENCE.STEP of a task.
func StepName(n TaskName) string {
	return n.Job + "." + strconv.Itoa(n.Occurrence) + "." + strconv.Itoa(n.Step)
}

// ParseTaskName reads what String returns.
func ParseTaskName(s string) (TaskName, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskName{}, trace.BadParameter("%q is not a task name", s)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskName{}, trace.BadParameter("%q is not a task name", s)
		}
		numbers[i] = n
	}
	return TaskName{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// RunName identifies one run of a task.
type RunName struct {
	Task TaskName
	Run  int
}

// String is for logs.
func (r RunName) String() string { return r.Task.String() + "#" + strconv.Itoa(r.Run) }

// WorkerKey identifies one life of a worker: a worker that starts again under its id
// knows nothing of its earlier life.
func WorkerKey(id string, bornMS int64) string {
	return id + lifeSeparator + strconv.FormatInt(bornMS, 10)
}

// WorkerID returns the id of a worker's key.
func WorkerID(key string) string { return key[:max(strings.LastIndex(key, lifeSeparator), 0)] }

// lifeSeparator parts the id of a worker from the birth of its life.
const lifeSeparator = "@"
