package journal

import (
	"sync"
	"time"
)

const (
	// unreachableAfter is how long reads must fail before the log is considered
	// unreachable. A single lost read is normal.
	unreachableAfter = time.Second
	// holdAppendsAfter is how long the response to a read may be overdue before no more
	// appends are sent, so that it is certain that their records are not in the log.
	holdAppendsAfter = 5 * time.Second
	// maxResumeDelay bounds the random delay of the first append after an outage, which
	// spreads the appends of all hosts.
	maxResumeDelay = time.Second
)

// healthMonitor determines the state of the log service from the reads of one stream. A
// read whose response is late by more than unreachableAfter counts as failed here although
// its records are used, because start evidence from such a log is always too old.
type healthMonitor struct {
	now func() time.Time

	mu           sync.Mutex
	anyReadDone  bool          // a read has been answered or has failed
	sentAt       time.Time     // when the read in flight was sent; zero if none
	pollWait     time.Duration // how long the log may hold the read in flight
	failingSince time.Time     // start of the current sequence of failures; zero if none
	lastReadOK   bool          // the last finished read was answered
	lastHeadRead time.Time     // when the last read that reached the head was sent
	resumeAt     time.Time     // end of the delay of appends after an outage
}

func (h *healthMonitor) readStarted(wait time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sentAt = h.now()
	h.pollWait = wait
}

// readFailed records a read without a response. The failure starts at the time at which
// the response was due, or now if the read failed earlier.
func (h *healthMonitor) readFailed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.anyReadDone = true
	h.lastReadOK = false
	h.markFailed(h.now())
	h.sentAt = time.Time{}
}

func (h *healthMonitor) markFailed(now time.Time) {
	if !h.failingSince.IsZero() {
		return
	}
	h.failingSince = now
	if due := h.sentAt.Add(h.pollWait); due.Before(now) {
		h.failingSince = due
	}
}

// readSucceeded records an answered read. If it is the first read or the read before it
// failed, appends are delayed by resumeDelay.
func (h *healthMonitor) readSucceeded(atHead bool, resumeDelay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	h.anyReadDone = true
	if atHead {
		h.lastHeadRead = h.sentAt
	}
	if !h.lastReadOK {
		h.resumeAt = now.Add(resumeDelay)
	}
	h.lastReadOK = true
	if now.Sub(h.sentAt) > h.pollWait+unreachableAfter {
		h.markFailed(now)
	} else {
		h.failingSince = time.Time{}
	}
	h.sentAt = time.Time{}
}

func (h *healthMonitor) state() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return State{Reachable: h.reachable(), Answering: h.answering(), LastHeadRead: h.lastHeadRead}
}

func (h *healthMonitor) reachable() bool {
	if !h.anyReadDone {
		return false
	}
	now := h.now()
	if !h.failingSince.IsZero() && now.Sub(h.failingSince) >= unreachableAfter {
		return false
	}
	return h.sentAt.IsZero() || now.Sub(h.sentAt) < h.pollWait+unreachableAfter
}

// appendDelay returns how long appends must still wait after an outage, and false while
// reads are not answered.
func (h *healthMonitor) appendDelay() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.resumeAt.Sub(h.now()), h.lastReadOK && !h.overdue()
}

// answering reports whether reads are answered. Like reachable, it tolerates a single lost
// read.
func (h *healthMonitor) answering() bool {
	if !h.anyReadDone || h.overdue() {
		return false
	}
	return h.lastReadOK || h.now().Sub(h.failingSince) < unreachableAfter
}

// overdue reports whether the response to the read in flight is overdue by more than
// holdAppendsAfter.
func (h *healthMonitor) overdue() bool {
	return !h.sentAt.IsZero() && h.now().Sub(h.sentAt) > h.pollWait+holdAppendsAfter
}
