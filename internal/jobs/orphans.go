package jobs

import (
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
)

// keepOrphan keeps a record that is not valid yet: the job's acceptance is older than
// the log's retention and its snapshot follows, or records of an outage reached the
// log out of order.
func (t *Table) keepOrphan(key model.JobKey, offset int64, r journal.Record) {
	if t.nOrphan >= maxOrphans {
		return
	}
	t.orphans[key] = append(t.orphans[key], orphan{offset: offset, rec: r})
	t.nOrphan++
}

// applyEarly applies kept records of a job that have become valid, in log order.
func (t *Table) applyEarly(key model.JobKey) {
	for applied := true; applied && len(t.orphans[key]) > 0; {
		applied = false
		var rest []orphan
		for _, o := range t.orphans[key] {
			e := t.entries[key]
			if n, ok := next(e, o.rec); ok {
				if o.rec.Kind == journal.KindJobPlaced {
					t.compact(n)
				}
				t.store(key, n)
				applied = true
			} else if early(e, o.rec) {
				rest = append(rest, o)
			}
		}
		t.nOrphan -= len(t.orphans[key]) - len(rest)
		t.orphans[key] = rest
	}
	if len(t.orphans[key]) == 0 {
		delete(t.orphans, key)
	}
}
