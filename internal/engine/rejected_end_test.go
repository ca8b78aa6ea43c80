package engine_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// TestRejectedEndIsVisible guards against a completed job that callers see as running because the store rejected the record of its end once.
func TestRejectedEndIsVisible(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 4})
		defer c.close()
		j := newJob(1, work.Step{Tasks: 2, Demand: smallTask, EstimateMS: 1000})
		var rejected atomic.Bool
		c.store.SetInvalid(func(topic string, r store.Record) bool {
			isEnd := topic == replica.TopicRuns && r.Key == replica.StateKey(j.ID) && len(r.Value) > 0 && work.Status(r.Value[0]).Ended()
			return isEnd && !rejected.Swap(true)
		})
		c.submit("normal", j, standin.Behaviour{Work: time.Second})
		c.awaitStatus(j.ID, work.Completed, 20*time.Second)
		if !rejected.Load() {
			t.Error("the record of the end was not rejected")
		}
	})
}
