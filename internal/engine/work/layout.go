package work

import (
	"encoding/binary"

	"github.com/gravitational/trace"
)

// The state of a job is kept in chunks, each of which is a record of the store. Chunk n holds
// the tasks from n*tasksPerChunk on, counted through over all steps. Chunk 0 begins with the
// header that callers see. All chunks that have changed are written in one append, so the
// number of tasks in a chunk may change between two writes.
const (
	// maxTasksPerChunk bounds the size of a record to about 128 KiB, however large the store
	// allows it to be: each change of a task writes its whole chunk.
	maxTasksPerChunk = 256
	// MaxChunks is the largest number of chunks of a job, with one task in each.
	MaxChunks = MaxTasks
)

// Upper bounds in bytes, with the longest worker key (id of 255 bytes) and counts.
const (
	// maxTaskBytes bounds a task and its step in a record.
	maxTaskBytes = 512
	// maxCompactTaskBytes bounds them if checkpoints are left out.
	maxCompactTaskBytes = 320
	// chunkOverheadBytes bounds what an append needs for a chunk beside its tasks: lengths,
	// key, header and format.
	chunkOverheadBytes = 64
	// maxCheckpointBytes is the length up to which checkpoints are recorded. A task with a
	// longer one starts from the beginning after a takeover.
	maxCheckpointBytes = 96
)

// Layout is how a state is distributed over records.
type Layout struct {
	tasksPerChunk    int
	omitsCheckpoints bool
}

// NewLayout returns the layout for a store that accepts records of up to recordBytes.
func NewLayout(recordBytes int) Layout {
	fitting := (recordBytes - chunkOverheadBytes) / maxTaskBytes
	return Layout{tasksPerChunk: min(max(fitting, 1), maxTasksPerChunk)}
}

// WithoutCheckpoints returns the layout without checkpoints, which takes less space. Tasks
// start from the beginning after a takeover.
func (l Layout) WithoutCheckpoints() Layout {
	l.omitsCheckpoints = true
	return l
}

// appendFormat appends the format of the first chunk to its header.
func (l Layout) appendFormat(header []byte) []byte {
	if l.tasksPerChunk == maxTasksPerChunk {
		return append(header, formatChunks)
	}
	return binary.AppendUvarint(append(header, formatSizedChunks), uint64(l.tasksPerChunk))
}

// taskCount returns the number of tasks over all occurrences.
func (j *Job) taskCount() int {
	tasks := 0
	for i := range j.Steps {
		tasks += j.Steps[i].Tasks
	}
	return tasks * max(j.Occurrences, 1)
}

// chunkCount returns the number of chunks with the given number of tasks.
func (j *Job) chunkCount(tasksPerChunk int) int {
	return (j.taskCount() + tasksPerChunk - 1) / tasksPerChunk
}

// CheckStateSize returns an error if the job's state may become larger than a store allows
// that accepts records of up to recordBytes and appends of up to callBytes.
func (j *Job) CheckStateSize(recordBytes, callBytes int) error {
	l := NewLayout(recordBytes)
	if size := chunkOverheadBytes + maxCompactTaskBytes; size > recordBytes {
		return trace.BadParameter("a record of the job's state may have %d bytes, and the store's limit is %d", size, recordBytes)
	}
	if size := j.taskCount()*maxCompactTaskBytes + j.chunkCount(l.tasksPerChunk)*chunkOverheadBytes; size > callBytes {
		return trace.BadParameter("the state of the job's %d tasks may have %d bytes, and the store's limit for an append is %d", j.taskCount(), size, callBytes)
	}
	return nil
}
