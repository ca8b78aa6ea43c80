package shard

// Limits of the judgement of a worker by its starts.
const (
	healthWindow      = 6 // starts that are remembered
	failuresInARow    = 3
	successesToReturn = 2
)

// startHealth remembers whether the last starts on a worker succeeded. A worker
// that fails what it starts attracts work, because it is always free; probation
// keeps that work away from it.
type startHealth struct {
	last      []bool // newest last, at most healthWindow
	probation bool
	good      int // successes while on probation
}

func (h *startHealth) note(ok bool) {
	h.last = append(h.last, ok)
	if len(h.last) > healthWindow {
		h.last = h.last[1:]
	}
	if h.probation {
		h.noteProbation(ok)
		return
	}
	if h.failing() {
		h.probation = true
		h.good = 0
	}
}

func (h *startHealth) noteProbation(ok bool) {
	if !ok {
		h.good = 0
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
