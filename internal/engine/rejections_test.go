package engine_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
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

// maxRejections is a bound of the appends that one record at fault may cost.
const maxRejections = 20

// otherJobs submits short jobs of another organisation at the same time.
func (c *cluster) otherJobs(count int) []work.Job {
	jobs := make([]work.Job, count)
	var group sync.WaitGroup
	for n := range jobs {
		jobs[n] = newJob(100+n, work.Step{Tasks: 2, Demand: smallTask, EstimateMS: 1000})
		group.Go(func() { c.submitWithKey("guest-key", "normal", jobs[n], standin.Behaviour{Work: time.Second}) })
	}
	group.Wait()
	return jobs
}

// checkRecorded fails the test if a job has runs without a record.
func (c *cluster) checkRecorded(jobs []work.Job) {
	c.t.Helper()
	for _, j := range jobs {
		r, _ := c.store.Newest(replica.TopicRuns, replica.StateKey(j.ID))
		if len(c.activeRuns(j)) > 0 && len(r.Value) == 0 {
			c.t.Errorf("job %s has runs and no record", j.ID)
		}
	}
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

// largeState selects the records of a job's state that hold tasks.
func largeState(id string) func(store.Record) bool {
	return func(r store.Record) bool { return r.Key == replica.StateKey(id) && len(r.Value) > 10 }
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

// TestRejectedStateFailsOnlyItsJob guards against a rejected append that is repeated for ever, while nothing is started for other jobs.
func TestRejectedStateFailsOnlyItsJob(t *testing.T) {
	for _, faults := range []standin.StoreFaults{{}, {LostRate: 0.2}, {ExtraLatency: 100 * time.Millisecond}} {
		t.Run(fmt.Sprintf("%+v", faults), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, clusterOptions{hosts: 2, workers: 4})
				defer c.close()
				bad := newJob(1, work.Step{Tasks: 2, Demand: smallTask, EstimateMS: 1000})
				count := c.rejectRecords(replica.TopicRuns, largeState(bad.ID))
				c.store.SetFaults(faults)
				go c.submit("normal", bad, standin.Behaviour{Work: time.Second})
				others := c.otherJobs(8)
				for range 20 {
					time.Sleep(100 * time.Millisecond)
					c.checkRecorded(others)
				}
				c.awaitCompleted(others, 20*time.Second)
				c.awaitStatus(bad.ID, work.Failed, 20*time.Second)
				if n := count.Load(); n == 0 || n > maxRejections {
					t.Errorf("%d appends were rejected, want 1 to %d", n, maxRejections)
				}
				if runs := c.fleet.Ledger().Runs(work.TaskName{Job: bad.ID}); len(runs) > 0 {
					t.Errorf("%d runs were started without a record", len(runs))
				}
			})
		})
	}
}

// TestRejectionStopsRunsOfItsJob guards against runs that continue after the store has rejected their job's state.
func TestRejectionStopsRunsOfItsJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 4})
		defer c.close()
		bad := newJob(1, work.Step{Tasks: 2, Demand: smallTask, EstimateMS: 60_000}, work.Step{Tasks: 1, Demand: smallTask, EstimateMS: 1000})
		c.submitTasks("key", "normal", bad, func(step, _ int) standin.Behaviour {
			return standin.Behaviour{Work: []time.Duration{time.Minute, 3 * time.Second}[step]}
		})
		time.Sleep(2 * time.Second)
		c.rejectRecords(replica.TopicRuns, largeState(bad.ID))
		c.awaitStatus(bad.ID, work.Failed, 10*time.Second)
		time.Sleep(3 * time.Second)
		if n := len(c.activeRuns(bad)); n > 0 {
			t.Errorf("%d runs of a failed job are left", n)
		}
		c.awaitCompleted(c.otherJobs(2), 10*time.Second)
	})
}

// TestRejectionOfEverythingIsAnOutage guards against jobs that fail because the store rejects all appends for a while.
func TestRejectionOfEverythingIsAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 4})
		defer c.close()
		c.rejectRecords(replica.TopicRuns, func(store.Record) bool { return true })
		jobs := c.otherJobs(3)
		time.Sleep(10 * time.Second)
		c.store.SetInvalid(nil)
		c.awaitCompleted(jobs, 20*time.Second)
	})
}

// TestStatusesFollowRejectionOfEverything guards against statuses that callers never see because the store rejected all appends for a moment.
func TestStatusesFollowRejectionOfEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 4})
		defer c.close()
		jobs := c.otherJobs(3)
		time.Sleep(900 * time.Millisecond)
		c.rejectRecords(replica.TopicStatuses, func(store.Record) bool { return true })
		time.Sleep(400 * time.Millisecond)
		c.store.SetInvalid(nil)
		c.awaitCompleted(jobs, 5*time.Second)
	})
}

// TestRejectedStatusLeavesOthersVisible guards against an owner without heartbeat, and statuses that callers never see, because the store rejects one status.
func TestRejectedStatusLeavesOthersVisible(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 3, workers: 4})
		defer c.close()
		owner := c.owner()
		bad := newJob(1, work.Step{Tasks: 2, Demand: smallTask, EstimateMS: 1000})
		count := c.rejectRecords(replica.TopicStatuses, func(r store.Record) bool { return r.Key == replica.StateKey(bad.ID) })
		c.submit("normal", bad, standin.Behaviour{Work: time.Second})
		c.awaitCompleted(c.otherJobs(6), 20*time.Second)
		time.Sleep(10 * time.Second)
		if c.owner() != owner {
			t.Error("the owner has changed")
		}
		if n := count.Load(); n == 0 || n > 2*maxRejections {
			t.Errorf("%d appends were rejected, want 1 to %d", n, 2*maxRejections)
		}
	})
}

