package engine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// TestTakeoverThatTimedOutEndsItsEpoch guards against a second term in the epoch of a takeover that timed out, whose first statuses the store takes for repetitions.
func TestTakeoverThatTimedOutEndsItsEpoch(t *testing.T) {
	for _, latency := range []time.Duration{500 * time.Millisecond, 600 * time.Millisecond, 700 * time.Millisecond, 800 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, clusterOptions{hosts: 2, workers: 4})
				defer c.close()
				for id := 1; id <= 40; id++ {
					behaviour := standin.Behaviour{Work: time.Duration(300+100*id) * time.Millisecond}
					c.submit("normal", newJob(id, work.Step{Tasks: 1, Demand: work.Resources{CPU: 1000}, EstimateMS: 1000}), behaviour)
				}
				c.store.RefuseNextLoad(replica.TopicRuns, 4*time.Second)
				c.crash(c.owner().name)
				for c.owner() == nil {
					time.Sleep(10 * time.Millisecond)
				}
				c.store.SetFaults(standin.StoreFaults{ExtraLatency: latency})
				time.Sleep(3 * time.Second)
				c.store.SetFaults(standin.StoreFaults{})
				time.Sleep(12 * time.Second)
				for id := 1; id <= 40; id++ {
					if s := c.status(newJob(id).ID); s != work.Completed {
						t.Errorf("job %d is shown as %c", id, s)
					}
				}
			})
		})
	}
}
