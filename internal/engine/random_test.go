package engine_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"

	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

var (
	seeds     = flag.Int("seeds", 8, "how many random days to play")
	firstSeed = flag.Uint64("first", 1, "the first seed")
	verbose   = flag.Bool("logs", false, "print the hosts' logs")
)

// regressions are seeds that once failed, each with its cause.
var regressions = []uint64{
	8,   // TWICE: a run moved to a worker's next life lapsed before that one had answered
	301, // AVAIL: a task on a silent worker was counted as being at work
	303, // AVAIL: a successor did not know of the former owner's stops
	504, // TWICE: a start was repeated after its run had ended with the worker's life
	505, // TWICE: a start had reached another life than the one in a former owner's record
}

// TestRandomDays plays days with random work and overlapping faults of every kind that
// the stand-in causes. Every accepted job must end as it should, and no promise may be
// broken in the workers' ledger.
func TestRandomDays(t *testing.T) {
	all := slices.Clone(regressions)
	for i := range *seeds {
		all = append(all, *firstSeed+uint64(i))
	}
	for _, seed := range all {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playDay(t, seed) })
		})
	}
}

const (
	dayLength  = 40 * time.Second
	dayHosts   = 4
	dayWorkers = 24
	// finishWithin is how long accepted work may take after the last fault: two leases,
	// a takeover and the longest job, several times over.
	finishWithin = 4 * time.Minute
)

type day struct {
	*cluster
	rng *rand.Rand
	// kinds draws what kind of job and of later faults come. It is apart, so that days
	// of earlier seeds keep their jobs and faults.
	kinds *rand.Rand
	jobs  []plannedJob
	waves int
}

type plannedJob struct {
	work.Job
	want work.Status
}

func playDay(t *testing.T, seed uint64) {
	log := zap.NewNop()
	if *verbose {
		log = zaptest.NewLogger(t)
	}
	d := &day{
		cluster: newCluster(t, clusterOptions{hosts: dayHosts, workers: dayWorkers, seed: seed, log: log}),
		rng:     rand.New(rand.NewPCG(seed, 3)),
		kinds:   rand.New(rand.NewPCG(seed, 5)),
	}
	defer d.close()
	end := time.Now().Add(dayLength)
	for n := 1; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(d.rng.IntN(800)) * time.Millisecond)
		go d.randomJob(n)()
		if d.rng.IntN(4) == 0 {
			d.randomFault()
		}
		if d.kinds.IntN(8) == 0 {
			d.randomWorkerFault()
		}
	}
	time.Sleep(25 * time.Second) // the last faults end
	d.heal()
	d.awaitAll()
}

// awaitAll waits until every job has ended as planned. Cancelled jobs may also have
// ended before.
func (d *day) awaitAll() {
	deadline := time.Now().Add(finishWithin)
	pending := d.jobs
	for len(pending) > 0 && time.Now().Before(deadline) {
		var open []plannedJob
		for _, j := range pending {
			s := d.status(j.ID)
			switch {
			case !s.Ended():
				open = append(open, j)
			case s != j.want && j.want != work.Cancelled:
				d.t.Errorf("job %s ended as %c, want %c", j.ID, s, j.want)
			}
		}
		pending = open
		time.Sleep(100 * time.Millisecond)
	}
	for _, j := range pending {
		d.t.Errorf("job %s has not ended within %s: %+v", j.ID, finishWithin, j.Job)
	}
}

// randomJob draws a job and returns the caller that hands it in.
func (d *day) randomJob(n int) func() {
	demand := work.Resources{CPU: 4000 + d.rng.IntN(50_000), MemoryMB: 40_000, Accelerators: []int{1, 1, 2, 4, 8}[d.rng.IntN(5)]}
	step := work.Step{
		Tasks: 1 + d.rng.IntN(8), Demand: demand, EstimateMS: 3000, Gang: d.rng.IntN(3) > 0,
		SameRack: d.rng.IntN(2) == 0, SavesProgress: d.rng.IntN(2) == 0,
	}
	if !step.Gang && d.rng.IntN(4) == 0 {
		step.MaxPerWorker = 1 + d.rng.IntN(2)
	}
	j := job(n, step)
	if d.rng.IntN(4) == 0 {
		next := step
		next.After = []int{0}
		j.Steps = append(j.Steps, next)
	}
	b := standin.Behaviour{Work: 500*time.Millisecond + time.Duration(d.rng.IntN(8000))*time.Millisecond}
	p := plannedJob{Job: j, want: work.Completed}
	switch d.rng.IntN(12) {
	case 0:
		b.Failures, p.want = 100, work.Failed
	case 1, 2:
		b.Failures = 1
	case 3:
		p.want = work.Cancelled
	}
	queue := []string{"urgent", "normal", "batch"}[d.rng.IntN(3)]
	wait := time.Duration(d.rng.IntN(5000)) * time.Millisecond
	p.Job, queue = d.ofSomeKind(p.Job, queue)
	if p.Steps[0].LongRunning {
		p.want, wait = work.Cancelled, dayLength
	}
	j = p.Job
	d.jobs = append(d.jobs, p)
	return func() {
		d.submit(queue, j, b)
		if p.want == work.Cancelled {
			time.Sleep(wait)
			d.fleet.Ledger().MarkCancelled(j.ID)
			d.cancelJob(j.ID)
		}
	}
}

