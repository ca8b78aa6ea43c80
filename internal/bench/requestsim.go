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

// The simulated deployment: one service of a deployment whose 50 targets and 8 entry hosts
// are spread over 4 zones.
const (
	simZones            = 4
	simHostsPerZone     = 2
	simTargetsPerZone   = 3
	simSlotsPerTarget   = 8
	simMaxConnections   = 64
	simMeanServiceTime  = 40 * time.Millisecond
	simServiceTimeSigma = 0.3 // sigma of the log-normal service time
	simInterZoneDelay   = 900 * time.Microsecond
	simFailureLatency   = time.Millisecond
	simRequestTimeout   = 2 * time.Second
	simWarmUp           = 3 * time.Second
)

// requestScenario is the load and the faults of one run.
type requestScenario struct {
	requests int
	// load is the arrival rate as a share of what all slots can serve.
	load float64
	// skew multiplies the arrival rate at the hosts of the first zone.
	skew float64
	// A share of longShare of the requests takes longFactor times as long as the others.
	longShare, longFactor float64
	// slowTargets and failingTargets are numbers of targets, drawn by the seed. Slow ones
	// take slowFactor times as long; failing ones fail after simFailureLatency.
	slowTargets, failingTargets int
	slowFactor                  float64
}

// requestOutcome is the measurements of one run.
type requestOutcome struct {
	p99        time.Duration // of all requests; a failed one counts as simRequestTimeout
	throughput float64       // successful answers per second
	calls      int
	retries    int
	failed     int
}

// simTarget is a target that serves at most simSlotsPerTarget requests at once.
type simTarget struct {
	zone              model.Zone
	inUse             int
	serviceTimeFactor float64
	failing           bool
}

// simHost is an entry host that routes requests with package routing.
type simHost struct {
	zone        model.Zone
	router      *routing.Router
	queue       routing.Queue
	retryBudget routing.RetryBudget
	waiting     []*simRequest
	arrivalRate float64 // arrivals per second
}

type simRequest struct {
	host              *simHost
	arrivedAt         time.Duration
	serviceTimeFactor float64
	triedTargets      map[model.TargetID]bool
	nextBackoff       func() time.Duration
	waiter            *routing.Waiter
}

// requestSim simulates one scenario in virtual time.
type requestSim struct {
	scenario  requestScenario
	random    *rand.Rand
	now       time.Duration
	events    requestEventHeap
	sequence  int
	hosts     []*simHost
	targets   map[model.TargetID]*simTarget
	remaining int
	latencies *hdrhistogram.Histogram
	outcome   requestOutcome
}

// simulateRequests runs a scenario with a new policy for each host.
func simulateRequests(seed int64, sc requestScenario, policy func() routing.Policy) requestOutcome {
	s := &requestSim{
		scenario:  sc,
		random:    rand.New(rand.NewPCG(uint64(seed), 17)),
		targets:   map[model.TargetID]*simTarget{},
		remaining: sc.requests,
		latencies: hdrhistogram.New(1, simRequestTimeout.Microseconds()*2, 3),
	}
	targets := s.addTargets()
	s.addHosts(seed, targets, policy)
	for s.events.Len() > 0 && s.latencies.TotalCount() < int64(sc.requests) {
		e := heap.Pop(&s.events).(requestEvent)
		s.now = e.at
		e.run()
	}
	s.outcome.p99 = time.Duration(s.latencies.ValueAtQuantile(99)) * time.Microsecond
	s.outcome.throughput = float64(sc.requests-s.outcome.failed) / (s.now - simWarmUp).Seconds()
	return s.outcome
}

// addTargets adds the targets and draws the slow and the failing ones.
func (s *requestSim) addTargets() []model.Target {
	n := simZones * simTargetsPerZone
	order := s.random.Perm(n)
	var listed []model.Target
	for i := range n {
		t := &simTarget{zone: simZoneName(i % simZones), serviceTimeFactor: 1}
		id := model.TargetID(fmt.Sprintf("t%02d", i))
		s.targets[id] = t
		listed = append(listed, model.Target{ID: id, Service: "s", Zone: t.zone, Slots: simSlotsPerTarget, MaxConnections: simMaxConnections})
	}
	for i, target := range order {
		t := s.targets[listed[target].ID]
		switch {
		case i < s.scenario.slowTargets:
			t.serviceTimeFactor = s.scenario.slowFactor
		case i < s.scenario.slowTargets+s.scenario.failingTargets:
			t.failing = true
		}
	}
	return listed
}

