package jobs

import (
	"slices"
)

// maxWorkerNames bounds the shared names, above the workers of the design size.
const maxWorkerNames = 20_000

// compact lets a new placement share its strings with the job and with other
// placements: 39,000 running tasks name 7,500 workers. The entry is not stored yet.
func (t *Table) compact(n *Entry) {
	p, spec := n.Job.Placement, &n.Job.Spec
	p.Job, p.Shard = spec.Key, n.Job.HomeShard
	if p.Class == spec.Class() {
		p.Class = spec.Class()
	}
	p.Members = slices.Clone(p.Members)
	if len(t.workers) > maxWorkerNames {
		clear(t.workers)
	}
	for i := range p.Members {
		m := &p.Members[i]
		if kept, ok := t.workers[m.Worker]; ok {
			m.Worker = kept
		} else {
			t.workers[m.Worker] = m.Worker
		}
	}
}
