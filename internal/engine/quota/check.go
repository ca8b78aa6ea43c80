package quota

import (
	"fmt"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/engine/manifest"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// CheckJob returns an error that names the step and the limit if the organisation's cap can never
// hold a gang or a single task of the job. o is nil if the job has no organisation.
func CheckJob(o *manifest.Organisation, job *work.Job) error {
	if o == nil {
		return nil
	}
	for i := range job.Steps {
		s := &job.Steps[i]
		tasks, what := 1, "a task"
		if s.Gang {
			tasks, what = s.Tasks, "the gang"
		}
		if !holds(o.Cap, s.Demand, tasks) {
			need := s.Demand.Times(tasks)
			return trace.BadParameter("step %d: %s needs %s, and the organisation may have %s running", i, what, describe(need), describe(o.Cap))
		}
	}
	return nil
}

func describe(r work.Resources) string {
	return fmt.Sprintf("%d thousandths of a core, %d MB and %d accelerators", r.CPU, r.MemoryMB, r.Accelerators)
}

// Findings returns the contradictions of a manifest about organisations, each with its place. The
// manifest is in force in spite of them: caps hold before guarantees.
func Findings(m *manifest.Manifest) []string {
	var out []string
	add := func(i int, format string, args ...any) {
		out = append(out, fmt.Sprintf("organisation %d (%s): ", i, m.Organisations[i].Name)+fmt.Sprintf(format, args...))
	}
	weighted := false
	for _, o := range m.Organisations {
		weighted = weighted || o.Weight > 0
	}
	seen := map[string]bool{}
	for i, o := range m.Organisations {
		if limit := o.Cap.Accelerators; limit > 0 && limit < o.GuaranteedAccelerators {
			add(i, "the cap of %d accelerators is below the guarantee of %d", limit, o.GuaranteedAccelerators)
		}
		if weighted && o.Weight == 0 {
			add(i, "no weight, although others have one; it counts as %d", defaultWeight)
		}
		if seen[o.Name] {
			add(i, "the name occurs twice; the last entry holds")
		}
		seen[o.Name] = true
	}
	return out
}
