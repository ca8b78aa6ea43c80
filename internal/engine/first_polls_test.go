package engine_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// processor is the only processor of a host. Its users take turns in the order of their requests.
type processor chan struct{}

func (p processor) use(d time.Duration) {
	p <- struct{}{}
	time.Sleep(d)
	<-p
}

// Processor time of a poll of a worker, and of a call to the store.
const (
	pollCost  = 400 * time.Microsecond
	storeCost = 400 * time.Microsecond
)

type busyWorkers struct {
	workers.Client
	processor processor
}

func (c busyWorkers) Poll(ctx context.Context, ref workers.Ref, r workers.PollRequest) (workers.Report, error) {
	c.processor.use(pollCost)
	report, err := c.Client.Poll(ctx, ref, r)
	c.processor.use(pollCost)
	return report, err
}

type busyStore struct {
	store.Store
	processor processor
}

func (s busyStore) AppendFenced(ctx context.Context, topic string, position store.Position, records []store.Record) (int64, error) {
	s.processor.use(storeCost)
	return s.Store.AppendFenced(ctx, topic, position, records)
}

func (s busyStore) Join(ctx context.Context, r store.JoinRequest) (store.Membership, error) {
	s.processor.use(storeCost)
	return s.Store.Join(ctx, r)
}

func (s busyStore) Owners(ctx context.Context, group string) (map[int]string, error) {
	s.processor.use(storeCost)
	return s.Store.Owners(ctx, group)
}

// newBusyCluster returns a cluster with many workers whose hosts have one slow processor each.
func newBusyCluster(t *testing.T, hosts, count int) *largeCluster {
	core, logs := observer.New(zapcore.InfoLevel)
	c := newCluster(t, clusterOptions{workers: count, log: zap.New(core)})
	processors := map[string]processor{}
	for i := range hosts {
		name := fmt.Sprintf("host-%d", i)
		processors[name] = make(processor, 1)
	}
	c.wrapWorkers = func(host string, w workers.Client) workers.Client { return busyWorkers{w, processors[host]} }
	c.wrapStore = func(host string, s store.Store) store.Store { return busyStore{s, processors[host]} }
	for name := range processors {
		c.addHost(name)
	}
	time.Sleep(settleTime)
	return &largeCluster{c, logs}
}

// TestTakeoverOfManyWorkersEnds guards against a new owner that polls all workers at once, writes no heartbeat meanwhile, and is replaced by one that does the same.
func TestTakeoverOfManyWorkersEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newBusyCluster(t, 4, 1500)
		defer c.close()
		j := newJob(1, work.Step{Tasks: 300, Demand: smallTask, EstimateMS: 20_000})
		c.submit("normal", j, standin.Behaviour{Work: 20 * time.Second})
		time.Sleep(3 * time.Second)
		c.checkTakeovers(t, 1, func() { c.crash(c.owner().name) })
		c.awaitStatus(j.ID, work.Completed, 60*time.Second)
	})
}
