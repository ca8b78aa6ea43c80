package bench

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/planner"
	"github.com/daisyfold/daisyfold/internal/queue"
	"github.com/daisyfold/daisyfold/internal/reclaim"
)

const (
	// startDelay covers hold, journal append, start and confirmation.
	startDelay = 1500 * time.Millisecond
	// restoreDelay is the time to load a checkpoint.
	restoreDelay = 10 * time.Second
	// planInterval is the time between plans while jobs wait.
	planInterval = 2 * time.Minute
)

// policy decides for one zone; it is the planner or the baseline.
type policy func(s *sim, zone int) *planner.Plan

type eventKind int

const (
	eventArrival eventKind = iota
	eventFinish
	eventStopped
	eventZone // the zone in event.zone leaves or returns
	eventTick
)

type event struct {
	at      time.Duration
	kind    eventKind
	job     *simJob
	attempt int
	zone    int
	seq     int
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// zoneState is one zone's worker table.
type zoneState struct {
	name    model.Zone
	workers []model.Worker
	in      bool
	running []*simJob
	dirty   bool
}

// sim is the worker table of one deployment in virtual time.
type sim struct {
	d       *deployment
	decide  policy
	rand    *rand.Rand
	now     time.Duration
	events  eventHeap
	seq     int
	zones   []*zoneState
	waiting []*simJob
	history *queue.History
	all     map[model.JobKey]*simJob
	frag    fragmentation
	until   time.Duration // stop here, 0 for when all jobs ended
	ticking bool
	// oneQueue plans all zones at each change.
	oneQueue bool
	// Counters of broken rules and of lost work.
	partial, overdrafts, preemptions int
	// done is the useful work and capacity the work that the zones in service could
	// do, in accelerator-seconds, from measureFrom on.
	done, capacity float64
	measureFrom    time.Duration
}

func newSim(d *deployment, seed uint64, decide policy) *sim {
	s := &sim{
		d: d, decide: decide, rand: rand.New(rand.NewPCG(seed, 2)),
		history: &queue.History{}, all: make(map[model.JobKey]*simJob),
	}
	for i, name := range d.zones {
		s.zones = append(s.zones, &zoneState{name: name, workers: d.workers(i), in: true})
	}
	return s
}

func (s *sim) add(jobs []*simJob) {
	for _, j := range jobs {
		s.all[j.job.Spec.Key] = j
		s.at(event{at: j.arrival, kind: eventArrival, job: j})
	}
}

func (s *sim) at(e event) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.events, e)
}

func (s *sim) run() {
	for len(s.events) > 0 && (s.until == 0 || s.events[0].at <= s.until) {
		next := s.events[0].at
		s.advance(next)
		for len(s.events) > 0 && s.events[0].at == next {
			s.handle(heap.Pop(&s.events).(event))
		}
		s.plan()
	}
}

// advance accounts for the time until the next event.
func (s *sim) advance(to time.Duration) {
	seconds := (to - s.now).Seconds()
	if s.now < day {
		s.frag.add(s, seconds)
	}
	if s.now >= s.measureFrom {
		for _, z := range s.zones {
			if !z.in {
				continue
			}
			s.capacity += seconds * float64(len(z.workers)*model.AcceleratorsPerWorker)
			for _, j := range z.running {
				if j.stops == 0 && s.now >= j.started {
					s.done += seconds * float64(j.job.Spec.Accelerators())
				}
			}
		}
	}
	s.now = to
}

func (s *sim) handle(e event) {
	switch e.kind {
	case eventArrival:
		e.job.zone = s.home(e.job)
		s.waiting = append(s.waiting, e.job)
		s.touch(e.job.zone)
	case eventFinish:
		if e.job.running != nil && e.job.job.Attempt == e.attempt && e.job.stops == 0 {
			s.finish(e.job)
		}
	case eventStopped:
		if e.job.running != nil && e.job.job.Attempt == e.attempt {
			s.requeue(e.job)
		}
	case eventZone:
		s.toggle(e.zone)
	case eventTick:
		s.ticking = false
		s.touchAll()
	}
}

// touch marks a zone for planning. The baseline has one queue for all zones.
func (s *sim) touch(zone int) {
	if s.oneQueue {
		s.touchAll()
	}
	s.zones[zone].dirty = true
}

func (s *sim) touchAll() {
	for _, z := range s.zones {
		z.dirty = true
	}
}