// TestRejectedDeletionLeavesOthersDeleted guards against records of ended jobs that stay at the store because it rejects the deletion of one.
func TestRejectedDeletionLeavesOthersDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 4})
		defer c.close()
		jobs := c.otherJobs(4)
		c.awaitCompleted(jobs, 20*time.Second)
		c.rejectRecords(replica.TopicJobs, func(r store.Record) bool { return r.Key == replica.JobKey(jobs[1].ID) && len(r.Value) == 0 })
		time.Sleep(4 * time.Minute)
		for i, j := range jobs {
			if _, kept := c.store.Newest(replica.TopicJobs, replica.JobKey(j.ID)); kept != (i == 1) {
				t.Errorf("record of job %d is kept: %v", i, kept)
			}
		}
	})
}

// TestRejectedWaveStatusLeavesJobsRunning guards against a loop that waits for ever for the status of a wave.
func TestRejectedWaveStatusLeavesJobsRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 4})
		defer c.close()
		count := c.rejectRecords(statusTopic, func(store.Record) bool { return true })
		c.store.Put(operatorTopic, store.Record{Key: "wave/1", Value: []byte(`{"Number":1,"Machines":["w00","w01"],"TimeLimit":30000000000,"MaxDown":1}`)})
		time.Sleep(15 * time.Second)
		c.awaitCompleted(c.otherJobs(4), 20*time.Second)
		if n := count.Load(); n == 0 || n > maxRejections {
			t.Errorf("%d appends were rejected, want 1 to %d", n, maxRejections)
		}
	})
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

// TestUnreadableStateEndsItsJob guards against a job that vanishes, or whose tasks run again, because a new owner cannot read its state.
func TestUnreadableStateEndsItsJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 1, workers: 4})
		defer c.close()
		bad := newJob(1, work.Step{Tasks: 2, Demand: smallTask, EstimateMS: 60_000})
		c.submit("normal", bad, standin.Behaviour{Work: time.Minute})
		ended := c.otherJobs(1)
		c.awaitCompleted(ended, 10*time.Second)
		c.crash("host-0")
		c.store.Put(replica.TopicRuns, store.Record{Key: replica.StateKey(bad.ID), Value: []byte("r1?")}, store.Record{Key: replica.StateKey(ended[0].ID), Value: []byte("d")})
		c.addHost("host-0")
		c.awaitStatus(bad.ID, work.Failed, 10*time.Second)
		c.awaitStatus(ended[0].ID, work.Completed, time.Second)
		time.Sleep(15 * time.Second)
		if n := len(c.activeRuns(bad)); n > 0 {
			t.Errorf("%d runs of a failed job are left", n)
		}
		if n := len(c.fleet.Ledger().Runs(work.TaskName{Job: bad.ID})); n != 1 {
			t.Errorf("the first task had %d runs", n)
		}
		if r, _ := c.store.Newest(replica.TopicRuns, replica.StateKey(bad.ID)); len(r.Value) == 0 || r.Value[0] != byte(work.Failed) {
			t.Errorf("the record is %q", r.Value)
		}
	})
}

// TestFormerStateIsTakenOver guards against tasks that run twice or never because an owner of an earlier release recorded them.
func TestFormerStateIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 1, workers: 4})
		defer c.close()
		j := newJob(1, work.Step{Tasks: 2, Demand: smallTask, EstimateMS: 1000}, work.Step{Tasks: 3, Demand: smallTask, EstimateMS: 8000})
		c.submitTasks("key", "normal", j, func(step, _ int) standin.Behaviour {
			return standin.Behaviour{Work: []time.Duration{time.Second, 8 * time.Second}[step]}
		})
		time.Sleep(2 * time.Second)
		c.crash("host-0")
		r, _ := c.store.Newest(replica.TopicRuns, replica.StateKey(j.ID))
		s, err := work.DecodeState(&j, [][]byte{r.Value})
		if err != nil {
			t.Fatal(err)
		}
		former, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		c.store.Put(replica.TopicRuns, store.Record{Key: r.Key, Value: append(s.Header(), former...)})
		c.addHost("host-0")
		c.awaitStatus(j.ID, work.Completed, 20*time.Second)
		for step := range j.Steps {
			if n := len(c.fleet.Ledger().Runs(work.TaskName{Job: j.ID, Step: step})); n != 1 {
				t.Errorf("the first task of step %d had %d runs", step, n)
			}
		}
	})
}

// TestUnreadableJobRecordKeepsItsState guards against a job that callers are told does not exist, and whose state is deleted, because its record cannot be decoded.
func TestUnreadableJobRecordKeepsItsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 1, workers: 4})
		defer c.close()
		bad := newJob(1, work.Step{Tasks: 2, Demand: smallTask, EstimateMS: 60_000})
		c.submit("normal", bad, standin.Behaviour{Work: time.Minute})
		time.Sleep(2 * time.Second)
		c.crash("host-0")
		c.store.Put(replica.TopicJobs, store.Record{Key: replica.JobKey(bad.ID), Value: []byte("{}")})
		c.addHost("host-0")
		c.awaitStatus(bad.ID, work.Failed, 10*time.Second)
		c.awaitCompleted(c.otherJobs(2), 20*time.Second)
		if r, _ := c.store.Newest(replica.TopicRuns, replica.StateKey(bad.ID)); len(r.Value) == 0 {
			t.Error("the state was deleted")
		}
		if n := len(c.activeRuns(bad)); n > 0 {
			t.Errorf("%d runs of a failed job are left", n)
		}
	})
}
