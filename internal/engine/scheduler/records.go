package scheduler

import (
	"bytes"
	"context"
	"errors"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// maxBatchBytes keeps an append of several jobs short. The state of one job may exceed it.
const maxBatchBytes = 1 << 20

const (
	// appendRetryDelay is the delay before the second attempt of an append; it grows with
	// each attempt up to maxAppendRetryDelay.
	appendRetryDelay    = 20 * time.Millisecond
	maxAppendRetryDelay = 200 * time.Millisecond
)

// topicWriter appends to a topic under the term's epoch, one append at a time.
type topicWriter struct {
	topic string
	seq   int64
	busy  bool
	// lastAppendNS is the duration of the last successful append call, in nanoseconds.
	lastAppendNS atomic.Int64
}

// recorder collects the changes that must be in the store before the orders that depend
// on them are sent. Changes during an append go into the next one.
type recorder struct {
	runWriter topicWriter
	publisher *publisher
	dirtyJobs []*job
	// forgottenJobs are jobs whose records are to be deleted. obsoleteKeys are the keys of
	// state records to delete.
	forgottenJobs, obsoleteKeys []string
	// afterAppend holds functions to call once all earlier changes are in the store.
	afterAppend []func()
	// maxBatchLen limits the jobs and deletions in a batch after a rejection; 0 means no limit.
	maxBatchLen int
	// nextAppendAt is the earliest time of the next append.
	nextAppendAt time.Duration
}

// markDirty marks a job as changed.
func (t *term) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		t.dirtyJobs = append(t.dirtyJobs, j)
	}
}

// afterRecording calls f once all changes so far are in the store.
func (t *term) afterRecording(f func()) { t.afterAppend = append(t.afterAppend, f) }

// forget schedules a job's records for deletion.
func (t *term) forget(id string) { t.forgottenJobs = append(t.forgottenJobs, id) }

// flush writes the changes to the store. Orders that depend on them are sent afterwards.
func (t *term) flush() {
	t.deleteForgotten()
	t.flushRuns()
}

// flushRuns writes the states of changed jobs, or calls the deferred functions at once if
// there is nothing to write.
func (t *term) flushRuns() {
	if t.runWriter.busy || t.Now() < t.nextAppendAt {
		return
	}
	if len(t.dirtyJobs) == 0 && len(t.obsoleteKeys) == 0 {
		t.runDeferred()
		return
	}
	b := t.nextBatch()
	var after []func()
	if len(t.dirtyJobs) == 0 {
		after, t.afterAppend = t.afterAppend, nil
	} // otherwise the orders wait for the remaining jobs
	t.startAppend(&t.runWriter, b.records, func(t *term, err error) {
		if err != nil {
			t.afterAppend = append(after, t.afterAppend...)
			t.isolateRejected(b, err)
			return
		}
		for _, recorded := range b.jobs {
			recorded.job.recorded = recorded.chunks
			t.publishStatus(recorded.job)
		}
		for _, f := range after {
			f()
		}
	})
}

// publishStatus makes the recorded status of a job visible to callers.
func (t *term) publishStatus(j *job) {
	if len(j.recorded) == 0 || len(j.recorded[0]) < work.HeaderBytes {
		return
	}
	header := j.recorded[0][:work.HeaderBytes]
	if string(header) != j.publishedHeader {
		j.publishedHeader = string(header)
		t.publisher.update(j.ID, header)
	}
}

// runDeferred calls the deferred functions when no change is pending.
func (t *term) runDeferred() {
	after := t.afterAppend
	t.afterAppend = nil
	for _, f := range after {
		f()
	}
}

// batch is the content of one append to TopicRuns.
type batch struct {
	records []store.Record
	size    int      // bytes of the records in an append
	deleted []string // keys of the records that are deleted
	jobs    []recordedJob
}

// recordedJob is a job with the chunks of its state that are being recorded.
type recordedJob struct {
	job    *job
	chunks [][]byte
}

// len returns the number of records of the batch that can be tried separately.
func (b *batch) len() int { return len(b.deleted) + len(b.jobs) }

