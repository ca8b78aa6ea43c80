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

// TestRandomFaults guards against combinations of faults: while gangs are submitted, hosts
// die and are replaced, workers are lost or paused, the log goes down, and the start
// evidence expires. After all faults have ended, every job must finish as a whole.
func TestRandomFaults(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newRandomFaults(t, seed).run() })
		})
	}
}

// randomFaults injects random faults into a cluster.
type randomFaults struct {
	*testCluster
	rand               *rand.Rand
	logDown            bool
	faultyWorkers      map[model.WorkerID]bool
	unreachablePeriods []unreachablePeriod
	lastHostNumber     int
	jobKeys            []model.JobKey
}

func newRandomFaults(t *testing.T, seed uint64) *randomFaults {
	return &randomFaults{
		testCluster: newTestCluster(t, 8), rand: rand.New(rand.NewPCG(seed, 0)),
		faultyWorkers: map[model.WorkerID]bool{}, lastHostNumber: 2,
	}
}

func (r *randomFaults) run() {
	for range 25 {
		if !r.logDown && r.rand.IntN(2) == 0 {
			r.submitRandomJob()
		}
		r.injectFault()
		time.Sleep(time.Duration(r.rand.IntN(4000)) * time.Millisecond)
	}
	r.endFaults()
	for _, key := range r.jobKeys {
		state := r.waitFinal(r.ownerHost(), key, 10*time.Minute)
		if state != model.JobFinished {
			r.t.Errorf("job %s is %s", key, state)
		}
	}
	for _, violation := range judge.Check(r.emulator.Ledger(), r.history).Violations {
		if !r.isAllowed(violation) {
			r.t.Error(violation)
		}
	}
	r.leases.check(r.t)
	r.close()
}

func (r *randomFaults) submitRandomJob() {
	id := model.JobID(fmt.Sprint("j", len(r.jobKeys)))
	runTime := time.Duration(1+r.rand.IntN(20)) * time.Second
	r.jobKeys = append(r.jobKeys, r.submit(id, 1+r.rand.IntN(3), runTime, nil))
}

func (r *randomFaults) injectFault() {
	worker := r.workers[r.rand.IntN(len(r.workers))].ID
	switch r.rand.IntN(7) {
	case 0:
		r.killOwner()
	case 1:
		r.setLogDown(!r.logDown)
		r.logDown = !r.logDown
	case 2:
		r.breakWorker(worker, emulator.WorkerFault{Paused: &trueValue})
	case 3:
		r.breakWorker(worker, emulator.WorkerFault{Lost: &trueValue})
	case 4:
		r.repairWorkers()
	case 5:
		r.mu.Lock()
		r.noEvidence = !r.noEvidence
		r.mu.Unlock()
	default:
	}
}

// breakWorker sets a fault of a worker. At most two workers are faulty at a time.
func (r *randomFaults) breakWorker(id model.WorkerID, f emulator.WorkerFault) {
	if len(r.faultyWorkers) >= 2 || r.faultyWorkers[id] {
		return
	}
	r.faultyWorkers[id] = true
	r.unreachablePeriods = append(r.unreachablePeriods, unreachablePeriod{worker: id, startMS: time.Now().UnixMilli()})
	r.setWorkerFault(id, f)
}

func (r *randomFaults) repairWorkers() {
	for id := range r.faultyWorkers {
		r.setWorkerFault(id, emulator.WorkerFault{Paused: &falseValue, Lost: &falseValue})
		delete(r.faultyWorkers, id)
	}
	for i := range r.unreachablePeriods {
		if r.unreachablePeriods[i].endMS == 0 {
			r.unreachablePeriods[i].endMS = time.Now().UnixMilli()
		}
	}
}

// unreachablePeriod is a period in which a worker was unreachable, in milliseconds since
// 1970. endMS is 0 until the period ends.
type unreachablePeriod struct {
	worker         model.WorkerID
	startMS, endMS int64
}

// reportDelayMS is the maximum time until a planner records the end of a task that a worker
// reported.
const reportDelayMS = 1000

// isAllowedPartialRun reports whether a partial gang is allowed: a member was on an
// unreachable worker, and the attempt ran partially for at most maxPartialRunMS.
func (r *randomFaults) isAllowedPartialRun(violation judge.Violation) bool {
	var attempt int
	var partialMS int64
	if _, err := fmt.Sscanf(violation.Detail, "attempt %d ran %d ms", &attempt, &partialMS); err != nil || partialMS > maxPartialRunMS {
		return false
	}
	for _, task := range r.emulator.Ledger().Tasks {
		if task.Job.String() == violation.Subject && task.Attempt == attempt && r.isUnreported(task) {
			return true
		}
	}
	return false
}

// isUnreported reports whether the worker was unreachable and could not report the end of a
// task.
func (r *randomFaults) isUnreported(task ledger.TaskRun) bool {
	for _, period := range r.unreachablePeriods {
		if period.worker == task.Worker && period.startMS <= task.EndUnixMS+reportDelayMS && period.endMS >= task.EndUnixMS {
			return true
		}
	}
	return false
}

// maxPartialRunMS is the maximum time that a member may run without the rest of its gang
// according to docs/decisions/0011, with a margin of 500 ms.
const maxPartialRunMS = 12_500

// isAllowed reports whether the design allows a violation that the judge found. It allows a
// second run of a repeatable job after an attempt whose end could not be reported, because
// its result is on an unreachable worker. It also allows a member on such a worker to end
// later than the rest of its gang, because the stop call did not reach it.
func (r *randomFaults) isAllowed(violation judge.Violation) bool {
	if violation.Kind == judge.KindPartial {
		return r.isAllowedPartialRun(violation)
	}
	if violation.Kind != judge.KindDuplicated || !strings.HasSuffix(violation.Detail, "attempts completed") {
		return false
	}
	size, finished, unreported := map[int]int{}, map[int]int{}, map[int]bool{}
	last := 0
	for _, task := range r.emulator.Ledger().Tasks {
		if task.Job.String() != violation.Subject || task.Outcome != ledger.OutcomeFinished {
			continue
		}
		size[task.Attempt] = task.GangSize
		finished[task.Attempt]++
		unreported[task.Attempt] = unreported[task.Attempt] || r.isUnreported(task)
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

// killOwner kills the planner. Another host takes over, and a new host joins unless the log
// is down, because a new host has to read it.
func (r *randomFaults) killOwner() {
	live := r.liveHosts()
	if len(live) < 2 {
		return
	}
	owner := r.ownerHost()
	owner.kill()
	time.Sleep(takeoverDelay)
	r.setOwner(r.liveHosts()[0])
	if r.logDown {
		return
	}
	r.lastHostNumber++
	h := r.newHost(model.HostID(fmt.Sprint("h", r.lastHostNumber)))
	r.mu.Lock()
	r.hosts = append(r.hosts, h)
	r.mu.Unlock()
}

func (r *randomFaults) ownerHost() *testHost {
	for _, h := range r.liveHosts() {
		if owner, _ := r.ownerOf(model.ShardID{}); h.id == owner {
			return h
		}
	}
	r.t.Fatal("no host owns the shard")
	return nil
}

// endFaults ends all faults.
func (r *randomFaults) endFaults() {
	r.repairWorkers()
	r.setLogDown(false)
	r.logDown = false
	r.mu.Lock()
	r.noEvidence = false
	r.mu.Unlock()
}
