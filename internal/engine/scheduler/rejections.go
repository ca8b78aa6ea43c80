package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// rejectionRetryDelay is the delay before the next append to TopicRuns if the store rejects
// even the smallest record of a job.
const rejectionRetryDelay = time.Second

// isolateRejected handles a batch that the store rejected for good. It is tried again in
// smaller batches until the record at fault is alone; its job then fails.
func (t *term) isolateRejected(b *batch, err error) {
	if n := b.len(); n > 1 {
		t.log.Warn("the store rejected a batch; splitting it", zap.Int("jobs", len(b.jobs)), zap.Int("deletions", len(b.deleted)), zap.Error(err))
		t.maxBatchLen = n / 2
		t.requeue(b)
		return
	}
	t.maxBatchLen = 0
	if len(b.jobs) == 0 {
		t.log.Error("the store rejected the deletion of a record; leaving the record to the next term", zap.Strings("keys", b.deleted), zap.Error(err))
		return
	}
	t.failRejected(b, err)
}

// requeue puts the contents of a rejected batch back in front.
func (t *term) requeue(b *batch) {
	t.obsoleteKeys = append(b.deleted, t.obsoleteKeys...)
	for _, recorded := range slices.Backward(b.jobs) {
		if j := recorded.job; !j.dirty {
			j.dirty = true
			t.dirtyJobs = slices.Insert(t.dirtyJobs, 0, j)
		}
	}
}

// failRejected fails a job whose state the store rejects, once the store has accepted the
// record of the failed job. A store that rejects that too rejects everything, so the job
// waits as in an outage.
func (t *term) failRejected(b *batch, cause error) {
	j := b.jobs[0].job
	state := &work.State{Status: work.Failed, Started: j.state.Started, EndedMS: t.WallClock().UnixMilli()}
	if j.state.Status.Ended() {
		state = j.state
	}
	chunks := state.Encode(j.Job, work.NewLayout(t.StoreLimits.RecordBytes))
	t.startAppend(&t.runWriter, changedRecords(j, chunks), func(t *term, err error) {
		if err != nil {
			t.log.Error("the store rejects all records; waiting", zap.String("job", j.ID), zap.Error(err))
			t.nextAppendAt = t.Now() + rejectionRetryDelay
			t.markDirty(j)
			return
		}
		j.recorded = chunks
		if !j.state.Status.Ended() {
			t.finish(j, work.Failed, "the store rejects its state: "+cause.Error())
		}
		t.publishStatus(j)
	})
}

// inheritUnreadable adds a job whose recorded state cannot be decoded. Which of its tasks have
// run is not known, and they must not run twice, so the job ends as failed unless the record
// or the status says how it ended. Workers are told to stop its runs.
func (t *term) inheritUnreadable(e replica.JobEntry, recorded [][]byte, cause error) *job {
	state := &work.State{Status: work.Failed, Started: e.Started, EndedMS: t.WallClock().UnixMilli()}
	status, _, err := work.DecodeHeader(recorded[0])
	switch {
	case err == nil && status.Ended():
		state.Status = status
	case e.Status.Ended():
		state.Status = e.Status
	case e.Cancelled:
		state.Status = work.Cancelled
	}
	t.log.Error("the state of a job cannot be decoded; ending the job", zap.String("job", e.Job.ID), zap.String("status", string(rune(state.Status))), zap.Error(cause))
	j := t.addJob(e.Job, state)
	j.recorded, j.publishedHeader = recorded, string(work.EncodeHeader(e.Status, e.Started))
	t.markDirty(j)
	return j
}

// publishUpdates writes status records and the owner's heartbeat. It reports false when the
// term is over.
func (t *term) publishUpdates(updates []store.Record) bool {
	w := &t.publisher.writer
	heartbeat := replica.OwnerRecord(t.Elector.Member())
	err := t.appendUntilDone(w, append(slices.Clip(updates), heartbeat))
	if !isInvalid(err) {
		return err == nil
	}
	err = t.appendUntilDone(w, []store.Record{heartbeat})
	if isInvalid(err) {
		t.log.Error("the store rejects all statuses; waiting", zap.Int("statuses", len(updates)), zap.Error(err))
		t.publisher.restore(updates)
		return true
	}
	return err == nil && t.publishHalves(updates)
}

// publishHalves writes records that the store has rejected together, and drops the ones that
// it rejects by themselves. It reports false when the term is over.
func (t *term) publishHalves(records []store.Record) bool {
	if len(records) == 0 {
		return true
	}
	err := t.appendUntilDone(&t.publisher.writer, records)
	if !isInvalid(err) {
		return err == nil
	}
	if len(records) == 1 {
		t.log.Error("the store rejected the status of a job; callers see the former one", zap.String("key", records[0].Key), zap.Error(err))
		return true
	}
	half := len(records) / 2
	return t.publishHalves(records[:half]) && t.publishHalves(records[half:])
}
