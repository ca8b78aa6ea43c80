package routing

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/daisyfold/daisyfold/internal/model"
)

var startTime = time.Unix(1_000_000, 0)

// testTargets returns n targets of service s with 8 slots each, alternating between
// zones a and b.
func testTargets(n int) []model.Target {
	var out []model.Target
	for i := range n {
		zone := model.Zone("ab"[i%2 : i%2+1])
		out = append(out, model.Target{ID: model.TargetID(fmt.Sprint("t", i)), Service: "s", Zone: zone, Slots: 8, MaxConnections: 64})
	}
	return out
}

// TestChooseRespectsLimits guards against more requests on a target than its slots and
// connections allow, against requests to targets that are leaving or out of service or
// in another zone while a healthy target of the own zone is eligible, and against
// leaked slots.
func TestChooseRespectsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(Options{Zone: "a", Seed: rapid.Uint64().Draw(t, "seed")})
		list := testTargets(rapid.IntRange(1, 6).Draw(t, "targets"))
		for i := range list {
			list[i].Slots = rapid.IntRange(1, 8).Draw(t, "slots")
			list[i].MaxConnections = rapid.IntRange(1, 64).Draw(t, "connections")
		}
		hosts := rapid.IntRange(1, 8).Draw(t, "hosts")
		r.Update(list, hosts)
		now := startTime
		var open []Choice
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				i := rapid.IntRange(0, len(list)-1).Draw(t, "leaving")
				list[i].Leaving = !list[i].Leaving
				r.Update(list, hosts)
			case 1, 2:
				q := Query{Service: "s", ZonesOutOfService: map[model.Zone]bool{"b": rapid.Bool().Draw(t, "out")}}
				open = checkChoice(t, r, now, q, hosts, open)
			default:
				if len(open) > 0 {
					kind := ResultKind(rapid.IntRange(0, 4).Draw(t, "kind"))
					r.Done(now, open[0], Result{Kind: kind, Latency: time.Millisecond})
					open = open[1:]
				}
			}
		}
		for _, c := range open {
			r.Done(now, c, Result{Kind: ResultAbandoned})
		}
		for _, s := range r.targets {
			if s.inFlight != 0 || r.pools["s"].inFlight != 0 {
				t.Fatalf("target %s: %d requests in flight after all ended", s.target.ID, s.inFlight)
			}
		}
	})
}

// checkChoice makes one choice, checks it and adds it to the open choices.
func checkChoice(t *rapid.T, r *Router, now time.Time, q Query, hosts int, open []Choice) []Choice {
	anyEligible, healthyInOwnZone := false, false
	for _, s := range r.targets {
		if eligible(now, s, q) {
			anyEligible = true
			healthyInOwnZone = healthyInOwnZone || s.target.Zone == "a" && !s.breaker.isOpen() && s.healthy(now, r.pools["s"].typicalLatency)
		}
	}
	c := r.Choose(now, q)
	if c.OK != anyEligible {
		t.Fatalf("choice %+v, but a target is eligible: %v", c, anyEligible)
	}
	if !c.OK {
		return open
	}
	inFlight := r.targets[c.Target.ID].inFlight
	if inFlight > c.Target.Slots || inFlight > c.Target.ConnectionsPerHost(hosts) {
		t.Fatalf("%d requests on %+v with %d hosts", inFlight, c.Target, hosts)
	}
	if r.targets[c.Target.ID].leaving(now) || q.ZonesOutOfService[c.Target.Zone] {
		t.Fatalf("target %+v is leaving or out of service", c.Target)
	}
	if healthyInOwnZone && c.Target.Zone != "a" && c.Reason != ReasonProbe {
		t.Fatalf("target %+v chosen although a healthy one of zone a is eligible", c.Target)
	}
	return append(open, c)
}

