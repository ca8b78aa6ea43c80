package engine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

const (
	endsDayDuration = 20 * time.Second
	endsDayHosts    = 3
	endsDayWorkers  = 2
	// endsDayInterval is the interval at whose multiples the tasks end.
	endsDayInterval = 2 * time.Second
)

// TestRandomDaysOfManyEnds guards against ends that are lost between reports, store and hosts.
func TestRandomDaysOfManyEnds(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { simulateDayOfManyEnds(t, seed) })
		})
	}
}

func simulateDayOfManyEnds(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 11))
	log := zap.NewNop()
	if *printLogs {
		log = zaptest.NewLogger(t)
	}
	c := newCluster(t, clusterOptions{
		hosts: endsDayHosts, workers: endsDayWorkers, seed: seed, log: log,
		endsPageSize: 1 + rng.IntN(30), orderTime: time.Duration(rng.IntN(500)) * time.Microsecond,
	})
	defer c.close()
	began := time.Now()
	var jobs []work.Job
	for n := 1; time.Since(began) < endsDayDuration; n++ {
		j := newJob(n, work.Step{Tasks: 1 + rng.IntN(100), Demand: tinyTask, EstimateMS: 2000, SavesProgress: rng.IntN(2) == 0})
		jobs = append(jobs, j)
		c.submitTasks("key", "normal", j, func(int, int) standin.Behaviour {
			return standin.Behaviour{Work: endsDayInterval - time.Since(began)%endsDayInterval}
		})
		if rng.IntN(2) == 0 {
			c.faultAroundEnds(rng)
		}
		time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
	}
	c.store.SetFaults(standin.StoreFaults{})
	c.fleet.SetOrderFaults(0, 0)
	for _, j := range jobs {
		c.awaitStatus(j.ID, work.Completed, finishTimeout)
	}
}

// faultAroundEnds causes a fault. It waits while all hosts are down; other faults end later.
func (c *cluster) faultAroundEnds(rng *rand.Rand) {
	duration := time.Duration(rng.IntN(3000)) * time.Millisecond
	w := c.workers[rng.IntN(len(c.workers))]
	id := fmt.Sprintf("w%02d", rng.IntN(len(c.workers)))
	switch rng.IntN(8) {
	case 0:
		c.store.SetFaults(standin.StoreFaults{ExtraLatency: duration / 6})
	case 1:
		c.store.SetFaults(standin.StoreFaults{LostRate: 0.4, LateRate: 0.2})
	case 2:
		c.store.SetFaults(standin.StoreFaults{Down: true})
		time.AfterFunc(duration, func() { c.store.SetFaults(standin.StoreFaults{}) })
	case 3:
		c.crashAll(duration)
	case 4:
		if owner := c.owner(); owner != nil {
			c.crash(owner.name)
			c.addHost(owner.name)
		}
	case 5:
		c.fleet.SetUnreachable("", id, true)
		time.AfterFunc(3*duration, func() { c.fleet.SetUnreachable("", id, false) }) // beyond a lease
	case 6:
		c.fleet.SetOrderFaults(0.1, 0.2)
	case 7:
		w.Restart()
	}
}

// crashAll crashes all hosts and starts them again after the given time.
func (c *cluster) crashAll(down time.Duration) {
	for i := range endsDayHosts {
		c.crash(fmt.Sprintf("host-%d", i))
	}
	time.Sleep(down)
	for i := range endsDayHosts {
		c.addHost(fmt.Sprintf("host-%d", i))
	}
}
