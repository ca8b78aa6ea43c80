package bench

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

func TestIdeal(t *testing.T) {
	for _, d := range []*deployment{kerherve(), association()} {
		if v, err := strconv.ParseFloat(os.Getenv("LOAD"), 64); err == nil {
			d.load = v
		}
		for _, frac := range []float64{1, 0.9} {
		jobs := d.jobs(rand.New(rand.NewPCG(1, 1)))
		capacity := int(float64(d.accelerators())*frac)
		var active []*simJob
		next := 0
		now := time.Duration(0)
		for next < len(jobs) || len(active) > 0 {
			slices.SortStableFunc(active, func(a, b *simJob) int {
				x := a.left.Seconds() * float64(a.job.Spec.Accelerators())
				y := b.left.Seconds() * float64(b.job.Spec.Accelerators())
				if x < y { return -1 }
				if x > y { return 1 }
				return 0
			})
			free := capacity
			var run []*simJob
			step := time.Duration(1 << 62)
			for _, j := range active {
				if n := j.job.Spec.Accelerators(); n <= free {
					free -= n
					run = append(run, j)
					step = min(step, j.left)
				}
			}
			if next < len(jobs) { step = min(step, jobs[next].arrival-now) }
			now += step
			for _, j := range run { j.left -= step; if j.left <= 0 { j.end = now } }
			active = slices.DeleteFunc(active, func(j *simJob) bool { return j.left <= 0 })
			for next < len(jobs) && jobs[next].arrival <= now { active = append(active, jobs[next]); next++ }
		}
		sum, rt := 0.0, 0.0
		var large []float64
		for _, j := range jobs { sum += (j.end - j.arrival).Seconds(); rt += j.runtime.Seconds(); if j.job.Spec.Accelerators() >= 16 { large = append(large, (j.end - j.arrival).Seconds()) } }
		slices.Sort(large)
		fmt.Println(d.name, frac, "ideal mean", sum/float64(len(jobs)), "runtime", rt/float64(len(jobs)), "p95 large", quantile(large, .95), "end", now.Hours())
		}
	}
}
