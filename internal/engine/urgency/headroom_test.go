package urgency

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestHeadroomIsBounded guards against headroom without urgent arrivals, headroom that leaves too
// little to other work, and headroom that shrinks when more urgent work arrives.
func TestHeadroomIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		arrived, more := rapid.Float64Range(0, 1e4).Draw(t, "arrived"), rapid.Float64Range(0, 1e4).Draw(t, "more")
		workers, stop := rapid.IntRange(0, 3000).Draw(t, "workers"), time.Duration(rapid.IntRange(1, 5000).Draw(t, "stop"))*time.Millisecond
		kept := Headroom(arrived, workers, stop)
		if kept < 0 || kept > workers/4+1 {
			t.Fatalf("%d of %d workers are kept", kept, workers)
		}
		if Headroom(arrived+more, workers, stop) < kept {
			t.Fatal("more arrivals lead to less headroom")
		}
	})
	if n := Headroom(0, 100, time.Second); n != 0 {
		t.Errorf("%d workers are kept without arrivals", n)
	}
}

// TestNobodyWaitsForHeadroomForever guards against work that never gets the room that is kept for
// urgent work, and against urgent work beyond its organisation's rate that takes it.
func TestNobodyWaitsForHeadroomForever(t *testing.T) {
	batch := Work{Priority: 2, WithinRate: true}
	if MayUseHeadroom(batch) {
		t.Error("batch work uses the headroom at once")
	}
	batch.WaitingMS = maxWait.Milliseconds()
	if !MayUseHeadroom(batch) {
		t.Error("work that has waited for maxWait does not use the headroom")
	}
	if MayUseHeadroom(Work{}) || !MayUseHeadroom(Work{Guaranteed: true}) || !MayUseHeadroom(Work{WithinRate: true}) {
		t.Error("urgent work uses the headroom beyond its rate, or not within it")
	}
}
