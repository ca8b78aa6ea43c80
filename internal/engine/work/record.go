package work

import (
	"encoding/binary"
	"encoding/json"
	"slices"

	"github.com/gravitational/trace"
)

// Formats of a state record, in the byte after the header. JSON was written before states
// were split into chunks.
const (
	// formatChunks is the format of records with maxTasksPerChunk tasks, and of all records
	// but the first.
	formatChunks = 1
	// formatSizedChunks is followed by the number of tasks in a chunk.
	formatSizedChunks = 2
	formatJSON        = '{'
)

// Bits of the byte that describes a task; the lowest two bits hold the phase.
const (
	phaseMask       = 3
	suspectFlag     = 1 << 2
	checkpointFlag  = 1 << 3
	countersFlag    = 1 << 4
	unassignedFlags = ^byte(phaseMask | suspectFlag | checkpointFlag | countersFlag)
)

// Encode returns the values of the records of the state, by chunk. Those without tasks of a
// job that has ended are empty.
func (s *State) Encode(j *Job, l Layout) [][]byte {
	chunks := make([][]byte, j.chunkCount(l.tasksPerChunk))
	chunks[0] = binary.AppendUvarint(l.appendFormat(s.Header()), uint64(s.EndedMS))
	if s.Status.Ended() {
		return chunks
	}
	e := chunkEncoder{Layout: l, chunks: chunks}
	for i := range s.Steps {
		e.addStep(&s.Steps[i])
	}
	e.finishChunk()
	return chunks
}

// chunkEncoder distributes tasks over chunks. Consecutive tasks with the same state take the
// space of one.
type chunkEncoder struct {
	Layout
	chunks  [][]byte
	current int               // number of the current chunk
	tasks   int               // tasks in the current chunk
	workers map[string]uint64 // indexes of worker keys in table
	table   []byte
	body    []byte
	last    TaskState // repeated repeats times, not yet in body
	repeats uint64
}

func (e *chunkEncoder) addStep(s *StepState) {
	for i := range s.Tasks {
		if e.tasks == e.tasksPerChunk {
			e.finishChunk()
			e.current++
		}
		if i == 0 {
			e.flushTasks()
			e.body = binary.AppendUvarint(e.body, uint64(s.Failures))
			e.body = binary.AppendUvarint(e.body, uint64(s.FailedRun))
			e.body = appendString(e.body, e.recordedCheckpoint(s.Checkpoint))
		}
		e.addTask(e.recordedTask(s.Tasks[i]))
	}
}

func (e *chunkEncoder) addTask(t TaskState) {
	e.tasks++
	if e.repeats > 0 && t == e.last {
		e.repeats++
		return
	}
	e.flushTasks()
	e.last, e.repeats = t, 1
}

// flushTasks appends the pending tasks to the body.
func (e *chunkEncoder) flushTasks() {
	if e.repeats == 0 {
		return
	}
	t := &e.last
	flags := byte(t.Phase)
	if t.Suspect {
		flags |= suspectFlag
	}
	if t.Checkpoint != "" {
		flags |= checkpointFlag
	}
	if t.Failures != 0 || t.Crashes != 0 || t.FreshCrashes != 0 {
		flags |= countersFlag
	}
	b := binary.AppendUvarint(e.body, e.repeats)
	b = append(b, flags)
	b = binary.AppendUvarint(b, uint64(t.RunNumber))
	if t.Phase == Placed {
		b = binary.AppendUvarint(b, e.workerIndex(t.Worker))
	}
	if flags&checkpointFlag != 0 {
		b = appendString(b, t.Checkpoint)
	}
	if flags&countersFlag != 0 {
		b = binary.AppendUvarint(b, uint64(t.Failures))
		b = binary.AppendUvarint(b, uint64(t.Crashes))
		b = binary.AppendUvarint(b, uint64(t.FreshCrashes))
	}
	e.body, e.repeats = b, 0
}

// workerIndex returns the index of a worker key in the chunk's table.
func (e *chunkEncoder) workerIndex(key string) uint64 {
	index, known := e.workers[key]
	if !known {
		if e.workers == nil {
			e.workers = map[string]uint64{}
		}
		index = uint64(len(e.workers))
		e.workers[key] = index
		e.table = appendString(e.table, key)
	}
	return index
}