// nextBatch returns what is to be appended next: at most maxBatchBytes, or the state of one
// job.
func (t *term) nextBatch() *batch {
	b := &batch{}
	maxLen := t.maxBatchLen
	if maxLen == 0 {
		maxLen = math.MaxInt
	}
	b.deleted = t.obsoleteKeys[:min(len(t.obsoleteKeys), maxDeletions, maxLen)]
	t.obsoleteKeys = t.obsoleteKeys[len(b.deleted):]
	for _, key := range b.deleted {
		b.records = append(b.records, store.Record{Key: key})
	}
	b.size = store.CallSize(b.records)
	for len(t.dirtyJobs) > 0 && b.len() < maxLen {
		j := t.dirtyJobs[0]
		if !t.addToBatch(b, j) {
			break
		}
		t.dirtyJobs = t.dirtyJobs[1:]
	}
	if len(t.dirtyJobs) == 0 && len(t.obsoleteKeys) == 0 {
		t.maxBatchLen = 0
	}
	return b
}

// addToBatch adds the changed records of a job, and reports false if the batch has no room
// for them. A job whose state exceeds the store's limits fails: the limits were higher when the
// job was accepted.
func (t *term) addToBatch(b *batch, j *job) bool {
	chunks, records, err := t.encodeState(j)
	if err != nil && !j.state.Status.Ended() {
		j.dirty = false
		t.finish(j, work.Failed, "its state cannot be stored: "+err.Error())
		return true
	}
	size := store.CallSize(records)
	if b.size+size > min(maxBatchBytes, t.StoreLimits.CallBytes) && len(b.records) > 0 {
		return false
	}
	j.dirty = false
	b.size += size
	b.records = append(b.records, records...)
	b.jobs = append(b.jobs, recordedJob{j, chunks})
	return true
}

// encodeState returns the chunks of a job's state and the records that have changed. If the
// records would exceed the store's limits, checkpoints are left out from then on. The error
// names the limit if the records exceed it without them.
func (t *term) encodeState(j *job) (chunks [][]byte, records []store.Record, err error) {
	layout := work.NewLayout(t.StoreLimits.RecordBytes)
	if !j.omitsCheckpoints {
		chunks = j.state.Encode(j.Job, layout)
		records = changedRecords(j, chunks)
		if err = t.StoreLimits.Check(records); err == nil {
			return chunks, records, nil
		}
		j.omitsCheckpoints = true
		t.log.Warn("the state of a job is recorded without checkpoints from now on", zap.String("job", j.ID), zap.Error(err))
	}
	chunks = j.state.Encode(j.Job, layout.WithoutCheckpoints())
	records = changedRecords(j, chunks)
	return chunks, records, t.StoreLimits.Check(records)
}

// changedRecords returns the records of a job's state that differ from those at the store.
// Chunks that have become empty are deleted.
func changedRecords(j *job, chunks [][]byte) []store.Record {
	var records []store.Record
	for i := range max(len(chunks), len(j.recorded)) {
		var value, former []byte
		if i < len(chunks) {
			value = chunks[i]
		}
		if i < len(j.recorded) {
			former = j.recorded[i]
		}
		if !bytes.Equal(value, former) {
			records = append(records, store.Record{Key: replica.ChunkKey(j.ID, i), Value: value})
		}
	}
	return records
}

// startAppend appends records in the background and then posts done, with an error that wraps
// store.ErrInvalid if the store rejects them for good.
func (t *term) startAppend(w *topicWriter, records []store.Record, done func(*term, error)) {
	w.busy = true
	t.spawn(func() {
		err := t.appendUntilDone(w, records)
		if err != nil && !isInvalid(err) {
			return // the term is over
		}
		t.post(func(t *term) {
			w.busy = false
			done(t, err)
		})
	})
}

// position returns the position of the next append.
func (w *topicWriter) position(epoch int64) store.Position {
	return store.Position{Producer: producer, Epoch: epoch, Seq: w.seq}
}

