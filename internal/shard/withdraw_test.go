package shard

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
)

// TestWithdrawalOfFinishedGang guards against a job that runs twice because its gang finishes
// while a withdrawal retries the stop of a member that it could not reach.
func TestWithdrawalOfFinishedGang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 4)
		h := c.hosts[0]
		key := c.submit("gang", 3, 5*time.Second, nil)
		time.Sleep(4 * time.Second)
		var stops atomic.Int64
		h.setBeforeCall(func(call string) error {
			if call != "stop" {
				return nil
			}
			first := stops.Add(1) == 1
			time.Sleep(2 * time.Second) // the gang finishes meanwhile
			if first {
				return errors.New("the worker is being acquired")
			}
			return nil
		})
		e := h.table.Get(key)
		h.manager.mu.Lock()
		s := h.manager.shards[model.ShardID{Zone: testZone}]
		h.manager.mu.Unlock()
		s.launchOp(key, opWithdraw, func(ctx context.Context) {
			s.withdraw(ctx, e, withdrawal{reason: "preempted"})
		})
		c.waitFinal(h, key, time.Minute)
		if got := h.table.Get(key).Job.Attempt; got != 1 {
			t.Errorf("the job ran in %d attempts, want 1", got)
		}
		c.checkAndClose()
	})
}
