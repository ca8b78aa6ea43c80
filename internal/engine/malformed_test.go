package engine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// TestMalformedStartsArePostponed guards against starts that every worker rejects as malformed and that are repeated without a pause.
func TestMalformedStartsArePostponed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 4})
		defer c.close()
		bad := newJob(1, work.Step{Tasks: 3, Demand: smallTask, EstimateMS: 1000})
		c.submit("normal", bad, standin.Behaviour{Work: time.Second, Malformed: true})
		c.awaitCompleted(c.otherJobs(4), 10*time.Second)
		time.Sleep(30 * time.Second)
		if n := c.fleet.MalformedStarts(); n < 9 || n > 60 {
			t.Errorf("%d starts were rejected, want 9 to 60", n)
		}
	})
}
