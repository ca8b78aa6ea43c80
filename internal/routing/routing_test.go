package routing

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/daisyfold/daisyfold/internal/model"
)

var start = time.Unix(1_000_000, 0)

// targets returns n targets with 8 slots, alternating between zones a and b.
func targets(n int) []model.Target {
	var out []model.Target
	for i := range n {
		zone := model.Zone("ab"[i%2 : i%2+1])
		out = append(out, model.Target{ID: model.TargetID(fmt.Sprint("t", i)), Service: "s", Zone: zone, Slots: 8, MaxConnections: 64})
	}
	return out
}

// TestChooseKeepsLimits guards against more requests on a target than slots and
// connections allow, against targets that are leaving or out of service, against
// other zones while a good target of the own zone fits, and against slots that leak.
func TestChooseKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(Options{Zone: "a", Seed: rapid.Uint64().Draw(t, "seed")})
		list := targets(rapid.IntRange(1, 6).Draw(t, "targets"))
		for i := range list {
			list[i].Slots = rapid.IntRange(1, 8).Draw(t, "slots")
			list[i].MaxConnections = rapid.IntRange(1, 64).Draw(t, "connections")
		}
		hosts := rapid.IntRange(1, 8).Draw(t, "hosts")
		r.Update(list, hosts)
		now := start
		var open []Choice
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				i := rapid.IntRange(0, len(list)-1).Draw(t, "leaving")
				list[i].Leaving = !list[i].Leaving
				r.Update(list, hosts)
			case 1, 2:
				q := Query{Service: "s", Out: map[model.Zone]bool{"b": rapid.Bool().Draw(t, "out")}}
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
			if s.inFlight != 0 || r.services["s"].inFlight != 0 {
				t.Fatalf("target %s: %d requests in flight after all ended", s.target.ID, s.inFlight)
			}
		}
	})
}

func checkChoice(t *rapid.T, r *Router, now time.Time, q Query, hosts int, open []Choice) []Choice {
	anyFits, goodOwn := false, false
	for _, s := range r.targets {
		if fits(now, s, q) {
			anyFits = true
			goodOwn = goodOwn || s.target.Zone == "a" && !s.breaker.open() && s.good(now, r.services["s"].latency)
		}
	}
	c := r.Choose(now, q)
	if c.OK != anyFits {
		t.Fatalf("choice %+v, but a target fits: %v", c, anyFits)
	}
	if !c.OK {
		return open
	}
	used := r.targets[c.Target.ID].inFlight
	if used > c.Target.Slots || used > c.Target.ConnectionsPerHost(hosts) {
		t.Fatalf("%d requests on %+v with %d hosts", used, c.Target, hosts)
	}
	if r.targets[c.Target.ID].leaving(now) || q.Out[c.Target.Zone] {
		t.Fatalf("target %+v is leaving or out of service", c.Target)
	}
	if goodOwn && c.Target.Zone != "a" && c.Reason != ReasonProbe {
		t.Fatalf("target %+v chosen although one of zone a fits", c.Target)
	}
	return append(open, c)
}

// TestFailingFastAttractsNothing guards against a target whose quick failures look
// like low latency, and against a slow target that gets its turn.
func TestFailingFastAttractsNothing(t *testing.T) {
	for _, tc := range []struct {
		name   string
		bad    Result
		atMost int
	}{
		{"failing", Result{Kind: ResultFailed, Latency: time.Millisecond}, 20},
		{"rejecting", Result{Kind: ResultRejected, Latency: time.Millisecond}, 20},
		{"silent", Result{Kind: ResultBroken, Latency: 2 * time.Second}, 20},
		{"slow", Result{Kind: ResultOK, Latency: 250 * time.Millisecond}, 20},
	} {
		r := New(Options{Zone: "a", Seed: 1})
		r.Update(targets(6), 1)
		now, bad := start, 0
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

// TestBreaker guards against a breaker that opens for a busy target, lets more than
// one probe through or closes on a stale success.
func TestBreaker(t *testing.T) {
	var b breaker
	for range breakerLimit - 1 {
		b.observe(start, ResultRejected)
	}
	if b.open() {
		t.Fatal("open after fewer rejections than the limit")
	}
	b.observe(start, ResultFailed)
	if !b.open() || b.admits(start.Add(breakerFirst-1)) || !b.admits(start.Add(breakerFirst)) {
		t.Fatalf("breaker %+v, want open until the first pause is over", b)
	}
	b.observe(start, ResultOK) // sent before it opened
	if !b.begin() || b.admits(start.Add(time.Hour)) {
		t.Fatal("a second probe is admitted")
	}
	b.observe(start.Add(breakerFirst), ResultFailed)
	if b.pause != 2*breakerFirst {
		t.Fatalf("pause %v after a failed probe, want it doubled", b.pause)
	}
	for range breakerProbes {
		b.begin()
		b.observe(start.Add(time.Minute), ResultOK)
	}
	if b.open() {
		t.Fatal("open after the probes succeeded")
	}
}

// TestRetryBudget guards against retries above their share, in any order of calls.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b RetryBudget
		calls, retries := 0, 0
		for _, retry := range rapid.SliceOf(rapid.Bool()).Draw(t, "steps") {
			if !retry {
				b.Call()
				calls++
			} else if b.Spend() {
				retries++
			}
		}
		if float64(retries) > RetryShare*float64(calls) {
			t.Fatalf("%d retries of %d calls", retries, calls)
		}
	})
}

