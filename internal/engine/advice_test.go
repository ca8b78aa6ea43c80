package engine_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// TestRejectedAdviceDoesNotStopOthers guards against a step for which all calls for advice fail and that keeps others from being asked for.
func TestRejectedAdviceDoesNotStopOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 8})
		defer c.close()
		bad := newJob(1, work.Step{Tasks: 1, Demand: smallTask, EstimateMS: 1000})
		c.advisor.SetRejections(func(step string) bool { return strings.HasPrefix(step, bad.ID) })
		bad.NeedsAdvice = true
		c.submit("advised", bad, standin.Behaviour{Work: time.Second})
		for id := 2; id <= 4; id++ {
			j := newJob(id, work.Step{Tasks: 2, Demand: smallTask, EstimateMS: 1000})
			j.NeedsAdvice = true
			c.submit("advised", j, standin.Behaviour{Work: time.Second})
		}
		for id := 2; id <= 4; id++ {
			c.awaitStatus(newJob(id).ID, work.Completed, 10*time.Second)
		}
		calls := c.advisor.CallCount()
		time.Sleep(10 * time.Second)
		if n := c.advisor.CallCount() - calls; n < 2 || n > 10 {
			t.Errorf("%d calls in 10 s for a step that is rejected, want 2 to 10", n)
		}
		c.advisor.SetRejections(nil)
		c.awaitStatus(bad.ID, work.Completed, 10*time.Second)
	})
}
