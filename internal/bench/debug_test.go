package bench

import (
	"fmt"
	"testing"
	"os"
	"strconv"
	"github.com/daisyfold/daisyfold/internal/queue"
)

func TestDebug(t *testing.T) {
	for _, d := range []*deployment{kerherve(), association()} {
		if v, err := strconv.ParseFloat(os.Getenv("LOAD"), 64); err == nil {
			d.load = v
		}
		for name, pol := range map[string]policy{"ours": daisyfold, "base": firstFit, "block": blockingFirstFit} {
			s := runMix(d, 1, pol)
			type acc struct{ n int; wait, run, stops float64 }
			by := map[string]*acc{}
			for _, j := range s.all {
				for _, k := range []string{fmt.Sprintf("sz%02d", queue.SizeBucket(j.job.Spec.Accelerators())), "svc-" + string(j.job.Spec.Service)} {
					a := by[k]
					if a == nil { a = &acc{}; by[k] = a }
					a.n++
					a.wait += (j.end - j.arrival - j.runtime).Seconds()
					a.run += j.runtime.Seconds()
					a.stops += float64(j.job.Attempt - 1)
				}
			}
			fmt.Println(d.name, name, "mean", mean(s.completions(0)), "p95", quantile(s.completions(16),.95), "frag", s.frag.mean(), "util24", s.done, s.done/s.capacity, s.now.Hours(), "overdrafts", s.overdrafts)
			for _, k := range []string{"sz00","sz01","sz02","sz03","sz04","sz05","sz06"} {
				if a := by[k]; a != nil {
					fmt.Printf("  %s n=%d wait=%.0f run=%.0f stops=%.2f\n", k, a.n, a.wait/float64(a.n), a.run/float64(a.n), a.stops/float64(a.n))
				}
			}
			for k, a := range by {
				if k[:2] == "sv" { fmt.Printf("  %s n=%d wait=%.0f run=%.0f stops=%.2f\n", k, a.n, a.wait/float64(a.n), a.run/float64(a.n), a.stops/float64(a.n)) }
			}
		}
	}
}
