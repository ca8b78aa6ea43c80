package quota

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/engine/manifest"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// CheckJob returns an error that names the step and the limit if the organisation's cap can never
// hold a gang or a single task of the job.
func CheckJob(o *manifest.Organisation, job *work.Job) error {
	for i := range job.Steps {
		s := &job.Steps[i]
		tasks, what := 1, "a task"
		if s.Gang {
			tasks, what = s.Tasks, "the gang"
		}
		if !holds(o.Cap, s.Demand, tasks) {
			need := s.Demand.Times(tasks)
			return trace.BadParameter("step %d: %s needs %s; the cap of the organisation is %s", i, what, describe(need), describe(o.Cap))
		}
	}
	return nil
}

// describe returns the amounts of the resources for a caller. It leaves out what is not limited.
func describe(r work.Resources) string {
	var parts []string
	for _, p := range [...]struct {
		amount int
		unit   string
	}{{r.CPU, "thousandths of a core"}, {r.MemoryMB, "MB"}, {r.Accelerators, "accelerators"}} {
		if p.amount > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", p.amount, p.unit))
		}
	}
	return strings.Join(parts, ", ")
}