// TestBackoffIsBounded guards against retries without delay or jitter and against
// delays that grow without bound.
func TestBackoffIsBounded(t *testing.T) {
	b := NewBackoff(nil)
	limit := backoffFirst
	for range 20 {
		if d := b.Next(); d < limit/2 || d > limit {
			t.Fatalf("delay %v, want %v to %v", d, limit/2, limit)
		}
		limit = min(2*limit, backoffMax)
	}
}

// TestQueueSheds guards against requests that wait past the point where an answer
// can still arrive, and against unfair order.
func TestQueueSheds(t *testing.T) {
	ticket := func(left time.Duration) *Ticket {
		return NewTicket(Query{Service: "s"}, start, start.Add(left))
	}
	q := Queue{Expected: 100 * time.Millisecond}
	for _, tc := range []struct{ left, wait time.Duration }{
		{10 * time.Second, queueWait},
		{time.Second, 500 * time.Millisecond},
		{150 * time.Millisecond, 50 * time.Millisecond},
	} {
		if got := q.LatestStart(ticket(tc.left)).Sub(start); got != tc.wait {
			t.Errorf("with %v left: waits %v, want %v", tc.left, got, tc.wait)
		}
	}
	if q.Push(ticket(90 * time.Millisecond)) {
		t.Error("a ticket was queued that cannot be answered in time")
	}
	first, late, second := ticket(10*time.Second), ticket(150*time.Millisecond), ticket(10*time.Second)
	for _, k := range []*Ticket{first, late, second} {
		q.Push(k)
	}
	free := 1
	q.Serve(start.Add(60*time.Millisecond), func(Query) Choice {
		free--
		return Choice{OK: free >= 0, Reason: ReasonBusy}
	})
	if first.Waiting() || !late.Waiting() || !second.Waiting() {
		t.Error("the oldest ticket was not served first")
	}
	free = 10
	q.Serve(start.Add(60*time.Millisecond), func(Query) Choice { return Choice{OK: true} })
	if !late.Waiting() || second.Waiting() {
		t.Error("a ticket past its latest start was served")
	}
	for q.Push(ticket(time.Minute)) {
		if q.Len() > queueLength {
			t.Fatalf("%d tickets are queued, want at most %d", q.Len(), queueLength)
		}
	}
}

// TestRateLimits guards against an organisation that uses more than its rate, or
// keeps an old rate after the configuration changed.
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
	if n := allowed(start, 10); n != 10 {
		t.Errorf("%d requests at once, want a burst of 10", n)
	}
	if n := allowed(start.Add(500*time.Millisecond), 10); n != 5 {
		t.Errorf("%d requests after half a second, want 5", n)
	}
	if n := allowed(start.Add(time.Minute), 20); n > 20 {
		t.Errorf("%d requests at the new rate, want at most 20", n)
	}
	if n := allowed(start.Add(time.Minute), 0); n != 100 {
		t.Errorf("%d requests without a bound, want 100", n)
	}
}

// TestServiceLimit guards against more requests of a service than its limit.
func TestServiceLimit(t *testing.T) {
	r := New(Options{Zone: "a"})
	r.Update(targets(2), 1)
	q := Query{Service: "s", MaxInFlight: 3}
	for range 3 {
		if c := r.Choose(start, q); !c.OK {
			t.Fatalf("refused below the limit: %+v", c)
		}
	}
	if c := r.Choose(start, q); c.OK || c.Reason != ReasonBusy {
		t.Errorf("got %+v, want busy at the limit", c)
	}
}

// TestLeastLoaded guards against a comparison with other thresholds or dampening
// than those of the paper.
func TestLeastLoaded(t *testing.T) {
	p := &LeastLoaded{Dampening: 0.5, Reject: 3, Critical: 5}
	r := New(Options{Zone: "a", Policy: p})
	r.Update(targets(1), 1)
	chosen := func(load float64) bool {
		for range 20 { // until the dampened load has reached the sample
			r.ReportLoad(p, func(model.TargetID) float64 { return load })
		}
		c := r.Choose(start, Query{Service: "s"})
		if c.OK {
			r.Done(start, c, Result{Kind: ResultAbandoned})
		}
		return c.OK
	}
	r.ReportLoad(p, func(model.TargetID) float64 { return 4 })
	if got := r.targets["t0"].load.value; got != 2 {
		t.Errorf("load %v after one sample of 4 with dampening 0.5, want 2", got)
	}
	if !chosen(4) || chosen(10) {
		t.Error("want a member above the reject threshold used last, and one above the critical threshold not at all")
	}
}
