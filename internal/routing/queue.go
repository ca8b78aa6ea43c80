package routing

import (
	"container/list"
	"time"
)

// Waiter is a request that waits in a Queue for a target. Use NewWaiter to create one.
// Ready receives one Choice when Dispatch takes the waiter out of the queue.
type Waiter struct {
	Query    Query
	Arrived  time.Time
	Deadline time.Time
	Ready    chan Choice

	element *list.Element // nil while the waiter is not in a queue
}

// NewWaiter returns a waiter that is not queued yet.
func NewWaiter(q Query, arrived, deadline time.Time) *Waiter {
	return &Waiter{Query: q, Arrived: arrived, Deadline: deadline, Ready: make(chan Choice, 1)}
}

// Queued reports whether the waiter is in a queue.
func (w *Waiter) Queued() bool { return w.element != nil }

const (
	// maxQueueLength limits the waiting requests of one service at one host. A longer
	// queue only delays the refusal: with 50 targets of 8 slots it holds more than
	// half a second of work.
	maxQueueLength = 256
	// maxQueueWait limits the time in the queue, so that a caller learns of an overload
	// while it still has time to send the request elsewhere.
	maxQueueWait = time.Second
)

// Queue is the FIFO queue of the waiting requests of one service. It sheds requests
// by queue length, waiting time and deadline.
type Queue struct {
	// ExpectedLatency is the typical latency of a request on a target. A request with
	// less time left is shed because its response would come too late.
	ExpectedLatency time.Duration
	waiters         list.List
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiters.Len() }

// Full reports whether the queue has reached its maximum length.
func (q *Queue) Full() bool { return q.waiters.Len() >= maxQueueLength }

// LatestStart returns the time at which w is shed if it is still waiting: after
// maxQueueWait, after half of the time from arrival to deadline, or when the remaining
// time is shorter than ExpectedLatency, whichever is first.
func (q *Queue) LatestStart(w *Waiter) time.Time {
	total := w.Deadline.Sub(w.Arrived)
	wait := min(maxQueueWait, total/2, total-q.ExpectedLatency)
	return w.Arrived.Add(max(0, wait))
}

// Push appends w and reports whether it was queued. It is not if the queue is full or
// the latest start of w is not after its arrival.
func (q *Queue) Push(w *Waiter) bool {
	if q.Full() || !q.LatestStart(w).After(w.Arrived) {
		return false
	}
	w.element = q.waiters.PushBack(w)
	return true
}

// Remove removes w and reports whether it was still queued.
func (q *Queue) Remove(w *Waiter) bool {
	if w.element == nil {
		return false
	}
	q.waiters.Remove(w.element)
	w.element = nil
	return true
}

// Dispatch calls choose for the waiting requests, oldest first, and removes those that
// get a target. Requests past their latest start are skipped; their callers remove
// them.
func (q *Queue) Dispatch(now time.Time, choose func(Query) Choice) {
	for e := q.waiters.Front(); e != nil; {
		w := e.Value.(*Waiter)
		e = e.Next()
		if now.After(q.LatestStart(w)) {
			continue
		}
		c := choose(w.Query)
		if c.OK {
			q.Remove(w)
			w.Ready <- c
			continue
		}
		if c.Reason == ReasonAllSlotsUsed && len(w.Query.Exclude) == 0 {
			return // no slot is free for any request of the service
		}
	}
}