// home returns the zone whose planner should place the job.
func (s *sim) home(j *simJob) int {
	loads := make([]planner.ShardLoad, len(s.zones))
	for i, z := range s.zones {
		n := len(z.workers) * model.AcceleratorsPerWorker
		loads[i] = planner.ShardLoad{Shard: model.ShardID{Zone: z.name}, InService: z.in, Accelerators: n, FreeAccelerators: n}
		for _, r := range z.running {
			loads[i].FreeAccelerators -= r.job.Spec.Accelerators()
		}
	}
	for _, w := range s.waiting {
		loads[w.zone].WaitingAccelerators += w.job.Spec.Accelerators()
	}
	return max(planner.ChooseHomeShard(&j.job.Spec, loads), 0)
}

func (s *sim) remove(j *simJob) {
	z := s.zones[j.zone]
	for i, r := range z.running {
		if r == j {
			z.running = append(z.running[:i], z.running[i+1:]...)
			break
		}
	}
	j.running = nil
	j.stops = 0
	s.touch(j.zone)
}

func (s *sim) finish(j *simJob) {
	s.remove(j)
	j.end = s.now
	spec := &j.job.Spec
	s.history.Observe(spec.Class(), queue.JobSize(spec), j.runtime)
}

// requeue puts a stopped job back with the work that its checkpoint kept.
func (s *sim) requeue(j *simJob) {
	s.remove(j)
	j.job.State = model.JobWaiting
	s.waiting = append(s.waiting, j)
}

// toggle takes a zone away or returns it. Its running jobs lose the attempt's work.
func (s *sim) toggle(zone int) {
	z := s.zones[zone]
	z.in = !z.in
	for len(z.running) > 0 {
		s.requeue(z.running[0])
	}
	for _, j := range s.waiting {
		if !s.zones[j.zone].in {
			j.zone = s.home(j)
		}
	}
	s.touchAll()
}

func (s *sim) start(zone int, p model.Placement) {
	j := s.all[p.Job]
	if len(p.Members) != j.job.Spec.Tasks {
		s.partial++
	}
	for i, w := range s.waiting {
		if w == j {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			break
		}
	}
	j.zone = zone
	j.started = s.now + startDelay
	if j.left < j.runtime {
		j.started += restoreDelay
	}
	if j.first < 0 {
		j.first = j.started
	}
	p.StartedUnixMS = millis(j.started)
	j.running = &p
	j.job.Attempt = p.Attempt
	j.job.State = model.JobRunning
	s.zones[zone].running = append(s.zones[zone].running, j)
	s.at(event{at: j.started + j.left, kind: eventFinish, job: j, attempt: p.Attempt})
}

// preempt writes a checkpoint and stops the job within reclaim.MaxStopDuration.
func (s *sim) preempt(v planner.Preemption) {
	j := s.all[v.Job]
	if j.running == nil || j.stops > 0 {
		return
	}
	s.preemptions++
	ran := max(s.now-j.started, 0)
	j.left = max(j.left-ran, time.Second)
	j.job.SavedRunMS += ran.Milliseconds()
	j.stops = s.now + time.Second + time.Duration(s.rand.Float64()*float64(reclaim.MaxStopDuration-time.Second))
	s.at(event{at: j.stops, kind: eventStopped, job: j, attempt: v.Attempt})
}

// plan applies the policy to each zone whose state changed.
func (s *sim) plan() {
	for zone, z := range s.zones {
		if !z.dirty || !z.in {
			continue
		}
		z.dirty = false
		p := s.decide(s, zone)
		for _, start := range p.Starts {
			s.start(zone, start)
		}
		for _, v := range p.Preemptions {
			s.preempt(v)
		}
	}
	s.overdrafts += s.countOverdrafts()
	if len(s.waiting) > 0 && !s.ticking {
		s.ticking = true
		s.at(event{at: s.now + planInterval, kind: eventTick})
	}
}

// countOverdrafts counts organisations whose guaranteed work exceeds its guarantee.
func (s *sim) countOverdrafts() int {
	type place struct {
		zone model.Zone
		org  model.Organisation
	}
	left := make(map[place]int)
	for _, g := range s.d.guarantees {
		left[place{g.Zone, g.Organisation}] += g.ShapeCount * g.Shape.Accelerators()
	}
	n := 0
	for _, z := range s.zones {
		for _, j := range z.running {
			if !j.running.Guaranteed {
				continue
			}
			key := place{z.name, j.running.Job.Organisation}
			if left[key] -= j.job.Spec.Accelerators(); left[key] < 0 {
				n++
			}
		}
	}
	return n
}
