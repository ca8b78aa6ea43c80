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
	restDayJobs = 8 // sound jobs in a day
	// maxCapacity bounds the capacity of workers, in each resource.
	maxCapacity = 1 << 30
	// minCapacity is large enough for one thousandth of it to be a whole number.
	minCapacity = 1000
	// calmTime is how long no worker fails before a job is expected to start.
	calmTime = 4 * time.Second
)

// TestSoundJobsRunWhateverOthersDo guards against accepted jobs with room that do not start because of failing tasks, failing workers, long-running tasks and waiting gangs of others.
func TestSoundJobsRunWhateverOthersDo(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { simulateRestDay(t, seed) })
		})
	}
}

// restDay is a cluster in which each worker always has room for the sound jobs.
type restDay struct {
	*cluster
	rng      *rand.Rand
	smallest work.Resources // capacity of the smallest worker
	nextJob  int
}

func simulateRestDay(t *testing.T, seed uint64) {
	log := zap.NewNop()
	if *printLogs {
		log = zaptest.NewLogger(t)
	}
	rng := rand.New(rand.NewPCG(seed, 11))
	d := &restDay{cluster: newCluster(t, clusterOptions{log: log, hosts: 2, workers: 2 + rng.IntN(11), seed: seed, gangBreakTime: gangBreakTime}), rng: rng}
	defer d.close()
	d.smallest = work.Resources{CPU: d.amount(maxCapacity), MemoryMB: d.amount(maxCapacity), Accelerators: d.amount(maxCapacity)}
	for _, w := range d.workers {
		w.SetCapacity(d.smallest.Times(1 + rng.IntN(3)))
	}
	time.Sleep(settleTime)
	d.addNoise()
	for range restDayJobs {
		d.failWorkers()
		time.Sleep(calmTime + time.Duration(rng.IntN(4000))*time.Millisecond)
		d.runSoundJob()
	}
}

// amount returns a random number from minCapacity to limit, of which the logarithm is evenly distributed.
func (d *restDay) amount(limit int) int {
	n := minCapacity
	for n < limit && d.rng.IntN(8) > 0 {
		n *= 2
	}
	return min(n+d.rng.IntN(n), limit)
}

// share returns the given thousandths of the smallest worker.
func (d *restDay) share(thousandths int) work.Resources {
	s := d.smallest
	return work.Resources{CPU: s.CPU / 1000 * thousandths, MemoryMB: s.MemoryMB / 1000 * thousandths, Accelerators: s.Accelerators / 1000 * thousandths}
}

// add submits a job with the step as a random organisation with a random priority.
func (d *restDay) add(step work.Step, b standin.Behaviour) work.Job {
	d.nextJob++
	j := newJob(d.nextJob, step)
	d.submitWithKey([]string{"key", "guest-key"}[d.rng.IntN(2)], []string{"urgent", "normal", "batch"}[d.rng.IntN(3)], j, b)
	return j
}

// addNoise adds long-running tasks on each worker, gangs that do not fit beside them, and jobs whose tasks fail.
func (d *restDay) addNoise() {
	lasting := newJob(1000, work.Step{Tasks: len(d.workers), Demand: d.share(300 + d.rng.IntN(200)), LongRunning: true, MaxPerWorker: 1})
	d.submit("urgent", lasting, standin.Behaviour{})
	d.awaitRunning(lasting, len(d.workers), maxStartDelay)
	for range d.rng.IntN(4) {
		d.add(work.Step{Tasks: len(d.workers), Demand: d.smallest, EstimateMS: 1000 + d.rng.IntN(60_000), Gang: true, SameRack: d.rng.IntN(2) == 0}, standin.Behaviour{Work: time.Second})
	}
	for range 1 + d.rng.IntN(4) {
		step := work.Step{Tasks: 1 + d.rng.IntN(6), Demand: d.share(1 + d.rng.IntN(14)), EstimateMS: 1000, LongRunning: d.rng.IntN(4) > 0}
		step.Gang = !step.LongRunning && d.rng.IntN(2) == 0
		d.add(step, standin.Behaviour{Work: time.Duration(100+d.rng.IntN(6000)) * time.Millisecond, Failures: manyFailures})
	}
}

// failWorkers makes some workers fail all that starts there for a while.
func (d *restDay) failWorkers() {
	if d.rng.IntN(2) == 0 {
		return
	}
	for _, w := range d.workers {
		w.SetFailing(d.rng.IntN(2) == 0)
	}
	time.Sleep(time.Duration(d.rng.IntN(8000)) * time.Millisecond)
	for _, w := range d.workers {
		w.SetFailing(false)
	}
}

// runSoundJob adds a job that fits on each worker, and fails the test if its tasks do not start in time.
func (d *restDay) runSoundJob() {
	step := work.Step{Tasks: 1 + d.rng.IntN(3), Demand: d.share(1 + d.rng.IntN(4)), EstimateMS: 20_000, LongRunning: d.rng.IntN(2) == 0}
	j := d.add(step, standin.Behaviour{Work: 20 * time.Second})
	d.awaitRunning(j, step.Tasks, maxStartDelay)
}
