package jobs

import (
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
)

// deferRecord keeps a record that is not valid yet, unless maxDeferredRecords are kept
// already. Either the job's acceptance is older than the log's retention and a snapshot
// of the job follows, or records of an outage were appended out of order.
func (t *Table) deferRecord(key model.JobKey, offset int64, r journal.Record) {
	if t.deferredCount >= maxDeferredRecords {
		return
	}
	t.deferred[key] = append(t.deferred[key], deferredRecord{offset: offset, record: r})
	t.deferredCount++
}

// applyDeferred applies the deferred records of a job that have become valid, in log
// order, and drops those that cannot become valid any more.
func (t *Table) applyDeferred(key model.JobKey) {
	for applied := true; applied && len(t.deferred[key]) > 0; {
		applied = false
		var rest []deferredRecord
		for _, d := range t.deferred[key] {
			e := t.entries[key]
			if updated, ok := transition(e, d.record); ok {
				if d.record.Kind == journal.KindJobPlaced {
					t.internStrings(updated)
				}
				t.setEntry(key, updated)
				applied = true
			} else if mayBecomeValid(e, d.record) {
				rest = append(rest, d)
			}
		}
		t.deferredCount -= len(t.deferred[key]) - len(rest)
		t.deferred[key] = rest
	}
	if len(t.deferred[key]) == 0 {
		delete(t.deferred, key)
	}
}
