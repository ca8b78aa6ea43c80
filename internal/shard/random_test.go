package shard

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/emulator"
	"github.com/daisyfold/daisyfold/internal/judge"
	"github.com/daisyfold/daisyfold/internal/ledger"
	"github.com/daisyfold/daisyfold/internal/model"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed of the random faults")
	seeds     = flag.Int("seeds", 20, "number of seeds of the random faults")
)

// TestRandomFaults guards against faults that come together: hosts die and are
// replaced, workers are lost, cut off or bad, the log goes down, and evidence ends,
// while gangs arrive. Afterwards everything heals and every job must end whole.
func TestRandomFaults(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newChaos(t, seed).run() })
		})
	}
}

// chaos drives one world with random faults.
type chaos struct {
	*world
	rand   *rand.Rand
	down   bool
	faulty map[model.WorkerID]bool
	faults []workerFault
	next   int
	keys   []model.JobKey
}

func newChaos(t *testing.T, seed uint64) *chaos {
	return &chaos{
		world: newWorld(t, 8), rand: rand.New(rand.NewPCG(seed, 0)),
		faulty: map[model.WorkerID]bool{}, next: 2,
	}
}

func (c *chaos) run() {
	for range 25 {
		if !c.down && c.rand.IntN(2) == 0 {
			c.submitOne()
		}
		c.fault()
		time.Sleep(time.Duration(c.rand.IntN(4000)) * time.Millisecond)
	}
	c.heal()
	for _, key := range c.keys {
		state := c.finish(c.ownerHost(), key, 10*time.Minute)
		if state != model.JobFinished {
			c.t.Errorf("job %s is %s", key, state)
		}
	}
	for _, f := range judge.Check(c.emulator.Ledger(), c.history).Violations {
		if !c.allowed(f) {
			c.t.Error(f)
		}
	}
	c.leases.check(c.t)
	c.close()
}

func (c *chaos) submitOne() {
	id := model.JobID(fmt.Sprint("j", len(c.keys)))
	run := time.Duration(1+c.rand.IntN(20)) * time.Second
	c.keys = append(c.keys, c.submit(id, 1+c.rand.IntN(3), run, nil))
}

func (c *chaos) fault() {
	worker := c.workers[c.rand.IntN(len(c.workers))].ID
	switch c.rand.IntN(7) {
	case 0:
		c.replaceOwner()
	case 1:
		c.setLog(!c.down)
		c.down = !c.down
	case 2:
		c.setFaulty(worker, emulator.WorkerFault{Paused: &yes})
	case 3:
		c.setFaulty(worker, emulator.WorkerFault{Lost: &yes})
	case 4:
		c.repair()
	case 5:
		c.mu.Lock()
		c.noEvidence = !c.noEvidence
		c.mu.Unlock()
	default:
	}
}

// setFaulty breaks a worker; at most two are broken at a time.
func (c *chaos) setFaulty(id model.WorkerID, f emulator.WorkerFault) {
	if len(c.faulty) >= 2 || c.faulty[id] {
		return
	}
	c.faulty[id] = true
	c.faults = append(c.faults, workerFault{worker: id, from: time.Now().UnixMilli()})
	c.setWorkerFault(id, f)
}

func (c *chaos) repair() {
	for id := range c.faulty {
		c.setWorkerFault(id, emulator.WorkerFault{Paused: &no, Lost: &no})
		delete(c.faulty, id)
	}
	for i := range c.faults {
		if c.faults[i].to == 0 {
			c.faults[i].to = time.Now().UnixMilli()
		}
	}
}

// workerFault is the time in which a worker could not be reached, ms since 1970.
type workerFault struct {
	worker   model.WorkerID
	from, to int64
}

// reportMS is the time in which a planner records an end that a worker reported.
const reportMS = 1000

// outOfReach reports whether an attempt ran without its whole gang because a member
// was on a worker that could not be reached, and for no longer than the bound.
func (c *chaos) outOfReach(f judge.Violation) bool {
	var attempt int
	var alone int64
	if _, err := fmt.Sscanf(f.Detail, "attempt %d ran %d ms", &attempt, &alone); err != nil || alone > longestAloneMS {
		return false
	}
	for _, task := range c.emulator.Ledger().Tasks {
		if task.Job.String() == f.Subject && task.Attempt == attempt && c.unreported(task) {
			return true
		}
	}
	return false
}

// unreported reports whether the worker could not report a task's end.
func (c *chaos) unreported(task ledger.TaskRun) bool {
	for _, f := range c.faults {
		if f.worker == task.Worker && f.from <= task.EndUnixMS+reportMS && f.to >= task.EndUnixMS {
			return true
		}
	}
	return false
}

// longestAloneMS is the longest time of docs/decisions/0011 that a member runs alone,
// with half a second of margin.
const longestAloneMS = 12_500

// allowed reports whether a finding is a case that the design names. The first is a
// second run after an attempt whose end could not be reported: its result is on a
// worker that nobody reached, so a repeatable job runs again. The second is a member
// on such a worker that ended by itself after the rest was stopped: the stop call did
// not reach it.
func (c *chaos) allowed(f judge.Violation) bool {
	if f.Kind == judge.KindPartial {
		return c.outOfReach(f)
	}
	if f.Kind != judge.KindDuplicated || !strings.HasSuffix(f.Detail, "attempts completed") {
		return false
	}
	size, finished, unreported := map[int]int{}, map[int]int{}, map[int]bool{}
	last := 0
	for _, task := range c.emulator.Ledger().Tasks {
		if task.Job.String() != f.Subject || task.Outcome != ledger.OutcomeFinished {
			continue
		}
		size[task.Attempt] = task.GangSize
		finished[task.Attempt]++
		unreported[task.Attempt] = unreported[task.Attempt] || c.unreported(task)
		last = max(last, task.Attempt)
	}
	for attempt := range finished {
		complete := finished[attempt] == size[attempt]
		if complete && attempt < last && !unreported[attempt] {
			return false
		}
	}
	return true
}

// replaceOwner kills the planner. Another host takes over, and a fresh one joins
// unless the log is down, which a fresh host needs.
func (c *chaos) replaceOwner() {
	live := c.live()
	if len(live) < 2 {
		return
	}
	dead := c.ownerHost()
	dead.kill()
	time.Sleep(takeover)
	c.handOver(c.live()[0])
	if c.down {
		return
	}
	c.next++
	h := c.newHost(model.HostID(fmt.Sprint("h", c.next)))
	c.mu.Lock()
	c.hosts = append(c.hosts, h)
	c.mu.Unlock()
}

func (c *chaos) ownerHost() *host {
	for _, h := range c.live() {
		if owner, _ := c.ownerOf(model.ShardID{}); h.id == owner {
			return h
		}
	}
	c.t.Fatal("no host owns the shard")
	return nil
}

// heal ends all faults.
func (c *chaos) heal() {
	c.repair()
	c.setLog(false)
	c.down = false
	c.mu.Lock()
	c.noEvidence = false
	c.mu.Unlock()
}
