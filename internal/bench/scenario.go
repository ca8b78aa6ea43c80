package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
)

// flood returns jobs that keep the hardware full: normal work of one hour without
// guarantees.
func flood(r *rand.Rand, d *deployment, count int, sizes []int) []*simJob {
	class := &service{"flood", model.PriorityNormal, time.Hour, 0.5, sizes, 1}
	var out []*simJob
	for i := range count {
		j := d.job(r, class, d.orgs[i%len(d.orgs)], time.Duration(i)*time.Millisecond)
		j.job.Spec.Key.ID = model.JobID(fmt.Sprintf("f%05d", i))
		out = append(out, j)
	}
	return out
}

// urgentFigure measures the time from arrival to start of urgent jobs on a cluster
// that reclaimable work keeps full.
func urgentFigure(seed uint64) Figure {
	const urgentJobs = 200
	run := func(decide policy) float64 {
		d := kerherve()
		d.guarantees = nil
		r := rand.New(rand.NewPCG(seed, 3))
		s := newSim(d, seed, decide)
		s.add(flood(r, d, 1200, []int{1, 2, 4, 8, 8}))
		notice := &service{"notice", model.PriorityUrgent, 2 * time.Minute, 0.5, []int{1, 2, 4, 8, 16}, 1}
		var urgent []*simJob
		for i := range urgentJobs {
			j := d.job(r, notice, d.orgs[i%len(d.orgs)], 10*time.Minute+time.Duration(r.Float64()*float64(time.Hour)))
			j.job.Spec.Key.ID = model.JobID(fmt.Sprintf("u%05d", i))
			urgent = append(urgent, j)
		}
		s.add(urgent)
		s.until = 80 * time.Minute
		s.run()
		return startP99(urgent, s.now)
	}
	return Figure{"urgent_start_p99", run(daisyfold), "s", baselineName, run(firstFit)}
}

// startP99 counts a job that did not start as waiting until the end of the run.
func startP99(jobs []*simJob, end time.Duration) float64 {
	var waits []float64
	for _, j := range jobs {
		first := j.first
		if first < 0 {
			first = end
		}
		waits = append(waits, (first - j.arrival).Seconds())
	}
	slices.Sort(waits)
	return quantile(waits, 0.99)
}

// zoneCycleFigure measures the useful work from the moment a zone leaves until half an
// hour after its return, as a share of what the zones in service could do.
func zoneCycleFigure(seed uint64) Figure {
	const leaves, returns, ends = 2 * time.Hour, 3 * time.Hour, 210 * time.Minute
	run := func(decide policy) float64 {
		d := kerherve()
		s := newSim(d, seed, decide)
		s.add(flood(rand.New(rand.NewPCG(seed, 4)), d, 1500, []int{1, 1, 2, 4, 8, 16, 32}))
		s.at(event{at: leaves, kind: eventZone, zone: 1})
		s.at(event{at: returns, kind: eventZone, zone: 1})
		s.measureFrom, s.until = leaves, ends
		s.run()
		return s.done / s.capacity
	}
	return Figure{"zone_cycle_work", run(daisyfold), "share", baselineName, run(firstFit)}
}
