package engine_test

import (
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/intake"
	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// rejectRecords makes the store reject records of the topic for good, and returns the number
// of rejections.
func (c *cluster) rejectRecords(topic string, selected func(store.Record) bool) *atomic.Int64 {
	count := &atomic.Int64{}
	c.store.SetInvalid(func(name string, r store.Record) bool {
		if name != topic || !selected(r) {
			return false
		}
		count.Add(1)
		return true
	})
	return count
}

// TestOversizedSubmissionIsRejected guards against a job that is accepted, or to be tried again, although no record can hold it.
func TestOversizedSubmissionIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 1, workers: 1})
		defer c.close()
		step := work.Step{Tasks: 1, Demand: smallTask, EstimateMS: 1000, RequiredLabel: strings.Repeat("l", 60)}
		j := newJob(1, slices.Repeat([]work.Step{step}, 3000)...)
		a := c.anyHost().Intake.Submit(t.Context(), newCall("/normal/"+j.ID), j)
		if a.Outcome != intake.BadJob || a.RetryAfter != 0 || !strings.Contains(a.Reason, "262144") {
			t.Errorf("got %v, %q, retry after %s", a.Outcome, a.Reason, a.RetryAfter)
		}
		c.rejectRecords(replica.TopicJobs, func(r store.Record) bool { return r.Key == replica.JobKey(j.ID) })
		j.Steps = j.Steps[:1]
		start := time.Now()
		a = c.anyHost().Intake.Submit(t.Context(), newCall("/normal/"+j.ID), j)
		if a.Outcome != intake.BadJob || a.RetryAfter != 0 || time.Since(start) > 100*time.Millisecond {
			t.Errorf("after %s: %v, %q, retry after %s", time.Since(start), a.Outcome, a.Reason, a.RetryAfter)
		}
	})
}
