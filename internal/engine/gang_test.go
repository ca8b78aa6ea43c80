package engine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// gangBreakTime is longer than runs work on a failing worker.
const gangBreakTime = 150 * time.Millisecond

// TestGangFailsOnceARun guards against a gang that is given up after one run because several members failed in it.
func TestGangFailsOnceARun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 12, gangBreakTime: gangBreakTime})
		defer c.close()
		for _, w := range c.workers[:4] {
			w.SetFailing(true)
		}
		j := newJob(1, work.Step{Tasks: 8, Demand: largeTask, EstimateMS: 1000, Gang: true})
		c.submit("normal", j, standin.Behaviour{Work: time.Second})
		c.awaitStatus(j.ID, work.Completed, 10*time.Second)
	})
}

// TestGangFailsOnceARunAcrossOwners guards against failures of one run that count again because the next owner learns of them.
func TestGangFailsOnceARunAcrossOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 3, workers: 4, gangBreakTime: time.Second})
		defer c.close()
		const firstFailure, interval, members = 3 * time.Second, 100 * time.Millisecond, 4
		j := newJob(1, work.Step{Tasks: members, Demand: largeTask, EstimateMS: 1000, Gang: true})
		c.submitTasks("key", "normal", j, func(_, index int) standin.Behaviour {
			return standin.Behaviour{Work: 2 * (firstFailure + time.Duration(index)*interval), Failures: members + 1}
		})
		for range 2 { // two runs fail
			c.awaitRunning(j, members, 10*time.Second)
			time.Sleep(firstFailure + interval/2) // the owner has recorded one failure
			c.crash(c.owner().name)
			time.Sleep(members * interval)
		}
		c.awaitStatus(j.ID, work.Completed, time.Minute)
		if n := c.fleet.Ledger().Count("failed"); n != 2*members {
			t.Errorf("%d members failed, want %d", n, 2*members)
		}
	})
}

// TestGangThatAlwaysFailsIsGivenUp guards against a gang that is started more often than its limit allows.
func TestGangThatAlwaysFailsIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 6, gangBreakTime: gangBreakTime})
		defer c.close()
		j := newJob(1, work.Step{Tasks: 4, Demand: largeTask, EstimateMS: 1000, Gang: true})
		c.submit("normal", j, standin.Behaviour{Work: time.Second, Failures: manyFailures})
		c.awaitStatus(j.ID, work.Failed, 30*time.Second)
		if n := len(c.fleet.Ledger().Runs(work.TaskName{Job: j.ID})); n != 3 {
			t.Errorf("the first task had %d runs, want 3", n)
		}
	})
}
