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
	// startDelay covers the hold on the workers, the journal append, the start and its
	// confirmation.
	startDelay = 1500 * time.Millisecond
	// restoreDelay is the time to load a checkpoint.
	restoreDelay = 10 * time.Second
	// planInterval is the time between periodic plans while jobs wait.
	planInterval = 2 * time.Minute
)

// placementPolicy returns the plan for the zone with the given index.
type placementPolicy func(s *jobSim, zone int) *planner.Plan

type eventKind int

const (
	eventArrival eventKind = iota
	eventFinish
	eventStopped
	eventZoneChange // the zone in event.zone goes out of service or returns
	eventPlanTimer
)

type event struct {
	at       time.Duration
	kind     eventKind
	job      *simJob
	attempt  int
	zone     int
	sequence int // order of events with the same time
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// zoneState is the state of one zone of a simulation.
type zoneState struct {
	name      model.Zone
	workers   []model.Worker
	inService bool
	running   []*simJob
	needsPlan bool
}

// jobSim simulates the jobs of one deployment in virtual time.
type jobSim struct {
	deployment    *deployment
	decide        placementPolicy
	rand          *rand.Rand
	now           time.Duration
	events        eventHeap
	sequence      int
	zones         []*zoneState
	waiting       []*simJob
	history       *queue.History
	jobs          map[model.JobKey]*simJob
	fragmentation fragmentation
	endTime       time.Duration // end of the simulation, 0 to run until all jobs ended
	planScheduled bool
	// sharedQueue is set by policies with one queue for all zones; each change then plans all
	// zones.
	sharedQueue bool
	// Gangs started with too few tasks, guarantees exceeded, and jobs preempted.
	partialGangs, guaranteeOverdrafts, preemptions int
	// usefulWork is the work done and availableWork the capacity of the zones in service, in
	// accelerator-seconds, from measureFrom on.
	usefulWork, availableWork float64
	measureFrom               time.Duration
}

func newJobSim(d *deployment, seed uint64, decide placementPolicy) *jobSim {
	s := &jobSim{
		deployment: d, decide: decide, rand: rand.New(rand.NewPCG(seed, 2)),
		history: &queue.History{}, jobs: make(map[model.JobKey]*simJob),
	}
	for i, name := range d.zones {
		s.zones = append(s.zones, &zoneState{name: name, workers: d.zoneWorkers(i), inService: true})
	}
	return s
}

// addJobs schedules the arrivals of jobs.
func (s *jobSim) addJobs(jobs []*simJob) {
	for _, j := range jobs {
		s.jobs[j.job.Spec.Key] = j
		s.schedule(event{at: j.arrival, kind: eventArrival, job: j})
	}
}

func (s *jobSim) schedule(e event) {
	s.sequence++
	e.sequence = s.sequence
	heap.Push(&s.events, e)
}

// run handles events in order of time until none is left or endTime is reached.
func (s *jobSim) run() {
	for len(s.events) > 0 && (s.endTime == 0 || s.events[0].at <= s.endTime) {
		next := s.events[0].at
		s.advance(next)
		for len(s.events) > 0 && s.events[0].at == next {
			s.handle(heap.Pop(&s.events).(event))
		}
		s.plan()
	}
}

// advance moves the virtual time on and accounts for the state that lasted until then.
func (s *jobSim) advance(to time.Duration) {
	seconds := (to - s.now).Seconds()
	if s.now < day {
		s.fragmentation.add(s, seconds)
	}
	if s.now >= s.measureFrom {
		for _, z := range s.zones {
			if !z.inService {
				continue
			}
			s.availableWork += seconds * float64(len(z.workers)*model.AcceleratorsPerWorker)
			for _, j := range z.running {
				if j.stopsAt == 0 && s.now >= j.startedAt {
					s.usefulWork += seconds * float64(j.job.Spec.Accelerators())
				}
			}
		}
	}
	s.now = to
}

func (s *jobSim) handle(e event) {
	switch e.kind {
	case eventArrival:
		e.job.zone = s.homeZone(e.job)
		s.waiting = append(s.waiting, e.job)
		s.markForPlanning(e.job.zone)
	case eventFinish:
		if e.job.placement != nil && e.job.job.Attempt == e.attempt && e.job.stopsAt == 0 {
			s.finish(e.job)
		}
	case eventStopped:
		if e.job.placement != nil && e.job.job.Attempt == e.attempt {
			s.requeue(e.job)
		}
	case eventZoneChange:
		s.toggleZone(e.zone)
	case eventPlanTimer:
		s.planScheduled = false
		s.markAllForPlanning()
	}
}

// markForPlanning marks a zone for the next plan, or all zones with a shared queue.
func (s *jobSim) markForPlanning(zone int) {
	if s.sharedQueue {
		s.markAllForPlanning()
	}
	s.zones[zone].needsPlan = true
}

func (s *jobSim) markAllForPlanning() {
	for _, z := range s.zones {
		z.needsPlan = true
	}
}

// homeZone returns the index of the zone whose planner should place the job.
func (s *jobSim) homeZone(j *simJob) int {
	loads := make([]planner.ShardLoad, len(s.zones))
	for i, z := range s.zones {
		n := len(z.workers) * model.AcceleratorsPerWorker
		loads[i] = planner.ShardLoad{Shard: model.ShardID{Zone: z.name}, InService: z.inService, Accelerators: n, FreeAccelerators: n}
		for _, r := range z.running {
			loads[i].FreeAccelerators -= r.job.Spec.Accelerators()
		}
	}
	for _, w := range s.waiting {
		loads[w.zone].WaitingAccelerators += w.job.Spec.Accelerators()
	}
	return max(planner.ChooseHomeShard(&j.job.Spec, loads), 0)
}

func (s *jobSim) removeRunning(j *simJob) {
	z := s.zones[j.zone]
	for i, r := range z.running {
		if r == j {
			z.running = append(z.running[:i], z.running[i+1:]...)
			break
		}
	}
	j.placement = nil
	j.stopsAt = 0
	s.markForPlanning(j.zone)
}

func (s *jobSim) finish(j *simJob) {
	s.removeRunning(j)
	j.finishedAt = s.now
	spec := &j.job.Spec
	s.history.Observe(spec.Class(), queue.JobSize(spec), j.runTime)
}

// requeue puts a stopped job back into the queue. Only the work up to its last checkpoint
// is saved.
func (s *jobSim) requeue(j *simJob) {
	s.removeRunning(j)
	j.job.State = model.JobWaiting
	s.waiting = append(s.waiting, j)
}

// toggleZone takes a zone out of service or returns it. Its running jobs lose the work of
// their current attempt.
func (s *jobSim) toggleZone(zone int) {
	z := s.zones[zone]
	z.inService = !z.inService
	for len(z.running) > 0 {
		s.requeue(z.running[0])
	}
	for _, j := range s.waiting {
		if !s.zones[j.zone].inService {
			j.zone = s.homeZone(j)
		}
	}
	s.markAllForPlanning()
}

// start starts a waiting job on the placement.
func (s *jobSim) start(zone int, p model.Placement) {
	j := s.jobs[p.Job]
	if len(p.Members) != j.job.Spec.Tasks {
		s.partialGangs++
	}
	for i, w := range s.waiting {
		if w == j {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			break
		}
	}
	j.zone = zone
	j.startedAt = s.now + startDelay
	if j.remaining < j.runTime {
		j.startedAt += restoreDelay
	}
	if j.firstStart < 0 {
		j.firstStart = j.startedAt
	}
	p.StartedUnixMS = unixMilli(j.startedAt)
	j.placement = &p
	j.job.Attempt = p.Attempt
	j.job.State = model.JobRunning
	s.zones[zone].running = append(s.zones[zone].running, j)
	s.schedule(event{at: j.startedAt + j.remaining, kind: eventFinish, job: j, attempt: p.Attempt})
}

// preempt writes a checkpoint and stops the job within reclaim.MaxStopDuration.
func (s *jobSim) preempt(v planner.Preemption) {
	j := s.jobs[v.Job]
	if j.placement == nil || j.stopsAt > 0 {
		return
	}
	s.preemptions++
	ran := max(s.now-j.startedAt, 0)
	j.remaining = max(j.remaining-ran, time.Second)
	j.job.SavedRunMS += ran.Milliseconds()
	j.stopsAt = s.now + time.Second + time.Duration(s.rand.Float64()*float64(reclaim.MaxStopDuration-time.Second))
	s.schedule(event{at: j.stopsAt, kind: eventStopped, job: j, attempt: v.Attempt})
}

// plan applies the policy to each zone whose state changed.
func (s *jobSim) plan() {
	for zone, z := range s.zones {
		if !z.needsPlan || !z.inService {
			continue
		}
		z.needsPlan = false
		p := s.decide(s, zone)
		for _, start := range p.Starts {
			s.start(zone, start)
		}
		for _, v := range p.Preemptions {
			s.preempt(v)
		}
	}
	s.guaranteeOverdrafts += s.countGuaranteeOverdrafts()
	if len(s.waiting) > 0 && !s.planScheduled {
		s.planScheduled = true
		s.schedule(event{at: s.now + planInterval, kind: eventPlanTimer})
	}
}

// countGuaranteeOverdrafts counts the jobs that run as guaranteed beyond the guarantee of
// their organisation in their zone.
func (s *jobSim) countGuaranteeOverdrafts() int {
	type zoneOrganisation struct {
		zone model.Zone
		org  model.Organisation
	}
	remaining := make(map[zoneOrganisation]int)
	for _, g := range s.deployment.guarantees {
		remaining[zoneOrganisation{g.Zone, g.Organisation}] += g.ShapeCount * g.Shape.Accelerators()
	}
	n := 0
	for _, z := range s.zones {
		for _, j := range z.running {
			if !j.placement.Guaranteed {
				continue
			}
			key := zoneOrganisation{z.name, j.placement.Job.Organisation}
			if remaining[key] -= j.job.Spec.Accelerators(); remaining[key] < 0 {
				n++
			}
		}
	}
	return n
}