func simZoneName(i int) model.Zone { return model.Zone(fmt.Sprintf("z%d", i)) }

// addHosts adds the entry hosts and schedules their first arrivals.
func (s *requestSim) addHosts(seed int64, targets []model.Target, policy func() routing.Policy) {
	hosts := simZones * simHostsPerZone
	totalRate := s.scenario.load * float64(len(targets)*simSlotsPerTarget) / simMeanServiceTime.Seconds()
	totalRate /= 1 + s.scenario.longShare*(s.scenario.longFactor-1)
	totalWeight := float64(hosts-simHostsPerZone) + simHostsPerZone*s.scenario.skew
	for i := range hosts {
		h := &simHost{zone: simZoneName(i % simZones), arrivalRate: totalRate / totalWeight}
		if i%simZones == 0 {
			h.arrivalRate *= s.scenario.skew
		}
		p := policy()
		h.router = routing.New(routing.Options{Zone: h.zone, Policy: p, Seed: uint64(seed) + uint64(i)})
		h.router.Update(targets, hosts)
		s.hosts = append(s.hosts, h)
		s.scheduleArrival(h)
		if p, ok := p.(*routing.LeastLoaded); ok {
			s.reportLoad(h, p)
		}
	}
}

// reportLoad reports the load of the targets to a least-loaded policy in every sample period.
func (s *requestSim) reportLoad(h *simHost, p *routing.LeastLoaded) {
	h.router.ReportLoad(p, func(id model.TargetID) float64 { return float64(s.targets[id].inUse) })
	s.schedule(routing.LoadSamplePeriod, func() { s.reportLoad(h, p) })
}

func (s *requestSim) scheduleArrival(h *simHost) {
	s.schedule(durationOfSeconds(s.random.ExpFloat64()/h.arrivalRate), func() {
		s.scheduleArrival(h)
		s.arrive(h)
	})
}

func (s *requestSim) arrive(h *simHost) {
	r := &simRequest{host: h, arrivedAt: s.now, serviceTimeFactor: 1}
	if s.random.Float64() < s.scenario.longShare {
		r.serviceTimeFactor = s.scenario.longFactor
	}
	h.retryBudget.RecordCall()
	if s.now >= simWarmUp {
		s.outcome.calls++
	}
	s.attempt(r)
}

func (s *requestSim) wallTime() time.Time { return time.Unix(0, 0).Add(s.now) }

// attempt chooses a target as internal/calls does, or queues the request.
func (s *requestSim) attempt(r *simRequest) {
	h := r.host
	c := routing.Choice{Reason: routing.ReasonAllSlotsUsed}
	query := routing.Query{Service: "s", Exclude: r.triedTargets}
	if h.queue.Len() == 0 {
		c = h.router.Choose(s.wallTime(), query)
	}
	switch {
	case c.OK:
		s.send(r, c)
	case c.Reason == routing.ReasonAllSlotsUsed:
		s.enqueue(r, query)
	default:
		s.fail(r)
	}
}

// enqueue queues a request at its host until a slot is free. The request fails if the
// queue is full or its latest start has passed.
func (s *requestSim) enqueue(r *simRequest, query routing.Query) {
	h := r.host
	h.queue.ExpectedLatency = h.router.TypicalLatency("s")
	r.waiter = routing.NewWaiter(query, s.wallTime(), time.Unix(0, 0).Add(r.arrivedAt+simRequestTimeout))
	if !h.queue.Push(r.waiter) {
		s.fail(r)
		return
	}
	h.waiting = append(h.waiting, r)
	s.schedule(h.queue.LatestStart(r.waiter).Sub(s.wallTime()), func() {
		if h.queue.Remove(r.waiter) {
			s.fail(r)
		}
	})
}

