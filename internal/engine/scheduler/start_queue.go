package scheduler

import (
	"slices"
	"time"
)

// startQueue holds recorded runs whose starts have not been sent. Runs that were placed together
// are sent together: the members of a gang wait for each other only for a limited time.
type startQueue struct {
	groups   [][]*run // by priority of their jobs, then in the order of their placement
	inFlight inFlight[*run]
}

// queueStarts queues the starts of runs that were placed together.
func (t *term) queueStarts(runs []*run) {
	q := &t.startQueue
	at := len(q.groups)
	for at > 0 && q.groups[at-1][0].job.Priority > runs[0].job.Priority {
		at--
	}
	q.groups = slices.Insert(q.groups, at, runs)
	t.sendQueuedStarts(t.Now())
}

// sendQueuedStarts sends queued starts as far as maxInFlight allows. A group may exceed it.
func (t *term) sendQueuedStarts(now time.Duration) {
	q := &t.startQueue
	for len(q.groups) > 0 && !q.inFlight.isFull(now) {
		group := q.groups[0]
		q.groups = q.groups[1:]
		t.startAll(group)
	}
}
