package bench

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

func TestUtil(t *testing.T) {
	for _, d := range []*deployment{kerherve(), association()} {
		if v, err := strconv.ParseFloat(os.Getenv("LOAD"), 64); err == nil {
			d.load = v
		}
		for name, pol := range map[string]policy{"ours": daisyfold, "base": firstFit} {
			s := newSim(d, 1, pol)
			s.add(d.jobs(rand.New(rand.NewPCG(1, 1))))
			s.measureFrom = 9 * time.Hour
			s.until = 19 * time.Hour
			lossStop, lossStart = 0, 0
			s.run()
			fmt.Println("stop", lossStop/s.capacity, "start", lossStart/s.capacity)
			g, gs, sp := 0, 0, 0
			for _, z := range s.zones { for _, j := range z.running { if j.running.Guaranteed { g += j.job.Spec.Accelerators(); gs++ } else { sp += j.job.Spec.Accelerators() } } }
			w := map[int]int{}
			for _, j := range s.waiting { w[j.job.Spec.Accelerators()]++ }
			fmt.Println(d.name, name, "util", s.done/s.capacity, "guaranteed", g, gs, "spare", sp, "waiting", w, "preempt", s.preemptions)
			for _, z := range s.zones {
				snap := s.snapshot(0)
				_ = snap
				line := ""
				tt := tableOf(z)
				for i := range tt.Nodes { line += fmt.Sprintf(" %d", tt.Nodes[i].Free.Count()) }
				fmt.Println("   ", z.name, line)
			}
		}
	}
}