// finishChunk writes the current chunk, which consists of the table of workers and the body.
func (e *chunkEncoder) finishChunk() {
	e.flushTasks()
	chunk := e.chunks[e.current]
	if chunk == nil {
		chunk = []byte{formatChunks}
	}
	chunk = binary.AppendUvarint(chunk, uint64(len(e.workers)))
	chunk = append(chunk, e.table...)
	e.chunks[e.current] = append(chunk, e.body...)
	clear(e.workers)
	e.table, e.body, e.tasks = e.table[:0], e.body[:0], 0
}

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// recordedTask returns the part of the task's state that a later owner needs.
func (l Layout) recordedTask(t TaskState) TaskState {
	if t.Phase == Done {
		return TaskState{Phase: Done, RunNumber: t.RunNumber}
	}
	if t.Phase != Placed {
		t.Worker = ""
	}
	t.Checkpoint = l.recordedCheckpoint(t.Checkpoint)
	return t
}

// recordedCheckpoint returns the checkpoint, or none if it is not to be recorded.
func (l Layout) recordedCheckpoint(checkpoint string) string {
	if l.omitsCheckpoints || len(checkpoint) > maxCheckpointBytes {
		return ""
	}
	return checkpoint
}

// DecodeState decodes the records of the job's state, by chunk. It returns an error if they
// do not match the steps and tasks of the job.
func DecodeState(j *Job, chunks [][]byte) (*State, error) {
	if len(chunks) == 0 {
		return nil, trace.BadParameter("the state of job %s has no first record", j.ID)
	}
	status, started, err := DecodeHeader(chunks[0])
	if err != nil {
		return nil, err
	}
	body := chunks[0][HeaderBytes:]
	if len(body) == 0 {
		return nil, trace.BadParameter("the state of job %s is empty", j.ID)
	}
	s := &State{}
	switch body[0] {
	case formatJSON:
		err = decodeJSON(j, s, status, body)
	case formatChunks, formatSizedChunks:
		err = decodeChunks(j, s, status, chunks)
	default:
		err = trace.BadParameter("the state of job %s has the unknown format %d", j.ID, body[0])
	}
	if err != nil {
		return nil, err
	}
	for i := range s.Steps {
		if min(s.Steps[i].Failures, s.Steps[i].FailedRun) < 0 || slices.ContainsFunc(s.Steps[i].Tasks, func(t TaskState) bool { return !t.valid() }) {
			return nil, trace.BadParameter("state of job %s: step %d has a number or phase out of range", j.ID, i)
		}
	}
	s.Status, s.Started = status, started
	return s, nil
}

// decodeJSON decodes a state that was recorded before states were split into chunks.
func decodeJSON(j *Job, s *State, status Status, body []byte) error {
	if err := json.Unmarshal(body, s); err != nil {
		return trace.Wrap(err)
	}
	if status.Ended() {
		return nil
	}
	if len(s.Steps) != j.StepCount() {
		return trace.BadParameter("state of job %s has %d steps, but the job has %d", j.ID, len(s.Steps), j.StepCount())
	}
	for i := range s.Steps {
		if len(s.Steps[i].Tasks) != j.StepAt(i).Tasks {
			return trace.BadParameter("state of job %s: step %d has %d tasks, but the job has %d", j.ID, i, len(s.Steps[i].Tasks), j.StepAt(i).Tasks)
		}
	}
	return nil
}

func decodeChunks(j *Job, s *State, status Status, chunks [][]byte) error {
	d := &chunkDecoder{chunks: chunks, data: chunks[0][HeaderBytes:]}
	d.readFormat()
	s.EndedMS = int64(d.uvarint())
	if status.Ended() {
		return d.err
	}
	d.readWorkers()
	s.Steps = NewState(j).Steps
	for i := range s.Steps {
		d.readStep(&s.Steps[i])
	}
	d.finishChunk()
	return trace.Wrap(d.err, "state of job %s", j.ID)
}