// dispatchQueue gives free slots to waiting requests.
func (s *requestSim) dispatchQueue(h *simHost) {
	h.queue.Dispatch(s.wallTime(), func(q routing.Query) routing.Choice { return h.router.Choose(s.wallTime(), q) })
	stillWaiting := h.waiting[:0]
	for _, r := range h.waiting {
		select {
		case c := <-r.waiter.Ready:
			s.send(r, c)
		default:
			if r.waiter.Queued() {
				stillWaiting = append(stillWaiting, r)
			}
		}
	}
	h.waiting = stillWaiting
}

// send sends a request to the chosen target and schedules its result.
func (s *requestSim) send(r *simRequest, c routing.Choice) {
	t := s.targets[c.Target.ID]
	sent := s.now
	networkDelay := time.Duration(0)
	if t.zone != r.host.zone {
		networkDelay = simInterZoneDelay
	}
	s.schedule(networkDelay, func() {
		switch {
		case t.inUse >= simSlotsPerTarget:
			s.schedule(networkDelay, func() { s.handleResult(r, c, sent, routing.ResultRejected) })
		case t.failing:
			s.schedule(simFailureLatency+networkDelay, func() { s.handleResult(r, c, sent, routing.ResultFailed) })
		default:
			t.inUse++
			s.schedule(s.serviceTime(r, t), func() {
				t.inUse--
				s.schedule(networkDelay, func() { s.handleResult(r, c, sent, routing.ResultOK) })
			})
		}
	})
}

// serviceTime draws the time that the target takes for the request.
func (s *requestSim) serviceTime(r *simRequest, t *simTarget) time.Duration {
	spread := math.Exp(s.random.NormFloat64()*simServiceTimeSigma - simServiceTimeSigma*simServiceTimeSigma/2)
	return durationOfSeconds(simMeanServiceTime.Seconds() * t.serviceTimeFactor * r.serviceTimeFactor * spread)
}

func (s *requestSim) handleResult(r *simRequest, c routing.Choice, sent time.Duration, kind routing.ResultKind) {
	h := r.host
	h.router.Done(s.wallTime(), c, routing.Result{Kind: kind, Latency: s.now - sent})
	if kind == routing.ResultOK {
		s.recordLatency(r, s.now-r.arrivedAt)
	} else {
		s.retry(r, c.Target.ID)
	}
	s.dispatchQueue(h)
}

// retry schedules the next attempt, or fails the request if its time or the retry budget
// is used up.
func (s *requestSim) retry(r *simRequest, tried model.TargetID) {
	if r.triedTargets == nil {
		r.triedTargets = map[model.TargetID]bool{}
		r.nextBackoff = routing.NewBackoff(s.random).Next
	}
	r.triedTargets[tried] = true
	backoff := r.nextBackoff()
	if s.now+backoff >= r.arrivedAt+simRequestTimeout || !r.host.retryBudget.TakeRetry() {
		s.fail(r)
		return
	}
	if s.now >= simWarmUp {
		s.outcome.retries++
	}
	s.schedule(backoff, func() { s.attempt(r) })
}

func (s *requestSim) fail(r *simRequest) {
	if r.arrivedAt >= simWarmUp {
		s.outcome.failed++
	}
	s.recordLatency(r, simRequestTimeout)
}

func (s *requestSim) recordLatency(r *simRequest, latency time.Duration) {
	if r.arrivedAt >= simWarmUp {
		_ = s.latencies.RecordValue(min(latency, simRequestTimeout).Microseconds())
	}
}

// requestEvent is a function that runs at a virtual time.
type requestEvent struct {
	at       time.Duration
	sequence int // order of events with the same time
	run      func()
}

type requestEventHeap []requestEvent

func (h requestEventHeap) Len() int { return len(h) }
func (h requestEventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h requestEventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *requestEventHeap) Push(x any)   { *h = append(*h, x.(requestEvent)) }
func (h *requestEventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// schedule calls run after the delay.
func (s *requestSim) schedule(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, requestEvent{at: s.now + delay, sequence: s.sequence, run: run})
}

func durationOfSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
