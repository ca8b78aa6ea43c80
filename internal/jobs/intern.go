package jobs

import (
	"slices"
)

// maxInternedWorkerNames bounds the interned names. It is above the number of workers of
// a deployment of the design size.
const maxInternedWorkerNames = 20_000

// internStrings makes a new placement share its strings with the job and with other
// placements, because 39,000 running tasks name only 7,500 workers. The entry must not be
// stored yet, and the caller must hold the lock.
func (t *Table) internStrings(entry *Entry) {
	p, spec := entry.Job.Placement, &entry.Job.Spec
	p.Job, p.Shard = spec.Key, entry.Job.HomeShard
	if p.Class == spec.Class() {
		p.Class = spec.Class()
	}
	p.Members = slices.Clone(p.Members)
	if len(t.workerNames) > maxInternedWorkerNames {
		clear(t.workerNames)
	}
	for i := range p.Members {
		m := &p.Members[i]
		if kept, ok := t.workerNames[m.Worker]; ok {
			m.Worker = kept
		} else {
			t.workerNames[m.Worker] = m.Worker
		}
	}
}
