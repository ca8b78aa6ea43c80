package jobs

import "github.com/daisyfold/daisyfold/internal/model"

// CountByState returns the number of jobs in each state. It visits every job, which is a
// few thousand at the design size: jobs stay in the table for an hour after their end.
func (t *Table) CountByState() map[model.JobState]int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := map[model.JobState]int{}
	for key := range t.entries {
		out[t.currentEntry(key).Job.State]++
	}
	for key, p := range t.provisional {
		if t.entries[key] == nil {
			out[p.entry.Job.State]++
		}
	}
	return out
}
