package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
)

// backgroundJobs returns jobs that keep the hardware full: they have normal priority and a
// median run time of one hour, and arrive one millisecond apart.
func backgroundJobs(r *rand.Rand, d *deployment, count int, sizes []int) []*simJob {
	class := &jobClass{"flood", model.PriorityNormal, time.Hour, 0.5, sizes, 1}
	var out []*simJob
	for i := range count {
		j := d.randomJob(r, class, d.organisations[i%len(d.organisations)], time.Duration(i)*time.Millisecond)
		j.job.Spec.Key.ID = model.JobID(fmt.Sprintf("f%05d", i))
		out = append(out, j)
	}
	return out
}

// urgentStartResult measures the time from arrival to start of urgent jobs on a cluster
// that preemptible work keeps full.
func urgentStartResult(seed uint64) Result {
	const urgentJobs = 200
	run := func(decide placementPolicy) float64 {
		d := kerherveDeployment()
		d.guarantees = nil
		r := rand.New(rand.NewPCG(seed, 3))
		s := newJobSim(d, seed, decide)
		s.addJobs(backgroundJobs(r, d, 1200, []int{1, 2, 4, 8, 8}))
		class := &jobClass{"notice", model.PriorityUrgent, 2 * time.Minute, 0.5, []int{1, 2, 4, 8, 16}, 1}
		var urgent []*simJob
		for i := range urgentJobs {
			j := d.randomJob(r, class, d.organisations[i%len(d.organisations)], 10*time.Minute+time.Duration(r.Float64()*float64(time.Hour)))
			j.job.Spec.Key.ID = model.JobID(fmt.Sprintf("u%05d", i))
			urgent = append(urgent, j)
		}
		s.addJobs(urgent)
		s.endTime = 80 * time.Minute
		s.run()
		return startDelayP99Seconds(urgent, s.now)
	}
	return Result{"urgent_start_p99", run(plannerPolicy), "s", firstFitName, run(firstFit)}
}

// startDelayP99Seconds returns the 99th percentile of the time from arrival to start. A
// job that did not start counts as waiting until end.
func startDelayP99Seconds(jobs []*simJob, end time.Duration) float64 {
	var waits []float64
	for _, j := range jobs {
		firstStart := j.firstStart
		if firstStart < 0 {
			firstStart = end
		}
		waits = append(waits, (firstStart - j.arrival).Seconds())
	}
	slices.Sort(waits)
	return quantile(waits, 0.99)
}

// zoneCycleResult measures the useful work from the time a zone goes out of service until half
// an hour after its return, as a share of the capacity of the zones in service.
func zoneCycleResult(seed uint64) Result {
	const leavesAt, returnsAt, endsAt = 2 * time.Hour, 3 * time.Hour, 210 * time.Minute
	run := func(decide placementPolicy) float64 {
		d := kerherveDeployment()
		s := newJobSim(d, seed, decide)
		s.addJobs(backgroundJobs(rand.New(rand.NewPCG(seed, 4)), d, 1500, []int{1, 1, 2, 4, 8, 16, 32}))
		s.schedule(event{at: leavesAt, kind: eventZoneChange, zone: 1})
		s.schedule(event{at: returnsAt, kind: eventZoneChange, zone: 1})
		s.measureFrom, s.endTime = leavesAt, endsAt
		s.run()
		return s.usefulWork / s.availableWork
	}
	return Result{"zone_cycle_work", run(plannerPolicy), "share", firstFitName, run(firstFit)}
}