// appendUntilDone repeats the call until the store answers. Repeating it with the same
// sequence number is harmless: the store returns the first answer again. An append that the
// store rejects for good is not repeated, does not use its sequence number, and returns an
// error that wraps store.ErrInvalid. After any other error the term is over.
func (t *term) appendUntilDone(w *topicWriter, records []store.Record) error {
	if len(records) == 0 {
		return nil
	}
	position := w.position(t.epoch)
	began := t.Now()
	maybeAppended := false // whether an earlier attempt may have succeeded
	for attempt := 1; ; attempt++ {
		err := t.tryAppend(w, position, records, attempt)
		if err == nil {
			w.seq++
			t.metrics.appendTime.Update(t.Now() - began)
			return nil
		}
		var sequenceErr *store.SequenceError
		switch {
		case errors.Is(err, store.ErrFenced) || errors.As(err, &sequenceErr):
			t.post(func(t *term) { t.endFenced("the store") })
			return trace.Wrap(store.ErrFenced)
		case isInvalid(err) && !maybeAppended:
			t.metrics.rejectedAppends.Inc(1)
			return err
		case isInvalid(err):
			// The sequence number may be in use, so only a new epoch is safe.
			t.log.Error("an append was rejected after an attempt without an answer; ending the term", zap.String("topic", w.topic), zap.Error(err))
			t.post(func(t *term) { t.endErr = trace.Wrap(store.ErrFenced) })
			return trace.Wrap(store.ErrFenced)
		}
		maybeAppended = maybeAppended || !errors.Is(err, store.ErrRefused)
		if attempt == 1 {
			t.log.Warn("an append got no answer; repeating it", zap.String("topic", w.topic), zap.Int64("seq", position.Seq), zap.Error(err))
		}
		select {
		case <-t.ctx.Done():
			return t.ctx.Err()
		case <-time.After(min(appendRetryDelay*time.Duration(attempt), maxAppendRetryDelay)):
		}
	}
}

// tryAppend makes one attempt of an append.
func (t *term) tryAppend(w *topicWriter, position store.Position, records []store.Record, attempt int) error {
	sent := t.Now()
	ctx, cancel := context.WithTimeout(t.ctx, store.AttemptTimeout(attempt, time.Duration(w.lastAppendNS.Load())))
	defer cancel()
	_, err := t.Store.AppendFenced(ctx, w.topic, position, records)
	var sequenceErr *store.SequenceError
	if errors.As(err, &sequenceErr) && sequenceErr.Expected == position.Seq+1 {
		err = nil // the store already has this append
	}
	if err == nil {
		w.lastAppendNS.Store(int64(t.Now() - sent))
	}
	return err
}

// isInvalid reports whether the store rejected a call for good.
func isInvalid(err error) bool { return errors.Is(err, store.ErrInvalid) }

// maxDeletions limits the deletions in one append.
const maxDeletions = 1000

// deleteForgotten deletes the records of forgotten jobs. The job's own record is deleted
// before its state, because a job without a state would run again. If the deletion fails,
// the records are left to the next term.
func (t *term) deleteForgotten() {
	if len(t.forgottenJobs) == 0 {
		return
	}
	ids := t.forgottenJobs
	t.forgottenJobs = nil
	t.spawn(func() {
		for chunk := range slices.Chunk(ids, maxDeletions) {
			t.deleteSubmissions(chunk)
		}
	})
}

// deleteSubmissions deletes the submissions and cancellations of jobs, and then has their
// states deleted. If the store rejects a deletion for good, the others are executed.
func (t *term) deleteSubmissions(ids []string) {
	var records []store.Record
	for _, id := range ids {
		records = append(records, store.Record{Key: replica.JobKey(id)}, store.Record{Key: replica.CancelKey(id)})
	}
	_, err := t.Store.Append(t.ctx, replica.TopicJobs, records)
	switch {
	case err == nil:
		t.post(func(t *term) {
			for _, id := range ids {
				t.deleteState(id, 1)
			}
		})
	case isInvalid(err) && len(ids) > 1:
		t.deleteSubmissions(ids[:len(ids)/2])
		t.deleteSubmissions(ids[len(ids)/2:])
	default:
		t.log.Warn("cannot delete the records of ended jobs", zap.Int("jobs", len(ids)), zap.Error(err))
	}
}

// deleteState schedules the deletion of the chunks of a job's state and of its status.
func (t *term) deleteState(id string, chunks int) {
	for chunk := range chunks {
		t.obsoleteKeys = append(t.obsoleteKeys, replica.ChunkKey(id, chunk))
	}
	t.publisher.update(id, nil)
}
