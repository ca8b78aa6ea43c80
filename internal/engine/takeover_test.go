package engine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// TestRepeatedTakeoverPublishesStatuses guards against a completed job that stays running for
// callers because the takeover before was refused a read.
func TestRepeatedTakeoverPublishesStatuses(t *testing.T) {
	for _, after := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 700 * time.Millisecond, 900 * time.Millisecond, 4 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, clusterOptions{hosts: 3, workers: 4})
				defer c.close()
				for id := 1; id <= 40; id++ {
					behaviour := standin.Behaviour{Work: time.Duration(300+100*id) * time.Millisecond}
					c.submit("normal", newJob(id, work.Step{Tasks: 1, Demand: work.Resources{CPU: 1000}, EstimateMS: 1000}), behaviour)
				}
				c.store.RefuseNextLoad(replica.TopicRuns, after)
				c.crash(c.owner().name)
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
