package shard

import "time"

// Limits of the judgement of a worker by its starts.
const (
	healthWindow      = 6 // starts that are remembered
	failuresInARow    = 3
	successesToReturn = 2
)

// Waits before the next start on a worker on probation. Without them one waiting job
// was tried on a bad worker 20 times a second, each time with two records in the log.
const (
	probeMin = 5 * time.Second
	probeMax = time.Minute
)

// startHealth remembers whether the last starts on a worker succeeded. A worker
// that fails what it starts attracts work, because it is always free; probation
// keeps that work away from it.
type startHealth struct {
	last      []bool // newest last, at most healthWindow
	probation bool
	good      int // successes while on probation
	// wait is the time between probes, and next when the next one may start.
	wait time.Duration
	next time.Time
}

func (h *startHealth) note(ok bool, now time.Time) {
	h.last = append(h.last, ok)
	if len(h.last) > healthWindow {
		h.last = h.last[1:]
	}
	if h.probation {
		h.noteProbation(ok, now)
		return
	}
	if h.failing() {
		h.probation = true
		h.good = 0
		h.delay(now)
	}
}

// delay puts the next probe off, each time twice as long.
func (h *startHealth) delay(now time.Time) {
	h.wait = min(max(2*h.wait, probeMin), probeMax)
	h.next = now.Add(h.wait)
}

func (h *startHealth) noteProbation(ok bool, now time.Time) {
	if !ok {
		h.good = 0
		h.delay(now)
		return
	}
	h.good++
	if h.good >= successesToReturn {
		*h = startHealth{}
	}
}

func (h *startHealth) failing() bool {
	row, failed := 0, 0
	for _, ok := range h.last {
		if ok {
			row = 0
			continue
		}
		row++
		failed++
	}
	return row >= failuresInARow || (len(h.last) == healthWindow && 2*failed > healthWindow)
}

func (h *startHealth) onProbation() bool { return h.probation }

// resting reports whether a worker on probation must not be probed yet.
func (h *startHealth) resting(now time.Time) bool { return h.probation && now.Before(h.next) }
