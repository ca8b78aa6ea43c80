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

// TestWithdrawAfterFinish guards against a job that runs twice: its gang finished
// while a withdrawal could not reach every member at its first attempt.
func TestWithdrawAfterFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4)
		h := w.hosts[0]
		key := w.submit("gang", 3, 5*time.Second, nil)
		time.Sleep(4 * time.Second)
		var stops atomic.Int64
		h.hook(func(step string) error {
			if step != "stop" {
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
		h.mgr.mu.Lock()
		s := h.mgr.shards[model.ShardID{Zone: testZone}]
		h.mgr.mu.Unlock()
		s.launch(key, opWithdraw, func(ctx context.Context) {
			s.withdraw(ctx, e, withdrawal{reason: "preempted"})
		})
		w.finish(h, key, time.Minute)
		if got := h.table.Get(key).Job.Attempt; got != 1 {
			t.Errorf("the job ran in %d attempts", got)
		}
		w.clean()
	})
}
