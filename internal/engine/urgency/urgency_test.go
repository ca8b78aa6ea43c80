package urgency

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// drawWork draws work from few values, so that ties are frequent.
func drawWork(t *rapid.T) Work {
	deadline := rapid.Int64Range(0, 6).Draw(t, "deadline") * 10_000
	return Work{
		Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Guaranteed: rapid.Bool().Draw(t, "guaranteed"),
		LongRunning: rapid.Bool().Draw(t, "longRunning"), WithinRate: rapid.Bool().Draw(t, "withinRate"),
		Share:      float64(rapid.IntRange(0, 2).Draw(t, "share")),
		DeadlineMS: deadline, WorthlessMS: deadline + rapid.Int64Range(0, 3).Draw(t, "late")*10_000,
		Needed: float64(rapid.IntRange(0, 5).Draw(t, "needed")), Done: float64(rapid.IntRange(0, 5).Draw(t, "done")),
		WaitingMS:   rapid.Int64Range(0, 4).Draw(t, "waiting") * 10_000,
		RemainingMS: rapid.Int64Range(0, 3).Draw(t, "remaining") * 5_000, RestartedMS: rapid.Int64Range(0, 5).Draw(t, "restarted") * 5_000,
		Stops: rapid.IntRange(0, 3).Draw(t, "stops"),
	}
}

// TestCompareIsStrictWeakOrder guards against an order with cycles, with which the result of a sort
// depends on the order of its input, so that two jobs overtake each other from pass to pass.
func TestCompareIsStrictWeakOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawWork(t), drawWork(t), drawWork(t)
		now := rapid.Int64Range(0, 100_000).Draw(t, "now")
		if Compare(a, a, now) != 0 || Compare(a, b, now) != -Compare(b, a, now) {
			t.Fatal("the order is not antisymmetric")
		}
		if Compare(a, b, now) <= 0 && Compare(b, c, now) <= 0 && Compare(a, c, now) > 0 {
			t.Fatal("the order is not transitive")
		}
	})
}

// TestNobodyWaitsForCheaperWork guards against work that is put behind other work whose wait costs
// its caller less. The exceptions are those that Compare names: guarantees, long-running work,
// rates, shares, and work that has waited for maxWait.
func TestNobodyWaitsForCheaperWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := drawWork(t), drawWork(t)
		now := rapid.Int64Range(0, 100_000).Draw(t, "now")
		for _, w := range []*Work{&first, &second} {
			w.Guaranteed, w.LongRunning, w.WithinRate, w.Share, w.WaitingMS = false, false, true, 0, 0
		}
		if Compare(first, second, now) >= 0 {
			return
		}
		worth := func(w Work) float64 { return weight(w.Priority) * w.worth(now) }
		if first.Priority == second.Priority && worth(first) < worth(second) {
			t.Fatalf("%+v is placed before %+v", first, second)
		}
		if first.Priority > second.Priority {
			t.Fatal("less urgent work is placed first")
		}
	})
}

// TestLateWorkIsNotStarved guards against late work that is put behind every new job of its
// priority for as long as these arrive.
func TestLateWorkIsNotStarved(t *testing.T) {
	late := Work{DeadlineMS: 1_000, WorthlessMS: 3_000, WithinRate: true}
	recent := func(nowMS int64) Work {
		return Work{DeadlineMS: nowMS + 1_000, WorthlessMS: nowMS + 3_000, WithinRate: true}
	}
	if now := int64(10_000); Compare(late, recent(now), now) <= 0 {
		t.Error("worthless work is placed before work that may be in time")
	}
	late.WaitingMS = maxWait.Milliseconds()
	if now := maxWait.Milliseconds(); Compare(late, recent(now), now) >= 0 {
		t.Error("work that has waited for maxWait is still placed last")
	}
}

// TestStopCostRisesWithWhatIsLost guards against stops of work of which more is lost: more work
// done, work that would miss its objective, work that was stopped before, and urgent work.
func TestStopCostRisesWithWhatIsLost(t *testing.T) {
	const now = 10_000
	cheapest := []Work{
		{Priority: 2, Done: 1, Needed: 10, DeadlineMS: 1_000, WorthlessMS: 2_000, RemainingMS: 1_000, RestartedMS: 5_000},   // worth nothing
		{Priority: 2, Done: 2, Needed: 10, DeadlineMS: 30_000, WorthlessMS: 60_000, RemainingMS: 1_000, RestartedMS: 5_000}, // in time anyway
		{Priority: 2, Done: 2, Needed: 10, DeadlineMS: 1_000, WorthlessMS: 12_000, RemainingMS: 1_000, RestartedMS: 5_000},  // late, then worth nothing
		{Priority: 2, Done: 2, Needed: 10, DeadlineMS: 12_000, WorthlessMS: 60_000, RemainingMS: 1_000, RestartedMS: 5_000}, // in time, then late
		{Priority: 2, Done: 5, Needed: 10, DeadlineMS: 12_000, WorthlessMS: 60_000, RemainingMS: 1_000, RestartedMS: 5_000}, // more work lost
		{Priority: 1, Done: 5, Needed: 10, DeadlineMS: 12_000, WorthlessMS: 60_000, RemainingMS: 1_000, RestartedMS: 5_000}, // more urgent
		{Priority: 1, Done: 5, Needed: 10, DeadlineMS: 12_000, WorthlessMS: 60_000, RemainingMS: 1_000, RestartedMS: 5_000, Stops: 1},
		{Priority: 0, Done: 5, Needed: 10, DeadlineMS: 12_000, WorthlessMS: 60_000, RemainingMS: 1_000, RestartedMS: 5_000},
	}
	if !slices.IsSortedFunc(cheapest, func(a, b Work) int {
		if StopCost(a, now) < StopCost(b, now) {
			return -1
		}
		return 1
	}) {
		for _, w := range cheapest {
			t.Errorf("%+v costs %.1f", w, StopCost(w, now))
		}
	}
}

// TestGainOnlyWhereTheRoomIsUsedInTime guards against stops for work that is late in any case, or
// is worth nothing.
func TestGainOnlyWhereTheRoomIsUsedInTime(t *testing.T) {
	const now, stop = 10_000, 1_000
	cases := []struct {
		name string
		w    Work
		want float64
	}{
		{"in time only with a stop", Work{DeadlineMS: 15_000, WorthlessMS: 30_000, RemainingMS: 3_000}, 25 * (1 - lateWorth)},
		{"late in any case", Work{DeadlineMS: 13_000, WorthlessMS: 30_000, RemainingMS: 3_000}, 0},
		{"soon worth nothing", Work{DeadlineMS: 11_000, WorthlessMS: 15_000, RemainingMS: 3_000}, 25 * lateWorth},
		{"worth nothing", Work{DeadlineMS: 1_000, WorthlessMS: 3_000, RemainingMS: 3_000}, 0},
		{"less urgent", Work{Priority: 1, DeadlineMS: 15_000, WorthlessMS: 30_000, RemainingMS: 3_000}, 2 * (1 - lateWorth)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.w.Needed = 1
			if got := Gain(c.w, stop, now); got != c.want {
				t.Errorf("the gain is %g, want %g", got, c.want)
			}
		})
	}
}
