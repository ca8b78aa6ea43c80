package scheduler

import (
	"bytes"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// maxDeletions limits the deletions in one append.
const maxDeletions = 1000

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
	if t.runWriter.busy {
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
	t.startAppend(&t.runWriter, b.records, func(t *term) {
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
	jobs    []recordedJob
}

// recordedJob is a job with the chunks of its state that are being recorded.
type recordedJob struct {
	job    *job
	chunks [][]byte
}

// nextBatch returns what is to be appended next: at most maxBatchBytes, or the state of one
// job. A job whose state exceeds the store's limits fails.
func (t *term) nextBatch() *batch {
	b := &batch{}
	deleted := t.obsoleteKeys[:min(len(t.obsoleteKeys), maxDeletions)]
	t.obsoleteKeys = t.obsoleteKeys[len(deleted):]
	for _, key := range deleted {
		b.records = append(b.records, store.Record{Key: key})
	}
	size := store.CallSize(b.records)
	for len(t.dirtyJobs) > 0 {
		j := t.dirtyJobs[0]
		chunks := j.state.Encode(j.Job)
		records := changedRecords(j, chunks)
		err := t.StoreLimits.Check(records)
		size += store.CallSize(records)
		if err == nil && size > min(maxBatchBytes, t.StoreLimits.CallBytes) && len(b.records) > 0 {
			break
		}
		t.dirtyJobs = t.dirtyJobs[1:]
		j.dirty = false
		if err != nil && !j.state.Status.Ended() {
			size -= store.CallSize(records)
			t.finish(j, work.Failed, "its state cannot be stored: "+err.Error())
			continue
		}
		b.records = append(b.records, records...)
		b.jobs = append(b.jobs, recordedJob{j, chunks})
	}
	return b
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

// startAppend appends records in the background and then posts done.
func (t *term) startAppend(w *topicWriter, records []store.Record, done func(*term)) {
	w.busy = true
	position := w.nextPosition(t.epoch)
	t.spawn(func() {
		if !t.appendUntilDone(w, position, records) {
			return
		}
		t.post(func(t *term) {
			w.busy = false
			done(t)
		})
	})
}

// nextPosition returns the position of the next append.
func (w *topicWriter) nextPosition(epoch int64) store.Position {
	p := store.Position{Producer: producer, Epoch: epoch, Seq: w.seq}
	w.seq++
	return p
}

// appendUntilDone repeats the call until the store answers, and reports whether the store
// has the records. Repeating it with the same sequence number is harmless: the store
// returns the first answer again. If a later epoch has written, it ends the term.
func (t *term) appendUntilDone(w *topicWriter, position store.Position, records []store.Record) bool {
	began := t.Now()
	for attempt := 1; ; attempt++ {
		sent := t.Now()
		ctx, cancel := context.WithTimeout(t.ctx, store.AttemptTimeout(attempt, time.Duration(w.lastAppendNS.Load())))
		_, err := t.Store.AppendFenced(ctx, w.topic, position, records)
		cancel()
		var sequenceErr *store.SequenceError
		if errors.As(err, &sequenceErr) && sequenceErr.Expected == position.Seq+1 {
			err = nil // the store already has this append
		}
		if err == nil {
			w.lastAppendNS.Store(int64(t.Now() - sent))
			t.metrics.appendTime.Update(t.Now() - began)
			return true
		}
		if errors.Is(err, store.ErrFenced) || errors.As(err, &sequenceErr) {
			t.post(func(t *term) { t.endFenced("the store") })
			return false
		}
		if attempt == 1 {
			t.log.Warn("an append got no answer; repeating it", zap.String("topic", w.topic), zap.Int64("seq", position.Seq), zap.Error(err))
		}
		select {
		case <-t.ctx.Done():
			return false
		case <-time.After(min(appendRetryDelay*time.Duration(attempt), maxAppendRetryDelay)):
		}
	}
}

// deleteForgotten deletes the records of forgotten jobs. The job's own record is deleted
// before its state, because a job without a state would run again. If the deletion fails,
// the records are left to the next term.
func (t *term) deleteForgotten() {
	if len(t.forgottenJobs) == 0 {
		return
	}
	ids := t.forgottenJobs
	t.forgottenJobs = nil
	var submissions []store.Record
	for _, id := range ids {
		submissions = append(submissions, store.Record{Key: replica.JobKey(id)}, store.Record{Key: replica.CancelKey(id)})
	}
	t.spawn(func() {
		if _, err := t.Store.Append(t.ctx, replica.TopicJobs, submissions); err != nil {
			t.log.Warn("cannot delete the records of ended jobs", zap.Int("jobs", len(ids)), zap.Error(err))
			return
		}
		t.post(func(t *term) {
			for _, id := range ids {
				t.deleteState(id, 1)
			}
		})
	})
}

// deleteState schedules the deletion of the chunks of a job's state and of its status.
func (t *term) deleteState(id string, chunks int) {
	for chunk := range chunks {
		t.obsoleteKeys = append(t.obsoleteKeys, replica.ChunkKey(id, chunk))
	}
	t.publisher.update(id, nil)
}
