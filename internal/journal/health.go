package journal

import (
	"sync"
	"time"
)

const (
	// unreachableAfter is how long reads must fail before the log counts as
	// unreachable; a single lost read is normal.
	unreachableAfter = time.Second
	// holdAppendsAfter is how long a read may be without answer before appends are
	// held back, so that their records stay certainly unsent.
	holdAppendsAfter = 5 * time.Second
	// maxResumeWait spreads the appends of all hosts after an outage.
	maxResumeWait = time.Second
)

// health judges the log service by the reads of one stream. A read that is
// answered more than unreachableAfter late counts as failed here although its
// records are used: start evidence from such a log is always too old.
type health struct {
	now func() time.Time

	mu       sync.Mutex
	started  bool
	sent     time.Time // when the read in flight was sent; zero if none
	wait     time.Duration
	failedAt time.Time // start of the current run of failures; zero if none
	lastOK   bool      // the last finished read was answered
	lastHead time.Time
	resumeAt time.Time // appends wait until then after an outage
}

func (h *health) begin(wait time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent = h.now()
	h.wait = wait
}

// fail records a read without answer. The failure counts from the moment at which
// an answer was due, or from now if it failed early.
func (h *health) fail() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.started = true
	h.lastOK = false
	h.markFailed(h.now())
	h.sent = time.Time{}
}

func (h *health) markFailed(now time.Time) {
	if !h.failedAt.IsZero() {
		return
	}
	h.failedAt = now
	if due := h.sent.Add(h.wait); due.Before(now) {
		h.failedAt = due
	}
}

// succeed records an answered read and returns whether an outage ended.
func (h *health) succeed(atHead bool, resumeWait time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	h.started = true
	if atHead {
		h.lastHead = h.sent
	}
	if !h.lastOK {
		h.resumeAt = now.Add(resumeWait)
	}
	h.lastOK = true
	if now.Sub(h.sent) > h.wait+unreachableAfter {
		h.markFailed(now)
	} else {
		h.failedAt = time.Time{}
	}
	h.sent = time.Time{}
}

func (h *health) state() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return State{Reachable: h.reachable(), Answering: h.answering(), LastHead: h.lastHead}
}

func (h *health) reachable() bool {
	if !h.started {
		return false
	}
	now := h.now()
	if !h.failedAt.IsZero() && now.Sub(h.failedAt) >= unreachableAfter {
		return false
	}
	return h.sent.IsZero() || now.Sub(h.sent) < h.wait+unreachableAfter
}

// appendDelay returns how long an append must be held back, or false while reads
// are not answered.
func (h *health) appendDelay() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.resumeAt.Sub(h.now()), h.lastOK && !h.overdue()
}

// answering tolerates a single lost read, as reachable does.
func (h *health) answering() bool {
	if !h.started || h.overdue() {
		return false
	}
	return h.lastOK || h.now().Sub(h.failedAt) < unreachableAfter
}

// overdue reports whether the read in flight has had no answer for so long that
// appends must be held back.
func (h *health) overdue() bool {
	return !h.sent.IsZero() && h.now().Sub(h.sent) > h.wait+holdAppendsAfter
}
