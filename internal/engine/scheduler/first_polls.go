package scheduler

import "time"

// firstPolls are the polls of workers that have not answered in this term. Workers with runs
// come first, because the leases of their runs have to be renewed.
type firstPolls struct {
	withRuns, withoutRuns []*worker
	inFlight              inFlight[*worker]
}

// queueFirstPoll queues the poll of a worker that has not answered in this term.
func (t *term) queueFirstPoll(w *worker) {
	if w.firstPollQueued {
		return
	}
	w.firstPollQueued = true
	if len(w.runs) > 0 {
		t.firstPolls.withRuns = append(t.firstPolls.withRuns, w)
	} else {
		t.firstPolls.withoutRuns = append(t.firstPolls.withoutRuns, w)
	}
}

// sendFirstPolls sends queued polls as far as maxInFlight allows.
func (t *term) sendFirstPolls(now time.Duration) {
	for !t.firstPolls.inFlight.isFull(now) {
		w := t.firstPolls.next()
		if w == nil {
			return
		}
		w.firstPollQueued = false
		if w.dead || !t.pollDue(w, now) {
			continue
		}
		t.firstPolls.inFlight[w] = now
		t.poll(w, now)
	}
}

// next removes the next worker from the queue, and returns nil if there is none.
func (p *firstPolls) next() *worker {
	queue := &p.withRuns
	if len(*queue) == 0 {
		queue = &p.withoutRuns
	}
	if len(*queue) == 0 {
		return nil
	}
	w := (*queue)[0]
	*queue = (*queue)[1:]
	return w
}
