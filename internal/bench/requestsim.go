package bench

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/routing"
)

// Shape of the simulated deployment: one service of today's deployments, whose 50
// targets and 8 hosts are spread over 4 zones.
const (
	simZones          = 4
	simHostsPerZone   = 2
	simTargetsPerZone = 3
	simSlots          = 8
	simConnections    = 64
	simService        = 40 * time.Millisecond // mean time on a target
	simSpread         = 0.3                   // sigma of the log-normal service time
	simZoneDelay      = 900 * time.Microsecond
	simFailTime       = time.Millisecond
	simDeadline       = 2 * time.Second
	simWarmUp         = 3 * time.Second
)

// scenario is one way to load and to disturb the deployment.
type scenario struct {
	requests int
	// load is the arrival rate as a share of what all slots can serve.
	load float64
	// skew multiplies the arrivals at the hosts of the first zone.
	skew float64
	// longShare of the requests take longFactor times as long as the others.
	longShare, longFactor float64
	// slow targets take slowFactor times as long; failing ones fail after
	// simFailTime. Both are drawn per seed.
	slow, failing int
	slowFactor    float64
}

// outcome is what one run of a scenario measured.
type outcome struct {
	p99        time.Duration // of all requests; a failed one counts as simDeadline
	throughput float64       // whole answers per second
	calls      int
	retries    int
	failed     int
}

// simTarget is a target that serves at most simSlots requests at once.
type simTarget struct {
	zone    model.Zone
	inUse   int
	factor  float64
	failing bool
}

// simHost is an entry host with the product's routing.
type simHost struct {
	zone    model.Zone
	router  *routing.Router
	queue   routing.Queue
	budget  routing.RetryBudget
	waiting []*simRequest
	rate    float64 // arrivals per second
}

type simRequest struct {
	host    *simHost
	arrived time.Duration
	size    float64
	tried   map[model.TargetID]bool
	delay   func() time.Duration
	ticket  *routing.Waiter
}

// requestSim runs one scenario on virtual time.
type requestSim struct {
	scenario scenario
	random   *rand.Rand
	now      time.Duration
	events   callHeap
	sequence int
	hosts    []*simHost
	targets  map[model.TargetID]*simTarget
	left     int
	measured *hdrhistogram.Histogram
	out      outcome
}

// runRequests runs a scenario with a fresh policy for each host.
func runRequests(seed int64, sc scenario, policy func() routing.Policy) outcome {
	s := &requestSim{
		scenario: sc,
		random:   rand.New(rand.NewPCG(uint64(seed), 17)),
		targets:  map[model.TargetID]*simTarget{},
		left:     sc.requests,
		measured: hdrhistogram.New(1, simDeadline.Microseconds()*2, 3),
	}
	listed := s.addTargets()
	s.addHosts(seed, listed, policy)
	for s.events.Len() > 0 && s.measured.TotalCount() < int64(sc.requests) {
		e := heap.Pop(&s.events).(callEvent)
		s.now = e.at
		e.run()
	}
	s.out.p99 = time.Duration(s.measured.ValueAtQuantile(99)) * time.Microsecond
	s.out.throughput = float64(sc.requests-s.out.failed) / (s.now - simWarmUp).Seconds()
	return s.out
}

func (s *requestSim) addTargets() []model.Target {
	n := simZones * simTargetsPerZone
	odd := s.random.Perm(n)
	var listed []model.Target
	for i := range n {
		t := &simTarget{zone: zoneName(i % simZones), factor: 1}
		id := model.TargetID(fmt.Sprintf("t%02d", i))
		s.targets[id] = t
		listed = append(listed, model.Target{ID: id, Service: "s", Zone: t.zone, Slots: simSlots, MaxConnections: simConnections})
	}
	for i, at := range odd {
		t := s.targets[listed[at].ID]
		switch {
		case i < s.scenario.slow:
			t.factor = s.scenario.slowFactor
		case i < s.scenario.slow+s.scenario.failing:
			t.failing = true
		}
	}
	return listed
}

func zoneName(i int) model.Zone { return model.Zone(fmt.Sprintf("z%d", i)) }

func (s *requestSim) addHosts(seed int64, listed []model.Target, policy func() routing.Policy) {
	hosts := simZones * simHostsPerZone
	total := s.scenario.load * float64(len(listed)*simSlots) / simService.Seconds()
	total /= 1 + s.scenario.longShare*(s.scenario.longFactor-1)
	weight := float64(hosts-simHostsPerZone) + simHostsPerZone*s.scenario.skew
	for i := range hosts {
		h := &simHost{zone: zoneName(i % simZones), rate: total / weight}
		if i%simZones == 0 {
			h.rate *= s.scenario.skew
		}
		p := policy()
		h.router = routing.New(routing.Options{Zone: h.zone, Policy: p, Seed: uint64(seed) + uint64(i)})
		h.router.Update(listed, hosts)
		s.hosts = append(s.hosts, h)
		s.nextArrival(h)
		if p, ok := p.(*routing.LeastLoaded); ok {
			s.report(h, p)
		}
	}
}

// report feeds the targets' load to a least-loaded policy every sample period.
func (s *requestSim) report(h *simHost, p *routing.LeastLoaded) {
	h.router.ReportLoad(p, func(id model.TargetID) float64 { return float64(s.targets[id].inUse) })
	s.after(routing.LoadSamplePeriod, func() { s.report(h, p) })
}

