package shard

import (
	"testing"
	"time"
)

// TestProbation guards against a bad worker that is probed without pause, and
// against one that never returns to normal use.
func TestProbation(t *testing.T) {
	now := time.Unix(0, 0)
	var h startHealth
	for range failuresInARow {
		h.note(false, now)
	}
	if !h.onProbation() || !h.resting(now) || h.resting(now.Add(probeMin)) {
		t.Fatalf("after %d failures: %+v", failuresInARow, h)
	}
	now = now.Add(probeMin)
	h.note(false, now)
	if !h.resting(now.Add(2*probeMin - 1)) {
		t.Error("the pause did not grow after a failed probe")
	}
	for range 20 {
		now = h.next
		h.note(false, now)
	}
	if pause := h.next.Sub(now); pause != probeMax {
		t.Errorf("the pause grew to %s", pause)
	}
	for range successesToReturn {
		h.note(true, now)
	}
	if h.onProbation() {
		t.Error("the worker did not return")
	}
}
