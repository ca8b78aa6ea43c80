package bench

import (
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	firstFitName       = "first_fit_in_arrival_order"
	strictFirstFitName = "first_fit_strict_arrival_order"
)

// largeGangAccelerators is the size from which a job counts in p95_completion.
const largeGangAccelerators = 16

// RunJobs returns the results of the job placement benchmarks. Simulations in virtual time
// run concurrently; benchmarks that measure real time run alone.
func RunJobs(seed int64) []Result {
	const parallel = 4
	results := make([][]Result, 4)
	var group errgroup.Group
	group.SetLimit(parallel)
	run := func(i int, f func() []Result) {
		group.Go(func() error {
			results[i] = f()
			return nil
		})
	}
	run(0, func() []Result { return jobMixResults(kerherveDeployment(), uint64(seed)) })
	run(1, func() []Result { return jobMixResults(associationDeployment(), uint64(seed)) })
	run(2, func() []Result { return []Result{zoneCycleResult(uint64(seed))} })
	run(3, func() []Result { return []Result{urgentStartResult(uint64(seed))} })
	_ = group.Wait() // The benchmarks return no errors.
	out := slices.Concat(results...)
	out = append(out, scaleResults()...)
	return append(out, reclaimResults(seed)...)
}

// jobMixResults simulates a day of a deployment's job mix under the planner and under
// first fit. The baseline skips jobs that do not fit. The results named strict compare
// with a first fit in which a job that does not fit blocks the queue.
func jobMixResults(d *deployment, seed uint64) []Result {
	planned := simulateJobMix(d, seed, plannerPolicy)
	baseline := simulateJobMix(d, seed, firstFit)
	strict := simulateJobMix(d, seed, strictFirstFit)
	compare := func(name, unit string, metric func(*jobSim) float64) Result {
		return Result{name + "_" + d.name, metric(planned), unit, firstFitName, metric(baseline)}
	}
	count := func(name string, n int) Result {
		return Result{Name: name + "_" + d.name, Value: float64(n), Unit: "count"}
	}
	meanCompletion := func(s *jobSim) float64 { return mean(s.completionSeconds(0)) }
	p95Completion := func(s *jobSim) float64 { return quantile(s.completionSeconds(largeGangAccelerators), 0.95) }
	return []Result{
		compare("mean_completion", "s", meanCompletion),
		{"mean_completion_strict_" + d.name, meanCompletion(planned), "s", strictFirstFitName, meanCompletion(strict)},
		compare("p95_completion_gang16", "s", p95Completion),
		{"p95_completion_gang16_strict_" + d.name, p95Completion(planned), "s", strictFirstFitName, p95Completion(strict)},
		compare("fragmentation", "share", func(s *jobSim) float64 { return s.fragmentation.mean() }),
		count("partial_gangs", planned.partialGangs),
		count("guarantee_overdrafts", planned.guaranteeOverdrafts),
		count("preemptions", planned.preemptions),
	}
}

// simulateJobMix simulates a day of the deployment under a placement policy.
func simulateJobMix(d *deployment, seed uint64, decide placementPolicy) *jobSim {
	s := newJobSim(d, seed, decide)
	s.addJobs(d.randomJobs(rand.New(rand.NewPCG(seed, 1))))
	s.run()
	return s
}

// completionSeconds returns the sorted seconds from arrival to end of the jobs with at
// least the given number of accelerators. A job that did not end counts until the end of
// the simulation.
func (s *jobSim) completionSeconds(minAccelerators int) []float64 {
	var out []float64
	for _, j := range s.jobs {
		if j.job.Spec.Accelerators() < minAccelerators {
			continue
		}
		end := j.finishedAt
		if end == 0 {
			end = s.now
		}
		out = append(out, (end - j.arrival).Seconds())
	}
	slices.Sort(out)
	return out
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

// quantile returns the smallest value above the fraction q of the sorted values, or
// 0 if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// measureMS calls f runs times and returns the sorted durations in milliseconds.
func measureMS(runs int, f func(i int)) []float64 {
	runtime.GC() // Garbage of earlier benchmarks must not slow this one down.
	out := make([]float64, runs)
	for i := range out {
		begin := time.Now()
		f(i)
		out[i] = float64(time.Since(begin).Microseconds()) / 1000
	}
	slices.Sort(out)
	return out
}
