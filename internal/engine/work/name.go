package work

import (
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// TaskName identifies a task in the whole deployment.
type TaskName struct {
	Job string
	// Occurrence is the occurrence of a repeated job that the task belongs to; 0 for
	// other jobs.
	Occurrence int
	// Step is the index of the step within the occurrence.
	Step  int
	Index int
}

// String returns the name as JOB.OCCURRENCE.STEP.INDEX.
func (n TaskName) String() string {
	return n.Job + "." + strconv.Itoa(n.Occurrence) + "." + strconv.Itoa(n.Step) + "." + strconv.Itoa(n.Index)
}

// StepName returns the name of a task's step as JOB.OCCURRENCE.STEP.
func StepName(n TaskName) string {
	return n.Job + "." + strconv.Itoa(n.Occurrence) + "." + strconv.Itoa(n.Step)
}

// ParseTaskName parses a name in the format of TaskName.String.
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
	Task   TaskName
	Number int
}

// String returns the name for log lines.
func (r RunName) String() string { return r.Task.String() + "#" + strconv.Itoa(r.Number) }

// WorkerKey returns the key of one incarnation of a worker, that is, of its process that
// started at startMS in Unix milliseconds. A worker that restarts keeps its id and knows
// nothing of the runs of its former process.
func WorkerKey(id string, startMS int64) string {
	return id + incarnationSeparator + strconv.FormatInt(startMS, 10)
}

// WorkerID returns the worker id that a key contains.
func WorkerID(key string) string { return key[:max(strings.LastIndex(key, incarnationSeparator), 0)] }

// WorkerStartMS returns the start time of the incarnation that a key contains, in Unix
// milliseconds, or 0 if it has none.
func WorkerStartMS(key string) int64 {
	ms, err := strconv.ParseInt(key[strings.LastIndex(key, incarnationSeparator)+1:], 10, 64)
	if err != nil {
		return 0
	}
	return ms
}

// incarnationSeparator separates the id of a worker from its start time in a key.
const incarnationSeparator = "@"