func (d *day) cancelJob(id string) {
	for range 40 {
		a := d.anyHost().Intake.Cancel(d.t.Context(), call("/normal/"+id), id)
		if a.Outcome.String() == "ok" {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	d.t.Errorf("job %s could not be cancelled", id)
}

// ofSomeKind makes some jobs repeated, long-running, filling or advised.
func (d *day) ofSomeKind(j work.Job, queue string) (work.Job, string) {
	step := &j.Steps[0]
	switch d.kinds.IntN(10) {
	case 0:
		j.Occurrences, j.PeriodMS = 2+d.kinds.IntN(3), int64(500+d.kinds.IntN(3000))
		j.FirstDueMS = time.Now().UnixMilli() + int64(d.kinds.IntN(3000))
	case 1:
		j.Steps = j.Steps[:1]
		step.LongRunning, step.Gang, step.MaxUnavailable = true, false, 1+d.kinds.IntN(2)
		step.LatencySensitive = d.kinds.IntN(2) == 0
		step.Demand.Accelerators = 1
	case 2:
		step.BestEffort, step.Gang, step.Demand.CPU, step.Demand.Accelerators = true, false, 0, 0
	case 3:
		j.NeedsAdvice, queue = true, "advised"
	}
	return j, queue
}

// randomWorkerFault makes a worker slow for a while, takes one away at short notice, or
// asks for the upkeep of some.
func (d *day) randomWorkerFault() {
	w := d.workers[d.kinds.IntN(len(d.workers))]
	lasts := time.Second + time.Duration(d.kinds.IntN(6000))*time.Millisecond
	switch d.kinds.IntN(4) {
	case 0:
		w.SetSlowdown(6)
		time.AfterFunc(lasts, func() { w.SetSlowdown(1) })
	case 1:
		w.SetStalled(true)
		time.AfterFunc(lasts, func() { w.SetStalled(false) })
	case 2:
		w.CrashAfterNotice(2 * time.Second)
		time.AfterFunc(2*time.Second+lasts, w.Restart)
	case 3:
		d.waves++
		first := d.kinds.IntN(len(d.workers) - 4)
		wave := replica.Wave{Number: int64(d.waves), TimeLimit: 30 * time.Second, MaxDown: waveCap}
		for i := range 4 {
			wave.Machines = append(wave.Machines, fmt.Sprintf("w%02d", first+i))
		}
		value, err := json.Marshal(wave)
		if err != nil {
			d.t.Error(err)
		}
		d.store.Put(operatorTopic, store.Record{Key: fmt.Sprintf("wave/%d", d.waves), Value: value})
	}
}

// randomFault starts one fault, which ends by itself.
func (d *day) randomFault() {
	lasts := time.Second + time.Duration(d.rng.IntN(6000))*time.Millisecond
	w := d.workers[d.rng.IntN(len(d.workers))]
	id := fmt.Sprintf("w%02d", d.rng.IntN(len(d.workers)))
	host := d.anyHost().name
	owner := host
	if o := d.owner(); o != nil {
		owner = o.name
	}
	later := func(f func()) { time.AfterFunc(lasts, f) }
	switch d.rng.IntN(13) {
	case 0:
		d.crash(owner)
		go func() { time.Sleep(lasts); d.addHost(owner) }()
	case 1:
		d.store.SetHostFaults(owner, standin.StoreFaults{Down: true})
		later(func() { d.store.SetHostFaults(owner, standin.StoreFaults{}) })
	case 2:
		d.store.SetHostFaults(host, standin.StoreFaults{Refuse: true})
		later(func() { d.store.SetHostFaults(host, standin.StoreFaults{}) })
	case 3:
		d.store.SetFaults(standin.StoreFaults{Down: true})
		later(func() { d.store.SetFaults(standin.StoreFaults{}) })
	case 4:
		d.store.SetFaults(standin.StoreFaults{ExtraLatency: 200 * time.Millisecond})
		later(func() { d.store.SetFaults(standin.StoreFaults{}) })
	case 5:
		d.store.SetFaults(standin.StoreFaults{LostRate: 0.3, LateRate: 0.2})
		later(func() { d.store.SetFaults(standin.StoreFaults{}) })
	case 6:
		d.store.Compact("keyed.jobs")
		d.store.Compact("keyed.runs")
		d.store.Compact("keyed.statuses")
		d.store.Compact(standin.TopicWorkers)
	case 7:
		d.store.Rebalance("scheduler")
	case 8:
		w.Crash()
		later(w.Restart)
	case 9:
		w.Restart()
	case 10:
		w.Drain(2 * time.Second)
		time.AfterFunc(2*time.Second+lasts, w.Restart)
	case 11:
		d.fleet.SetUnreachable("", id, true)
		later(func() { d.fleet.SetUnreachable("", id, false) })
	case 12:
		d.fleet.SetOrderFaults(0.1, 0.1)
		later(func() { d.fleet.SetOrderFaults(0, 0) })
	}
}

// heal ends every fault.
func (d *day) heal() {
	d.store.SetFaults(standin.StoreFaults{})
	d.fleet.SetOrderFaults(0, 0)
	for i := range d.workers {
		d.fleet.SetUnreachable("", fmt.Sprintf("w%02d", i), false)
	}
	for i := range dayHosts {
		name := fmt.Sprintf("host-%d", i)
		d.store.SetHostFaults(name, standin.StoreFaults{})
	}
}
