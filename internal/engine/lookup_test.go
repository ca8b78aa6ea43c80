package engine_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/intake"
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
