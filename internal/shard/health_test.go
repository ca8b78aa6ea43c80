package shard

import (
	"testing"
	"time"
)

// TestWorkerProbation guards against a failing worker that is probed without delay, and
// against a recovered worker that stays on probation.
func TestWorkerProbation(t *testing.T) {
	now := time.Unix(0, 0)
	var h startHealth
	for range probationFailures {
		h.record(false, now)
	}
	if !h.onProbation() || !h.mustWaitForProbe(now) || h.mustWaitForProbe(now.Add(minProbeDelay)) {
		t.Fatalf("after %d failures: %+v", probationFailures, h)
	}
	now = now.Add(minProbeDelay)
	h.record(false, now)
	if !h.mustWaitForProbe(now.Add(2*minProbeDelay - 1)) {
		t.Error("the probe delay did not grow after a failed probe")
	}
	for range 20 {
		now = h.nextProbe
		h.record(false, now)
	}
	if delay := h.nextProbe.Sub(now); delay != maxProbeDelay {
		t.Errorf("the probe delay grew to %s", delay)
	}
	for range recoverySuccesses {
		h.record(true, now)
	}
	if h.onProbation() {
		t.Error("the worker is still on probation after successful starts")
	}
}
