package routing

import (
	"container/list"
	"time"
)

// Ticket is a request that waits for a target. The zero Ready channel is made by
// NewTicket; whoever takes the ticket from the queue sends one choice on it.
type Ticket struct {
	Query    Query
	Arrived  time.Time
	Deadline time.Time
	Ready    chan Choice

	place *list.Element
}

// NewTicket returns a ticket that is not in a queue yet.
func NewTicket(q Query, arrived, deadline time.Time) *Ticket {
	return &Ticket{Query: q, Arrived: arrived, Deadline: deadline, Ready: make(chan Choice, 1)}
}

// Waiting reports whether the ticket is in a queue.
func (t *Ticket) Waiting() bool { return t.place != nil }

const (
	// queueLength bounds the waiting requests of one service at one host. Longer
	// queues only delay the refusal: with 50 targets of 8 slots they hold more
	// than half a second of work.
	queueLength = 256
	// queueWait bounds the time in the queue, so that callers learn of an overload
	// while they still have time to go elsewhere.
	queueWait = time.Second
)

// Queue holds the waiting requests of one service, first come first served. It
// sheds by length, by time waited and by deadline.
type Queue struct {
	// Expected is how long a request takes on a target; a ticket with less time
	// left is shed because its answer would come too late.
	Expected time.Duration
	waiting  list.List
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting.Len() }

// Full reports whether the next ticket is shed at once.
func (q *Queue) Full() bool { return q.waiting.Len() >= queueLength }

// LatestStart is when the ticket is shed if it is still waiting: after queueWait,
// after half of its time, or when the rest is too short for an answer.
func (q *Queue) LatestStart(t *Ticket) time.Time {
	total := t.Deadline.Sub(t.Arrived)
	wait := min(queueWait, total/2, total-q.Expected)
	return t.Arrived.Add(max(0, wait))
}

// Push adds a ticket. It reports false when the ticket is shed at once.
func (q *Queue) Push(t *Ticket) bool {
	if q.Full() || !q.LatestStart(t).After(t.Arrived) {
		return false
	}
	t.place = q.waiting.PushBack(t)
	return true
}

// Remove takes a ticket out and reports whether it was still waiting.
func (q *Queue) Remove(t *Ticket) bool {
	if t.place == nil {
		return false
	}
	q.waiting.Remove(t.place)
	t.place = nil
	return true
}

// Serve offers the waiting tickets, oldest first, to choose and removes those that
// get a target. Tickets past their latest start are left for their owner to remove.
func (q *Queue) Serve(now time.Time, choose func(Query) Choice) {
	for e := q.waiting.Front(); e != nil; {
		t := e.Value.(*Ticket)
		e = e.Next()
		if now.After(q.LatestStart(t)) {
			continue
		}
		c := choose(t.Query)
		if c.OK {
			q.Remove(t)
			t.Ready <- c
			continue
		}
		if c.Reason == ReasonBusy && len(t.Query.Exclude) == 0 {
			return // nothing is free for anybody
		}
	}
}
