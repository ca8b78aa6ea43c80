package blackboard

import (
	"sync"
	"time"
)

// maxEvents bounds the events that a daemon keeps; older ones are dropped.
const maxEvents = 2000

// Event is something that the daemon did by itself, and why.
type Event struct {
	Time    time.Time
	Part    string // for example "shard" or "membership"
	Message string
}

// EventTable holds the last events of this daemon.
type EventTable struct {
	mu   sync.Mutex
	all  []Event
	next int
}

// Add stores an event and drops the oldest one when the table is full.
func (t *EventTable) Add(e Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.all) < maxEvents {
		t.all = append(t.all, e)
		return
	}
	t.all[t.next] = e
	t.next = (t.next + 1) % maxEvents
}

// Since returns the events after since, oldest first.
func (t *EventTable) Since(since time.Time) []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Event
	for i := range t.all {
		e := t.all[(t.next+i)%len(t.all)]
		if e.Time.After(since) {
			out = append(out, e)
		}
	}
	return out
}