func (s *requestSim) nextArrival(h *simHost) {
	s.after(seconds(s.random.ExpFloat64()/h.rate), func() {
		s.nextArrival(h)
		s.arrive(h)
	})
}

func (s *requestSim) arrive(h *simHost) {
	r := &simRequest{host: h, arrived: s.now, size: 1}
	if s.random.Float64() < s.scenario.longShare {
		r.size = s.scenario.longFactor
	}
	h.budget.RecordCall()
	if s.now >= simWarmUp {
		s.out.calls++
	}
	s.attempt(r)
}

func (s *requestSim) clock() time.Time { return time.Unix(0, 0).Add(s.now) }

// attempt chooses a target as the gate of internal/calls does.
func (s *requestSim) attempt(r *simRequest) {
	h := r.host
	c := routing.Choice{Reason: routing.ReasonAllSlotsUsed}
	query := routing.Query{Service: "s", Exclude: r.tried}
	if h.queue.Len() == 0 {
		c = h.router.Choose(s.clock(), query)
	}
	switch {
	case c.OK:
		s.send(r, c)
	case c.Reason == routing.ReasonAllSlotsUsed:
		s.wait(r, query)
	default:
		s.fail(r)
	}
}

func (s *requestSim) wait(r *simRequest, query routing.Query) {
	h := r.host
	h.queue.ExpectedLatency = h.router.TypicalLatency("s")
	r.ticket = routing.NewWaiter(query, s.clock(), time.Unix(0, 0).Add(r.arrived+simDeadline))
	if !h.queue.Push(r.ticket) {
		s.fail(r)
		return
	}
	h.waiting = append(h.waiting, r)
	s.after(h.queue.LatestStart(r.ticket).Sub(s.clock()), func() {
		if h.queue.Remove(r.ticket) {
			s.fail(r)
		}
	})
}

// serve gives freed slots to waiting requests.
func (s *requestSim) serve(h *simHost) {
	h.queue.Dispatch(s.clock(), func(q routing.Query) routing.Choice { return h.router.Choose(s.clock(), q) })
	rest := h.waiting[:0]
	for _, r := range h.waiting {
		select {
		case c := <-r.ticket.Ready:
			s.send(r, c)
		default:
			if r.ticket.Queued() {
				rest = append(rest, r)
			}
		}
	}
	h.waiting = rest
}

func (s *requestSim) send(r *simRequest, c routing.Choice) {
	t := s.targets[c.Target.ID]
	sent := s.now
	hop := time.Duration(0)
	if t.zone != r.host.zone {
		hop = simZoneDelay
	}
	s.after(hop, func() {
		switch {
		case t.inUse >= simSlots:
			s.after(hop, func() { s.ended(r, c, sent, routing.ResultRejected) })
		case t.failing:
			s.after(simFailTime+hop, func() { s.ended(r, c, sent, routing.ResultFailed) })
		default:
			t.inUse++
			s.after(s.serviceTime(r, t), func() {
				t.inUse--
				s.after(hop, func() { s.ended(r, c, sent, routing.ResultOK) })
			})
		}
	})
}

func (s *requestSim) serviceTime(r *simRequest, t *simTarget) time.Duration {
	spread := math.Exp(s.random.NormFloat64()*simSpread - simSpread*simSpread/2)
	return seconds(simService.Seconds() * t.factor * r.size * spread)
}

func (s *requestSim) ended(r *simRequest, c routing.Choice, sent time.Duration, kind routing.ResultKind) {
	h := r.host
	h.router.Done(s.clock(), c, routing.Result{Kind: kind, Latency: s.now - sent})
	if kind == routing.ResultOK {
		s.finish(r, s.now-r.arrived)
	} else {
		s.retry(r, c.Target.ID)
	}
	s.serve(h)
}

func (s *requestSim) retry(r *simRequest, tried model.TargetID) {
	if r.tried == nil {
		r.tried = map[model.TargetID]bool{}
		r.delay = routing.NewBackoff(s.random).Next
	}
	r.tried[tried] = true
	wait := r.delay()
	if s.now+wait >= r.arrived+simDeadline || !r.host.budget.TakeRetry() {
		s.fail(r)
		return
	}
	if s.now >= simWarmUp {
		s.out.retries++
	}
	s.after(wait, func() { s.attempt(r) })
}

func (s *requestSim) fail(r *simRequest) {
	if r.arrived >= simWarmUp {
		s.out.failed++
	}
	s.finish(r, simDeadline)
}

func (s *requestSim) finish(r *simRequest, took time.Duration) {
	if r.arrived >= simWarmUp {
		_ = s.measured.RecordValue(min(took, simDeadline).Microseconds())
	}
}

// callEvent is something that happens at a virtual time.
type callEvent struct {
	at       time.Duration
	sequence int // orders events of the same time
	run      func()
}

type callHeap []callEvent

func (h callHeap) Len() int { return len(h) }
func (h callHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h callHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *callHeap) Push(x any)   { *h = append(*h, x.(callEvent)) }
func (h *callHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (s *requestSim) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, callEvent{at: s.now + d, sequence: s.sequence, run: run})
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
