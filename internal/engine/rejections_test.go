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
	"github.com/daisyfold/daisyfold/internal/standin"
)

// otherJobs submits short jobs of another organisation.
func (c *cluster) otherJobs(count int) []work.Job {
	var jobs []work.Job
	for n := range count {
		j := newJob(100+n, work.Step{Tasks: 2, Demand: smallTask, EstimateMS: 1000})
		c.submitWithKey("guest-key", "normal", j, standin.Behaviour{Work: time.Second})
		jobs = append(jobs, j)
	}
	return jobs
}

// awaitCompleted waits until the jobs are completed.
func (c *cluster) awaitCompleted(jobs []work.Job, within time.Duration) {
	c.t.Helper()
	for _, j := range jobs {
		c.awaitStatus(j.ID, work.Completed, within)
	}
}

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

// TestLargeJobDoesNotStopOthers guards against a job whose state outgrows a record of the store, after which nothing was started for anybody.
func TestLargeJobDoesNotStopOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 12})
		defer c.close()
		step := work.Step{Tasks: work.MaxTasks / 2, Demand: work.Resources{CPU: 1000, MemoryMB: 1024}, EstimateMS: 4000, SavesProgress: true}
		large := newJob(1, step, step)
		large.Steps[1].After = []int{0}
		c.submit("batch", large, standin.Behaviour{Work: 4 * time.Second, CheckpointPadding: 24})
		time.Sleep(16 * time.Second)
		c.awaitCompleted(c.otherJobs(4), 10*time.Second)
		c.awaitStatus(large.ID, work.Completed, 60*time.Second)
	})
}

// TestLongCheckpointsDoNotStopOthers guards against checkpoints that outgrow a record of the store, after which nothing was started for anybody.
func TestLongCheckpointsDoNotStopOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 4})
		defer c.close()
		j := newJob(1, work.Step{Tasks: 24, Demand: smallTask, EstimateMS: 4000, SavesProgress: true})
		c.submit("batch", j, standin.Behaviour{Work: 4 * time.Second, Failures: 1, CheckpointPadding: 16 << 10})
		time.Sleep(10 * time.Second)
		c.awaitCompleted(c.otherJobs(4), 10*time.Second)
		c.awaitStatus(j.ID, work.Completed, 30*time.Second)
	})
}

// TestLargeJobSurvivesOwnerCrash guards against tasks that run twice or never because a new owner reads only a part of a state of several records.
func TestLargeJobSurvivesOwnerCrash(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, clusterOptions{hosts: 3, workers: 12, seed: seed})
			defer c.close()
			demand := work.Resources{CPU: 1000, MemoryMB: 1024}
			large := newJob(1, work.Step{Tasks: 900, Demand: demand, EstimateMS: 2000}, work.Step{Tasks: 1200, Demand: demand, EstimateMS: 2000, After: []int{0}})
			c.store.SetFaults(standin.StoreFaults{LostRate: 0.2 * float64(seed), LateRate: 0.1 * float64(seed)})
			c.submit("batch", large, standin.Behaviour{Work: 2 * time.Second})
			for range 3 {
				time.Sleep(1500 * time.Millisecond)
				if o := c.owner(); o != nil {
					c.crash(o.name)
					c.addHost(o.name)
				}
			}
			c.store.SetFaults(standin.StoreFaults{})
			c.awaitStatus(large.ID, work.Completed, 2*time.Minute)
			time.Sleep(5 * time.Second)
			for chunk := 1; chunk < work.MaxChunks; chunk++ {
				if r, ok := c.store.Newest(replica.TopicRuns, replica.ChunkKey(large.ID, chunk)); ok {
					t.Errorf("record %s is left, %d bytes", r.Key, len(r.Value))
				}
			}
		})
	}
}
