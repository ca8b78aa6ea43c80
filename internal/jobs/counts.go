package jobs

import "github.com/daisyfold/daisyfold/internal/model"

// States counts the jobs of the table by state. It visits every job: a few thousand at
// the design size, where a job stays for an hour after its end.
func (t *Table) States() map[model.JobState]int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := map[model.JobState]int{}
	for key := range t.entries {
		out[t.effective(key).Job.State]++
	}
	for key, o := range t.over {
		if t.entries[key] == nil {
			out[o.entry.Job.State]++
		}
	}
	return out
}