// TestUnhealthyTargetGetsFewRequests guards against preferring a target whose fast
// failures look like low latency, and against sending a slow target its full share.
func TestUnhealthyTargetGetsFewRequests(t *testing.T) {
	for _, tc := range []struct {
		name   string
		bad    Result
		atMost int
	}{
		{"failing", Result{Kind: ResultFailed, Latency: time.Millisecond}, 20},
		{"rejecting", Result{Kind: ResultRejected, Latency: time.Millisecond}, 20},
		{"silent", Result{Kind: ResultNoResponse, Latency: 2 * time.Second}, 20},
		{"slow", Result{Kind: ResultOK, Latency: 250 * time.Millisecond}, 20},
	} {
		r := New(Options{Zone: "a", Seed: 1})
		r.Update(testTargets(6), 1)
		now, bad := startTime, 0
		for range 1000 {
			c := r.Choose(now, Query{Service: "s"})
			res := Result{Kind: ResultOK, Latency: 50 * time.Millisecond}
			if c.Target.ID == "t0" {
				bad++
				res = tc.bad
			}
			now = now.Add(10 * time.Millisecond)
			r.Done(now, c, res)
		}
		if bad > tc.atMost || bad == 0 {
			t.Errorf("%s target got %d of 1000 requests, want 1 to %d", tc.name, bad, tc.atMost)
		}
	}
}

// TestCircuitBreaker guards against a breaker that opens for a busy target, allows more
// than one probe at a time or closes on the success of a request from before it opened.
func TestCircuitBreaker(t *testing.T) {
	var b breaker
	for range breakerOpenThreshold - 1 {
		b.recordResult(startTime, ResultRejected)
	}
	if b.isOpen() {
		t.Fatal("open after fewer rejections than the limit")
	}
	b.recordResult(startTime, ResultFailed)
	if !b.isOpen() || b.allows(startTime.Add(breakerInitialOpenTime-1)) || !b.allows(startTime.Add(breakerInitialOpenTime)) {
		t.Fatalf("breaker %+v, want open until the initial open time is over", b)
	}
	b.recordResult(startTime, ResultOK) // sent before it opened
	if !b.recordSent() || b.allows(startTime.Add(time.Hour)) {
		t.Fatal("a second probe is allowed")
	}
	b.recordResult(startTime.Add(breakerInitialOpenTime), ResultFailed)
	if b.openTime != 2*breakerInitialOpenTime {
		t.Fatalf("open time %v after a failed probe, want it doubled", b.openTime)
	}
	for range breakerProbeSuccesses {
		b.recordSent()
		b.recordResult(startTime.Add(time.Minute), ResultOK)
	}
	if b.isOpen() {
		t.Fatal("open after the probes succeeded")
	}
}

// TestRetryBudget guards against more retries than MaxRetryRatio allows, in any order
// of calls and retries.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b RetryBudget
		calls, retries := 0, 0
		for _, retry := range rapid.SliceOf(rapid.Bool()).Draw(t, "steps") {
			if !retry {
				b.RecordCall()
				calls++
			} else if b.TakeRetry() {
				retries++
			}
		}
		if float64(retries) > MaxRetryRatio*float64(calls) {
			t.Fatalf("%d retries of %d calls", retries, calls)
		}
	})
}

// TestBackoffDelaysAreBounded guards against retries without a delay or with more than
// the allowed jitter, and against delays that grow without bound.
func TestBackoffDelaysAreBounded(t *testing.T) {
	b := NewBackoff(nil)
	limit := backoffInitialDelay
	for range 20 {
		if d := b.Next(); d < limit/2 || d > limit {
			t.Fatalf("delay %v, want %v to %v", d, limit/2, limit)
		}
		limit = min(2*limit, backoffMaxDelay)
	}
}

