package blackboard

import (
	"sync"
	"time"
)

// maxEvents is the capacity of an EventTable.
const maxEvents = 2000

// Event describes an action that the daemon took on its own initiative, and its reason.
type Event struct {
	Time    time.Time
	Part    string // part of the daemon, for example "shard" or "membership"
	Message string
}

// EventTable holds the most recent events of this daemon, up to maxEvents.
type EventTable struct {
	mu     sync.Mutex
	events []Event
	oldest int // index of the oldest event once the table is full
}

// Add stores an event. If the table is full, it replaces the oldest event.
func (t *EventTable) Add(e Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.events) < maxEvents {
		t.events = append(t.events, e)
		return
	}
	t.events[t.oldest] = e
	t.oldest = (t.oldest + 1) % maxEvents
}

// Since returns the stored events with a time after since, oldest first.
func (t *EventTable) Since(since time.Time) []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	var later []Event
	for i := range t.events {
		e := t.events[(t.oldest+i)%len(t.events)]
		if e.Time.After(since) {
			later = append(later, e)
		}
	}
	return later
}
