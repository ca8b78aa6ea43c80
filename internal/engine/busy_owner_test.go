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

	"github.com/daisyfold/daisyfold/internal/engine/intake"
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

// Processor time of sending a poll and of its answer, the same of a start, which opens a connection
// more often, and of a call to the store.
const (
	pollCost  = 400 * time.Microsecond
	startCost = 800 * time.Microsecond
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

func (c busyWorkers) Start(ctx context.Context, ref workers.Ref, o workers.StartOrder) (workers.Answer, error) {
	c.processor.use(startCost)
	if err := ctx.Err(); err != nil {
		return workers.Answer{}, err
	}
	answer, err := c.Client.Start(ctx, ref, o)
	c.processor.use(startCost)
	return answer, err
}

func (c busyWorkers) Stop(ctx context.Context, ref workers.Ref, run work.RunName, fence int64) (workers.Answer, error) {
	c.processor.use(startCost)
	if err := ctx.Err(); err != nil {
		return workers.Answer{}, err
	}
	answer, err := c.Client.Stop(ctx, ref, run, fence)
	c.processor.use(startCost)
	return answer, err
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

// TestManyGangsStartWhole guards against an owner that sends the starts of hundreds of tasks at once, so that attempts time out before they are sent, members of gangs wait for the others in vain, and its heartbeat stops.
func TestManyGangsStartWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newBusyCluster(t, 4, 600)
		defer c.close()
		var jobs []work.Job
		c.checkTakeovers(t, 0, func() {
			for id := 1; id <= 30; id++ {
				j := newJob(id, work.Step{Tasks: 20, Demand: largeTask, EstimateMS: 10_000, Gang: true})
				go c.submit("normal", j, standin.Behaviour{Work: 10 * time.Second})
				jobs = append(jobs, j)
			}
		})
		c.awaitCompleted(jobs, 30*time.Second)
		for _, ending := range []workers.Ending{workers.EndedGangIncomplete, workers.EndedGangBroken, workers.EndedStopped} {
			if n := c.fleet.Ledger().Count(ending.String()); n > 0 {
				t.Errorf("%d runs ended %s", n, ending)
			}
		}
	})
}

// TestManyStopsLeaveOwner guards against an owner that sends the stops of hundreds of tasks at once, so that its heartbeat stops and it is replaced.
func TestManyStopsLeaveOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newBusyCluster(t, 4, 400)
		defer c.close()
		j := newJob(1, work.Step{Tasks: 1000, Demand: smallTask, EstimateMS: 60_000})
		c.submit("normal", j, standin.Behaviour{Work: time.Minute})
		c.awaitRunning(j, 1000, 10*time.Second)
		c.checkTakeovers(t, 0, func() {
			if a := c.anyHost().Intake.Cancel(t.Context(), newCall("/normal/"+j.ID), j.ID); a.Outcome != intake.OK {
				t.Errorf("got %v (%s) for the cancellation", a.Outcome, a.Reason)
			}
			time.Sleep(3 * time.Second)
			if n := len(c.activeRuns(j)); n > 0 {
				t.Errorf("%d tasks run 3 s after the cancellation", n)
			}
		})
	})
}
