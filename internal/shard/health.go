package shard

import "time"

// Numbers of starts that decide whether a worker is on probation.
const (
	startHistorySize  = 6 // remembered starts
	probationFailures = 3 // consecutive failures that put a worker on probation
	recoverySuccesses = 2 // consecutive successes that end probation
)

// Delays before the next start on a worker on probation. Without a delay, one waiting job was
// started on a failing worker 20 times per second, each time with two log records.
const (
	minProbeDelay = 5 * time.Second
	maxProbeDelay = time.Minute
)

// startHealth tracks whether the last starts on a worker succeeded. A worker on which starts
// fail is always free and would attract jobs; probation limits the starts on it. Its users
// must hold the lock of the worker's link.
type startHealth struct {
	results   []bool // newest last, at most startHistorySize
	probation bool
	successes int // consecutive successes while on probation
	// probeDelay is the current delay between probes, and nextProbe is when the next one
	// may start.
	probeDelay time.Duration
	nextProbe  time.Time
}

// record records the result of a start.
func (h *startHealth) record(ok bool, now time.Time) {
	h.results = append(h.results, ok)
	if len(h.results) > startHistorySize {
		h.results = h.results[1:]
	}
	if h.probation {
		h.recordProbe(ok, now)
		return
	}
	if h.exceedsFailureLimit() {
		h.probation = true
		h.successes = 0
		h.delayProbe(now)
	}
}

// delayProbe doubles the probe delay, within its bounds, and sets the time of the next probe.
func (h *startHealth) delayProbe(now time.Time) {
	h.probeDelay = min(max(2*h.probeDelay, minProbeDelay), maxProbeDelay)
	h.nextProbe = now.Add(h.probeDelay)
}

// recordProbe records the result of a start on a worker on probation.
func (h *startHealth) recordProbe(ok bool, now time.Time) {
	if !ok {
		h.successes = 0
		h.delayProbe(now)
		return
	}
	h.successes++
	if h.successes >= recoverySuccesses {
		*h = startHealth{}
	}
}

// exceedsFailureLimit reports whether the last probationFailures starts failed, or more than
// half of a full history.
func (h *startHealth) exceedsFailureLimit() bool {
	consecutive, failed := 0, 0
	for _, ok := range h.results {
		if ok {
			consecutive = 0
			continue
		}
		consecutive++
		failed++
	}
	return consecutive >= probationFailures || (len(h.results) == startHistorySize && 2*failed > startHistorySize)
}

func (h *startHealth) onProbation() bool { return h.probation }

// mustWaitForProbe reports whether a worker on probation must not be probed yet.
func (h *startHealth) mustWaitForProbe(now time.Time) bool {
	return h.probation && now.Before(h.nextProbe)
}
