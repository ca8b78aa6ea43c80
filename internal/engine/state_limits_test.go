package engine_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/intake"
	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// savingSteps returns steps of one task with checkpoints of some 100 bytes.
func savingSteps(count int) ([]work.Step, standin.Behaviour) {
	step := work.Step{Tasks: 1, Demand: work.Resources{CPU: 1000}, EstimateMS: 4000, SavesProgress: true}
	return slices.Repeat([]work.Step{step}, count), standin.Behaviour{Work: 4 * time.Second, Failures: 1, CheckpointPadding: 80}
}

// rejectBeyond makes the store reject appends beyond the limits, and returns a function that fails the test if there were any.
func (c *cluster) rejectBeyond(limits store.Limits) (check func()) {
	count := c.rejectRecords(replica.TopicRuns, func(r store.Record) bool { return r.Size() > limits.RecordBytes })
	return func() {
		c.t.Helper()
		if n := count.Load(); n > 0 {
			c.t.Errorf("%d records beyond the limit were sent", n)
		}
	}
}

// TestStateFitsLimitsOfSettings guards against accepted jobs that fail because their state, with long checkpoints, exceeds a limit of the settings below the usual one.
func TestStateFitsLimitsOfSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := store.Limits{RecordBytes: 3200, CallBytes: 64 << 10}
		c := newCluster(t, clusterOptions{hosts: 2, workers: 4, limits: limits})
		defer c.close()
		check := c.rejectBeyond(limits)
		steps, behaviour := savingSteps(40)
		j := newJob(1, steps...)
		c.submit("normal", j, behaviour)
		time.Sleep(6 * time.Second)
		c.crash(c.owner().name)
		c.awaitStatus(j.ID, work.Completed, 40*time.Second)
		check()
	})
}

// TestStateBeyondLimitsIsRejectedAtSubmission guards against jobs that are accepted although their state may exceed the store's limits.
func TestStateBeyondLimitsIsRejectedAtSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 1, workers: 4, limits: store.Limits{RecordBytes: 3200, CallBytes: 16 << 10}})
		defer c.close()
		j := newJob(1, work.Step{Tasks: 100, Demand: work.Resources{CPU: 1000}, EstimateMS: 1000})
		j.MaxAttempts = 3
		if a := c.anyHost().Intake.Submit(t.Context(), newCall("/normal/"+j.ID), j); a.Outcome != intake.BadJob || a.RetryAfter != 0 {
			t.Errorf("got %v (%s), want %v", a.Outcome, a.Reason, intake.BadJob)
		}
		c.awaitCompleted(c.otherJobs(2), 10*time.Second)
	})
}

// lowerLimits restarts all hosts with lower limits of the store.
func (c *cluster) lowerLimits(limits store.Limits) {
	c.limits = limits
	c.crashAll(100 * time.Millisecond)
}

// TestLoweredLimitsCostCheckpointsOnly guards against jobs that fail because the limits are lower than at their acceptance, although they can be kept without checkpoints.
func TestLoweredLimitsCostCheckpointsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: endsDayHosts, workers: 4})
		defer c.close()
		steps, behaviour := savingSteps(40)
		j := newJob(1, steps...)
		c.submit("normal", j, behaviour)
		time.Sleep(time.Second)
		limits := store.Limits{RecordBytes: 3200, CallBytes: 3200}
		c.lowerLimits(limits)
		check := c.rejectBeyond(limits)
		c.awaitStatus(j.ID, work.Completed, 60*time.Second)
		check()
	})
}

// TestStateBeyondLimitsFailsOnlyItsJob guards against appends that the limits of the settings rule out, and against what follows from them, when the limits are lower than at the job's acceptance.
func TestStateBeyondLimitsFailsOnlyItsJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: endsDayHosts, workers: 4})
		defer c.close()
		steps, behaviour := savingSteps(400)
		bad := newJob(1, steps...)
		c.submit("normal", bad, behaviour)
		time.Sleep(time.Second)
		limits := store.Limits{RecordBytes: 1 << 10, CallBytes: 4 << 10}
		c.lowerLimits(limits)
		check := c.rejectBeyond(limits)
		c.awaitStatus(bad.ID, work.Failed, 20*time.Second)
		c.awaitCompleted(c.otherJobs(4), 20*time.Second)
		check()
	})
}
