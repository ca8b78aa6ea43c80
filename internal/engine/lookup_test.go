package engine_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/intake"
	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// TestLookupsAreAnsweredWhileStoreIsSilent guards against calls for unknown jobs that get no
// answer in time because each waits for the reads of all others to time out.
func TestLookupsAreAnsweredWhileStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 1, workers: 1})
		defer c.close()
		h := c.anyHost()
		c.store.SetHostFaults(h.name, standin.StoreFaults{Down: true})
		defer c.store.SetHostFaults(h.name, standin.StoreFaults{})
		var calls sync.WaitGroup
		for i := range 8 {
			calls.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				began, j := time.Now(), newJob(100+i)
				a := h.Intake.Status(t.Context(), newCall("/normal/"+j.ID), j.ID)
				if took := time.Since(began); took > callerTimeout || a.Outcome != intake.TryLater {
					t.Errorf("call %d was answered %s after %s", i, a.Outcome, took)
				}
			})
		}
		calls.Wait()
	})
}

// TestStartedHostReturnsNoUnreadStatus guards against a host that returns a completed job as
// queued because it has not read any status since its start.
func TestStartedHostReturnsNoUnreadStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 1})
		defer c.close()
		j := newJob(1, work.Step{Tasks: 1, Demand: smallTask, EstimateMS: 500})
		c.submit("normal", j, standin.Behaviour{Work: 500 * time.Millisecond})
		c.awaitStatus(j.ID, work.Completed, 3*time.Second)
		c.wrapStore = func(_ string, s store.Store) store.Store {
			return &failingReads{Store: s, topic: replica.TopicStatuses, delay: 1200 * time.Millisecond}
		}
		h := c.addHost("host-9")
		for began := time.Now(); time.Since(began) < settleTime; {
			a := h.Intake.Status(t.Context(), newCall("/normal/"+j.ID), j.ID)
			if a.Outcome == intake.OK && a.Status != work.Completed {
				t.Fatalf("%s after its start the host returned the status %c", time.Since(began), a.Status)
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}
