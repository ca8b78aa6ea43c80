package engine_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// failingReads is a client of the store whose first read of a topic's newest records fails
// after a delay. Until then each fenced append takes appendTime.
type failingReads struct {
	store.Store
	topic             string
	delay, appendTime time.Duration
	failed            atomic.Bool
}

func (f *failingReads) Newest(ctx context.Context, topic string) ([]store.Record, int64, error) {
	if topic == f.topic && !f.failed.Load() {
		time.Sleep(f.delay)
		f.failed.Store(true)
		return nil, 0, errors.New("connection reset")
	}
	return f.Store.Newest(ctx, topic)
}

func (f *failingReads) AppendFenced(ctx context.Context, topic string, position store.Position, records []store.Record) (int64, error) {
	end, err := f.Store.AppendFenced(ctx, topic, position, records)
	if !f.failed.Load() {
		time.Sleep(f.appendTime)
	}
	return end, err
}

// TestFailedTakeoverPublishesStatuses guards against statuses that the store drops because a
// takeover that failed has used their sequence numbers.
func TestFailedTakeoverPublishesStatuses(t *testing.T) {
	for name, client := range map[string]*failingReads{
		"one read fails":                        {topic: replica.TopicRuns, delay: 700 * time.Millisecond},
		"reads time out while appends are slow": {topic: replica.TopicRuns, delay: 3200 * time.Millisecond, appendTime: 900 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testFailingTakeover(t, client) })
		})
	}
}

func testFailingTakeover(t *testing.T, client *failingReads) {
	c := newCluster(t, clusterOptions{hosts: 1, workers: 2})
	defer c.close()
	j := newJob(1, work.Step{Tasks: 1, Demand: smallTask, EstimateMS: 1000})
	c.submit("normal", j, standin.Behaviour{Work: time.Second})
	time.Sleep(500 * time.Millisecond)
	c.crash("host-0")
	time.Sleep(2 * time.Second)
	c.wrapStore = func(_ string, s store.Store) store.Store {
		client.Store = s
		return client
	}
	c.addHost("host-1")
	c.awaitStatus(j.ID, work.Completed, 12*time.Second)
}