// chunkDecoder is the inverse of chunkEncoder. After an error, everything it reads is zero.
type chunkDecoder struct {
	chunks        [][]byte
	tasksPerChunk int
	current       int
	tasks         int
	data          []byte // the rest of the current chunk
	workers       []string
	last          TaskState // occurs repeats times more
	repeats       uint64
	err           error
}

// readFormat reads the format of the first chunk.
func (d *chunkDecoder) readFormat() {
	d.tasksPerChunk = maxTasksPerChunk
	if d.byte() != formatSizedChunks {
		return
	}
	n := d.uvarint()
	if n == 0 || n > maxTasksPerChunk {
		d.fail("has an invalid number of tasks")
		return
	}
	d.tasksPerChunk = int(n)
}

func (d *chunkDecoder) readStep(s *StepState) {
	for i := range s.Tasks {
		if d.tasks == d.tasksPerChunk {
			d.nextChunk()
		}
		if i == 0 {
			s.Failures, s.FailedRun = int(d.uvarint()), int(d.uvarint())
			s.Checkpoint = d.string()
		}
		s.Tasks[i] = d.readTask()
		if d.err != nil {
			return
		}
	}
	if d.repeats > 0 {
		d.fail("has more tasks than a step")
	}
}

func (d *chunkDecoder) readTask() TaskState {
	d.tasks++
	if d.repeats == 0 {
		d.readTaskGroup()
	}
	d.repeats--
	return d.last
}

// readTaskGroup reads a task and the number of its repetitions.
func (d *chunkDecoder) readTaskGroup() {
	d.repeats = d.uvarint()
	flags := d.byte()
	t := TaskState{Phase: Phase(flags & phaseMask), Suspect: flags&suspectFlag != 0, RunNumber: int(d.uvarint())}
	if t.Phase == Placed {
		t.Worker = d.worker()
	}
	if flags&checkpointFlag != 0 {
		t.Checkpoint = d.string()
	}
	if flags&countersFlag != 0 {
		t.Failures, t.Crashes, t.FreshCrashes = int(d.uvarint()), int(d.uvarint()), int(d.uvarint())
	}
	if d.err == nil && (d.repeats == 0 || t.Phase > Done || flags&unassignedFlags != 0) {
		d.fail("has an invalid task")
	}
	d.last = t
}

// readWorkers reads the table of workers at the start of a chunk.
func (d *chunkDecoder) readWorkers() {
	count := d.uvarint()
	if count > maxTasksPerChunk {
		d.fail("has too many workers")
		return
	}
	d.workers = d.workers[:0]
	for range count {
		d.workers = append(d.workers, d.string())
	}
}

func (d *chunkDecoder) nextChunk() {
	d.finishChunk()
	d.current++
	d.tasks = 0
	d.data = nil
	if d.current < len(d.chunks) {
		d.data = d.chunks[d.current]
	}
	if d.byte() != formatChunks {
		d.fail("has no valid format")
	}
	d.readWorkers()
}

// finishChunk checks that the current chunk has been read completely.
func (d *chunkDecoder) finishChunk() {
	if d.repeats > 0 || len(d.data) > 0 {
		d.fail("is too long")
	}
}

func (d *chunkDecoder) fail(fault string) {
	if d.err == nil {
		d.err = trace.BadParameter("chunk %d %s", d.current, fault)
	}
	d.data = nil
}

func (d *chunkDecoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.data)
	if n <= 0 {
		d.fail("is too short")
		return 0
	}
	d.data = d.data[n:]
	return v
}

func (d *chunkDecoder) byte() byte {
	if len(d.data) == 0 {
		d.fail("is too short")
		return 0
	}
	b := d.data[0]
	d.data = d.data[1:]
	return b
}

func (d *chunkDecoder) string() string {
	n := d.uvarint()
	if n > uint64(len(d.data)) {
		d.fail("is too short")
		return ""
	}
	s := string(d.data[:n])
	d.data = d.data[n:]
	return s
}

func (d *chunkDecoder) worker() string {
	index := d.uvarint()
	if index >= uint64(len(d.workers)) {
		d.fail("names an unknown worker")
		return ""
	}
	return d.workers[index]
}
