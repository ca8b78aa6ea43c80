package scheduler

import "time"

const (
	// maxFirstPolls limits the first polls in flight. Each opens a connection; those of thousands
	// of workers at once would keep a host with a small share of a core from its heartbeat, and
	// another host would take over and do the same.
	maxFirstPolls = 64
	// firstPollPatience is the time after which a first poll without an answer no longer counts,
	// so that workers that cannot be reached do not hold up the others.
	firstPollPatience = 100 * time.Millisecond
)

// firstPolls are the polls of workers that have not answered in this term. Workers with runs
// come first, because the leases of their runs have to be renewed.
type firstPolls struct {
	withRuns, withoutRuns []*worker
	// sentAt is when the polls in flight that count were sent.
	sentAt map[*worker]time.Duration
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

// sendFirstPolls sends queued polls as far as maxFirstPolls allows.
func (t *term) sendFirstPolls(now time.Duration) {
	for t.mayPollFirst(now) {
		w := t.firstPolls.next()
		if w == nil {
			return
		}
		w.firstPollQueued = false
		if w.dead || !t.pollDue(w, now) {
			continue
		}
		t.firstPolls.sentAt[w] = now
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

// mayPollFirst reports whether another first poll may be sent.
func (t *term) mayPollFirst(now time.Duration) bool {
	if len(t.firstPolls.sentAt) < maxFirstPolls {
		return true
	}
	for w, sent := range t.firstPolls.sentAt {
		if now-sent >= firstPollPatience {
			delete(t.firstPolls.sentAt, w)
		}
	}
	return len(t.firstPolls.sentAt) < maxFirstPolls
}