// TestQueueShedsLateRequests guards against requests that wait until their response can
// no longer arrive in time, and against service out of order.
func TestQueueShedsLateRequests(t *testing.T) {
	newWaiter := func(left time.Duration) *Waiter {
		return NewWaiter(Query{Service: "s"}, startTime, startTime.Add(left))
	}
	q := Queue{ExpectedLatency: 100 * time.Millisecond}
	for _, tc := range []struct{ left, wait time.Duration }{
		{10 * time.Second, maxQueueWait},
		{time.Second, 500 * time.Millisecond},
		{150 * time.Millisecond, 50 * time.Millisecond},
	} {
		if got := q.LatestStart(newWaiter(tc.left)).Sub(startTime); got != tc.wait {
			t.Errorf("with %v left: waits %v, want %v", tc.left, got, tc.wait)
		}
	}
	if q.Push(newWaiter(90 * time.Millisecond)) {
		t.Error("a request was queued whose response would come too late")
	}
	first, late, second := newWaiter(10*time.Second), newWaiter(150*time.Millisecond), newWaiter(10*time.Second)
	for _, w := range []*Waiter{first, late, second} {
		q.Push(w)
	}
	free := 1
	q.Dispatch(startTime.Add(60*time.Millisecond), func(Query) Choice {
		free--
		return Choice{OK: free >= 0, Reason: ReasonAllSlotsUsed}
	})
	if first.Queued() || !late.Queued() || !second.Queued() {
		t.Error("the oldest request was not dispatched first")
	}
	free = 10
	q.Dispatch(startTime.Add(60*time.Millisecond), func(Query) Choice { return Choice{OK: true} })
	if !late.Queued() || second.Queued() {
		t.Error("a request past its latest start was dispatched")
	}
	for q.Push(newWaiter(time.Minute)) {
		if q.Len() > maxQueueLength {
			t.Fatalf("%d requests are queued, want at most %d", q.Len(), maxQueueLength)
		}
	}
}

// TestRateLimits guards against an organisation that exceeds its rate, or keeps its old
// rate after the configuration changed.
func TestRateLimits(t *testing.T) {
	var l RateLimits
	allowed := func(now time.Time, rate float64) (n int) {
		for range 100 {
			if l.Allow(now, "o", rate) {
				n++
			}
		}
		return n
	}
	if n := allowed(startTime, 10); n != 10 {
		t.Errorf("%d requests at once, want a burst of 10", n)
	}
	if n := allowed(startTime.Add(500*time.Millisecond), 10); n != 5 {
		t.Errorf("%d requests after half a second, want 5", n)
	}
	if n := allowed(startTime.Add(time.Minute), 20); n > 20 {
		t.Errorf("%d requests at the new rate, want at most 20", n)
	}
	if n := allowed(startTime.Add(time.Minute), 0); n != 100 {
		t.Errorf("%d requests without a limit, want 100", n)
	}
}

// TestMaxInFlight guards against more requests of a service in flight than its limit.
func TestMaxInFlight(t *testing.T) {
	r := New(Options{Zone: "a"})
	r.Update(testTargets(2), 1)
	q := Query{Service: "s", MaxInFlight: 3}
	for range 3 {
		if c := r.Choose(startTime, q); !c.OK {
			t.Fatalf("refused below the limit: %+v", c)
		}
	}
	if c := r.Choose(startTime, q); c.OK || c.Reason != ReasonAllSlotsUsed {
		t.Errorf("got %+v, want all_slots_used at the limit", c)
	}
}

// TestLeastLoadedThresholds guards against thresholds or dampening that differ from
// those of the paper.
func TestLeastLoadedThresholds(t *testing.T) {
	p := &LeastLoaded{Dampening: 0.5, RejectThreshold: 3, CriticalThreshold: 5}
	r := New(Options{Zone: "a", Policy: p})
	r.Update(testTargets(1), 1)
	chosen := func(load float64) bool {
		for range 20 { // until the dampened load has reached the sample
			r.ReportLoad(p, func(model.TargetID) float64 { return load })
		}
		c := r.Choose(startTime, Query{Service: "s"})
		if c.OK {
			r.Done(startTime, c, Result{Kind: ResultAbandoned})
		}
		return c.OK
	}
	r.ReportLoad(p, func(model.TargetID) float64 { return 4 })
	if got := r.targets["t0"].load.dampened; got != 2 {
		t.Errorf("load %v after one sample of 4 with dampening 0.5, want 2", got)
	}
	if !chosen(4) || chosen(10) {
		t.Error("want a target above the reject threshold used last, and one above the critical threshold not at all")
	}
}
