package bench

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	baselineName = "first_fit_in_arrival_order"
	blockingName = "first_fit_strict_arrival_order"
)

// largeGang is the size in accelerators from which p95_completion counts.
const largeGang = 16

// Jobs returns the figures of decisions on jobs.
func Jobs(seed int64) []Figure {
	var out []Figure
	for _, d := range []*deployment{kerherve(), association()} {
		out = append(out, mixFigures(d, uint64(seed))...)
	}
	return out
}

// mixFigures runs a day of a deployment's job mix under the planner and the baseline.
// The baseline passes over jobs that do not fit; a second one, which lets them block
// the queue, is shown for the mean.
func mixFigures(d *deployment, seed uint64) []Figure {
	ours := runMix(d, seed, daisyfold)
	base := runMix(d, seed, firstFit)
	blocking := runMix(d, seed, blockingFirstFit)
	compare := func(name, unit string, of func(*sim) float64) Figure {
		return Figure{name + "_" + d.name, of(ours), unit, baselineName, of(base)}
	}
	count := func(name string, n int) Figure {
		return Figure{Name: name + "_" + d.name, Value: float64(n), Unit: "count"}
	}
	meanOf := func(s *sim) float64 { return mean(s.completions(0)) }
	p95Of := func(s *sim) float64 { return quantile(s.completions(largeGang), 0.95) }
	return []Figure{
		compare("mean_completion", "s", meanOf),
		{"mean_completion_strict_" + d.name, meanOf(ours), "s", blockingName, meanOf(blocking)},
		compare("p95_completion_gang16", "s", p95Of),
		{"p95_completion_gang16_strict_" + d.name, p95Of(ours), "s", blockingName, p95Of(blocking)},
		compare("fragmentation", "share", func(s *sim) float64 { return s.frag.mean() }),
		count("partial_gangs", ours.partial),
		count("guarantee_overdrafts", ours.overdrafts),
		count("preemptions", ours.preemptions),
	}
}

func runMix(d *deployment, seed uint64, decide policy) *sim {
	s := newSim(d, seed, decide)
	s.add(d.jobs(rand.New(rand.NewPCG(seed, 1))))
	s.run()
	return s
}

// completions returns the seconds from arrival to end of jobs of at least the given
// size. A job that never ended counts until the end of the run.
func (s *sim) completions(size int) []float64 {
	var out []float64
	for _, j := range s.all {
		if j.job.Spec.Accelerators() < size {
			continue
		}
		end := j.end
		if end == 0 {
			end = s.now
		}
		out = append(out, (end - j.arrival).Seconds())
	}
	slices.Sort(out)
	return out
}

func mean(sorted []float64) float64 {
	sum := 0.0
	for _, v := range sorted {
		sum += v
	}
	return sum / float64(max(len(sorted), 1))
}

// quantile returns the value that the fraction q of the sorted values stays below.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// measure returns the sorted run times of a function in milliseconds.
func measure(runs int, f func(i int)) []float64 {
	out := make([]float64, runs)
	for i := range out {
		begin := time.Now()
		f(i)
		out[i] = float64(time.Since(begin).Microseconds()) / 1000
	}
	slices.Sort(out)
	return out
}
