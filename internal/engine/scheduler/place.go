package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/health"
	"github.com/daisyfold/daisyfold/internal/engine/plan"
	"github.com/daisyfold/daisyfold/internal/engine/urgency"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// maxReservations limits the number of steps for which resources are reserved.
const maxReservations = 3

// reservationMinUsedFraction is the fraction of the resources in use below which steps
// wait for reservations no longer than maxReservationWait.
const reservationMinUsedFraction = 0.5

const (
	// maxReservationWait limits how long steps wait because of reservations while less
	// than reservationMinUsedFraction of the resources is in use. The platform expects a
	// start within 3 s in that case.
	maxReservationWait = 1500 * time.Millisecond
	// minLiftTime is the shortest time that tasks are assumed to take.
	minLiftTime = 500 * time.Millisecond
	// preferredRackTimeout is the time after which a step no longer waits for its
	// preferred rack.
	preferredRackTimeout = 1500 * time.Millisecond
	// minRackTimeout is the least time that a gang waits for a single rack if it fits on
	// several and less than reservationMinUsedFraction of the resources is in use. While jobs
	// arrive it waits for as long as running on several racks would take more, by its estimate
	// and spreadingCost, but at most for maxRackTimeout. quietTime is the time without new jobs
	// after which it does not.
	minRackTimeout = 1500 * time.Millisecond
	maxRackTimeout = 10 * time.Second
	spreadingCost  = 2
	quietTime      = 5 * time.Second
	// replanInterval is the time between planning passes while steps are waiting.
	replanInterval = 500 * time.Millisecond
)

// readyStep is a step of which tasks may be started.
type readyStep struct {
	job   *job
	step  int
	tasks []int // indexes of the waiting tasks
	// guaranteed reports whether the job is urgent and its organisation needs no more
	// accelerators than it is guaranteed.
	guaranteed bool
	urgency    urgency.Work
	// isPart reports whether further tasks of the step follow as another element of the queue.
	isPart bool
}

// planQueue places the waiting tasks on workers. It does nothing while an append is in
// flight, so that all decisions that result from the events of that time are made
// together.
func (t *term) planQueue(now time.Duration) {
	if t.runWriter.busy || !t.mayOrder() {
		return
	}
	t.needsPlanning = false
	t.nextPlanAt = now + time.Hour
	over := t.organisationsOverGuarantee()
	queue := t.readySteps(now, over)
	if len(queue) == 0 {
		clear(t.underusedSince)
		t.metrics.headroom.Update(0)
		t.recordCaps(nil, nil, now)
		return
	}
	t.nextPlanAt = min(t.nextPlanAt, now+replanInterval)
	rests := t.rests(now)
	snapshots := t.snapshots(now)
	t.beginCapPass(snapshots, now)
	queue = t.orderQueue(queue)
	p := &planningPass{now: now, slowWorkers: t.slowWorkers(now), rests: rests, underusedSince: map[*plan.Snapshot]time.Duration{},
		overGuarantee: over, victimPools: map[victimClass]*victimPool{},
		waiting: map[string]int{}, held: map[string]int{}, full: map[jobStep]bool{}}
	t.updateSuspects(p)
	for service, s := range snapshots {
		t.noteUse(service, s, p)
	}
	for _, q := range queue {
		if s := snapshots[q.job.Service]; s != nil {
			s.Claim(q.request(), q.job.activeClaims(q.step, now))
			t.quota.Promise(q.job.Organisation, q.claimedResources(now))
		}
	}
	headroom := t.headroom(snapshots, p)
	for _, q := range queue {
		s := snapshots[q.job.Service]
		if s == nil {
			continue
		}
		headroom.apply(s, q)
		t.placeStep(s, q, p)
	}
	t.recordCaps(p.waiting, p.held, now)
	t.metrics.planTime.Update(t.Now() - now)
}

// noteUse notes since when a service has been underused.
func (t *term) noteUse(service string, s *plan.Snapshot, p *planningPass) {
	if s.UsedFraction() >= reservationMinUsedFraction {
		delete(t.underusedSince, service)
		return
	}
	if _, known := t.underusedSince[service]; !known {
		t.underusedSince[service] = p.now
	}
	p.underusedSince[s] = t.underusedSince[service]
}

// isUnderused reports whether less than reservationMinUsedFraction of the service is in use.
func (p *planningPass) isUnderused(s *plan.Snapshot) bool {
	_, ok := p.underusedSince[s]
	return ok
}

// snapshots returns a snapshot of the usable workers of each service.
func (t *term) snapshots(now time.Duration) map[string]*plan.Snapshot {
	keys := make([]string, 0, len(t.workers))
	for key, w := range t.workers {
		if t.usable(w, now) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	out := map[string]*plan.Snapshot{}
	for _, key := range keys {
		w := t.workers[key]
		s := out[w.entry.Service]
		if s == nil {
			s = &plan.Snapshot{}
			out[w.entry.Service] = s
		}
		n := w.node()
		n.ProbeOnly, n.Releases = w.resting, w.releases(now)
		s.Nodes = append(s.Nodes, n)
	}
	return out
}

// readySteps returns the steps whose tasks may be placed, in no particular order.
func (t *term) readySteps(now time.Duration, over map[string]bool) []readyStep {
	var queue []readyStep
	wallMS := t.WallClock().UnixMilli()
	for _, j := range t.jobs {
		if !j.active() {
			continue
		}
		for s := range j.state.Steps {
			if due := j.DueMS(s); due > wallMS {
				t.nextPlanAt = min(t.nextPlanAt, now+time.Duration(due-wallMS)*time.Millisecond)
				continue
			}
			if at := j.nextStartAt(s); at > now {
				t.nextPlanAt = min(t.nextPlanAt, at)
				continue
			}
			if !j.state.StepReady(j.Job, s) {
				continue
			}
			if tasks := waitingTasks(j, s); len(tasks) > 0 {
				queue = append(queue, readyStep{job: j, step: s, tasks: tasks, guaranteed: j.Priority == 0 && !over[j.Organisation]})
				if _, known := j.waitingSince[s]; !known {
					j.waitingSince[s] = now
				}
			}
		}
	}
	for i := range queue {
		queue[i].urgency = queue[i].work(now)
	}
	return queue
}

// waitingTasks returns the indexes of a step's tasks that may be placed; for a gang these
// are all of its tasks or none.
func waitingTasks(j *job, step int) []int {
	var tasks []int
	states := j.state.Steps[step].Tasks
	for i := range states {
		if states[i].Phase == work.Waiting {
			tasks = append(tasks, i)
		}
	}
	if j.StepAt(step).Gang && len(tasks) < len(states) {
		return nil
	}
	return tasks
}

// request returns the planning request for the step.
func (q readyStep) request() *plan.Request {
	return &plan.Request{Key: plan.StepKey{Job: q.job.ID, Step: q.step}, Step: q.job.StepAt(q.step), Tasks: len(q.tasks)}
}

// planningPass is the state of one planning pass over the queue.
type planningPass struct {
	now time.Duration
	// slowWorkers get tasks only if no other worker can take them.
	slowWorkers map[string]bool
	// rests holds the workers that rest because runs fail there, by key, and probed those of them
	// that have got a task in this pass.
	rests  map[string]*health.Rest
	probed map[string]bool
	// underusedSince is since when less than reservationMinUsedFraction of a service has been in
	// use; other services are missing.
	underusedSince map[*plan.Snapshot]time.Duration
	// overGuarantee marks organisations whose urgent jobs need more than they are
	// guaranteed.
	overGuarantee map[string]bool
	victimPools   map[victimClass]*victimPool
	// isolated holds the workers that get no tasks of other jobs than the given one, by worker
	// key; nil means of no job at all.
	isolated map[string]*job
	// reservations counts the steps for which resources are reserved.
	reservations int
	// waiting counts the tasks that were not placed, and held those of them that wait for their
	// organisation's cap, by organisation.
	waiting, held map[string]int
	// full holds the steps of which a part could not be placed.
	full map[jobStep]bool
	// ownReleases is the result of releasesByOrganisation, once it is needed.
	ownReleases map[string][]plan.Release
}

// slowWorkers returns the workers whose runs were slow recently.
func (t *term) slowWorkers(now time.Duration) map[string]bool {
	slow := map[string]bool{}
	for key, w := range t.workers {
		if now < w.slowUntil {
			slow[key] = true
		}
	}
	return slow
}

// placeStep places as many of the step's waiting tasks as fit. For the others it requests
// advice, stops runs that must give way, or reserves resources.
func (t *term) placeStep(s *plan.Snapshot, q readyStep, p *planningPass) {
	now := p.now
	if p.full[jobStep{q.job, q.step}] {
		p.waiting[q.job.Organisation] += len(q.tasks)
		return
	}
	step, request := q.job.StepAt(q.step), q.request()
	waited := now - q.job.waitingSince[q.step]
	s.ReleaseClaims(request, q.job.activeClaims(q.step, now))
	t.quota.Unpromise(q.job.Organisation, q.claimedResources(now))
	room := t.roomInCap(s, q, p)
	if room == 0 && !q.mayPreempt() {
		p.full[jobStep{q.job, q.step}] = true
		t.hold(q, p)
		return
	}
	needsAdvice := t.needsAdvice(q.job)
	if needsAdvice {
		request.Allowed = t.workersNotDenied(s, q)
	}
	if !s.FitsWhenEmpty(request) || (waited > preferredRackTimeout && (step.PreferredRack != "" || (step.Gang && !s.FitsEventually(request)))) {
		request.AnyRack = true
	}
	if needsAdvice {
		request.Allowed = t.workersWithTicket(q.job, q.step, now)
	}
	if p.isUnderused(s) && min(waited, now-p.underusedSince[s]) > maxReservationWait {
		s.ReleaseReservations()
	}
	var nodes []*plan.Node
	if room > 0 {
		request.Tasks = room
		nodes = t.placeInRoom(s, q, request, waited, p)
	}
	if len(nodes) > 0 {
		p.noteProbes(nodes)
		t.assign(q, nodes, now)
		if q.job.hasSuspects(q.step) {
			for _, n := range nodes {
				p.isolate(t.workers[n.Key], q.job)
			}
		}
		q.job.consumeClaims(q.step, nodes)
	}
	if len(nodes) == len(q.tasks) && q.isPart {
		return
	}
	if len(nodes) == len(q.tasks) {
		delete(q.job.waitingSince, q.step)
		delete(q.job.spreadableSince, q.step)
		delete(q.job.claims, q.step)
		return
	}
	p.full[jobStep{q.job, q.step}] = true
	t.makeRoom(s, q, request, len(nodes), room, p)
}

// placeInRoom places as many tasks of the request as fit.
func (t *term) placeInRoom(s *plan.Snapshot, q readyStep, request *plan.Request, waited time.Duration, p *planningPass) []*plan.Node {
	exclusions := t.exclusions(s, q, p)
	restore := s.Lift(q.liftTime(waited))
	defer restore()
	nodes := placeExcluding(s, q, request, exclusions)
	if len(nodes) == 0 && t.maySpread(s, q, request, p) {
		request.AnyRack = true
		nodes = placeExcluding(s, q, request, exclusions)
	}
	return append(nodes, t.placeSharing(s, q, len(nodes), request, waited, exclusions)...)
}

// makeRoom requests advice, stops runs that must give way, or reserves resources for the tasks
// that were not placed, given the number of those that were and of those that its organisation's
// cap has room for.
func (t *term) makeRoom(s *plan.Snapshot, q readyStep, request *plan.Request, placed, room int, p *planningPass) {
	unplaced, step := *request, request.Step
	unplaced.Tasks = len(q.tasks) - placed
	p.waiting[q.job.Organisation] += unplaced.Tasks
	inCap := max(room-placed, 0)
	if unplaced.Tasks > inCap {
		p.held[q.job.Organisation] += unplaced.Tasks - inCap
	}
	if inCap == 0 && (!q.mayPreempt() || t.waitsForReservation(q)) {
		return // the rest waits for the cap only
	}
	needsAdvice := t.needsAdvice(q.job)
	if needsAdvice {
		t.requestAdvice(s, q, &unplaced, p.now)
	}
	if step.LatencySensitive && inCap > 0 {
		sharing := unplaced
		sharing.Tasks = inCap
		t.stopBestEffortRuns(s, &sharing)
	}
	// Room that is being freed for the step stays claimed if it can no longer be in time.
	claimed := q.job.activeClaims(q.step, p.now) != nil
	if (claimed || t.stopsFor(q, 0)) && t.preempt(s, q, &unplaced, inCap, p) {
		return
	}
	if inCap == 0 {
		t.reserveInCap(q, p)
	}
	if step.Gang && inCap > 0 && p.reservations < maxReservations {
		p.reservations++
		if needsAdvice {
			unplaced.Allowed = t.workersNotDenied(s, q) // its tickets may still be to come
		}
		s.Reserve(&unplaced)
	}
}

// maySpread reports whether a gang that asks for one rack has waited for it for long enough:
// on several racks it runs slower, but it would wait for as long as other tasks share the
// racks.
func (t *term) maySpread(s *plan.Snapshot, q readyStep, request *plan.Request, p *planningPass) bool {
	if !request.Step.Gang || !request.Step.SameRack || request.AnyRack {
		return false
	}
	spread := *request
	spread.AnyRack = true
	if !p.isUnderused(s) || !s.Fits(&spread) {
		delete(q.job.spreadableSince, q.step)
		return false
	}
	if _, known := q.job.spreadableSince[q.step]; !known {
		q.job.spreadableSince[q.step] = p.now
	}
	return p.now-q.job.spreadableSince[q.step] >= t.rackTimeout(request.Step, p.now)
}

// rackTimeout returns how long a gang waits for a single rack.
func (t *term) rackTimeout(step *work.Step, now time.Duration) time.Duration {
	if now-t.lastJobAt > quietTime {
		return minRackTimeout
	}
	return min(max(spreadingCost*time.Duration(step.EstimateMS)*time.Millisecond, minRackTimeout), maxRackTimeout)
}

// liftTime returns the time from which reservations for others do not concern the step: that of
// its tasks. Long-running tasks wait for reservations no longer than maxReservationWait.
func (q readyStep) liftTime(waited time.Duration) time.Duration {
	step := q.job.StepAt(q.step)
	switch {
	case !step.LongRunning:
		return max(time.Duration(step.EstimateMS)*time.Millisecond, minLiftTime)
	case waited > maxReservationWait:
		return 0
	}
	return longRunningRemaining
}

// placeExcluding places the request without the first set of workers that leaves room for a
// task or a gang.
func placeExcluding(s *plan.Snapshot, q readyStep, request *plan.Request, exclusions []map[string]bool) []*plan.Node {
	for _, excluded := range exclusions {
		s.Exclude(excluded)
		nodes := placePreferringFaster(s, q, request)
		s.RestoreExcluded()
		if len(nodes) > 0 {
			return nodes
		}
	}
	return nil
}

// placePreferringFaster places the request. Urgent gangs are placed on slower workers only
// if they fit nowhere else: their objective leaves little more time than they need.
func placePreferringFaster(s *plan.Snapshot, q readyStep, request *plan.Request) []*plan.Node {
	if q.job.Priority == 0 && request.Step.Gang {
		faster := *request
		faster.AvoidSlower = true
		if nodes := s.Place(&faster); len(nodes) > 0 {
			return nodes
		}
	}
	return s.Place(request)
}

// assign assigns the waiting tasks to the workers in order, and starts them once the
// assignment is recorded.
func (t *term) assign(q readyStep, nodes []*plan.Node, now time.Duration) {
	j, state := q.job, q.job.state
	tasks := q.tasks[:len(nodes)]
	gangRunNumber, step := state.NextRunNumber(q.step, q.tasks), j.StepAt(q.step)
	var runs []*run
	for k, i := range tasks {
		number := gangRunNumber
		if !step.Gang {
			number = state.NextRunNumber(q.step, []int{i})
		}
		w := t.workers[nodes[k].Key]
		task := &state.Steps[q.step].Tasks[i]
		task.Phase, task.RunNumber, task.Worker = work.Placed, number, w.key
		r := &run{
			name: work.RunName{Task: j.TaskName(q.step, i), Number: number},
			job:  j, worker: w, demand: step.Demand,
		}
		w.addRun(r)
		runs = append(runs, r)
	}
	if !state.Started {
		t.metrics.waitTime.Update(time.Duration(t.WallClock().UnixMilli()-j.AcceptedMS) * time.Millisecond)
	}
	state.Started, state.Status = true, work.Running
	if a := j.advice[q.step]; a != nil {
		a.renewals = retry{}
	}
	t.log.Info("placed", zap.String("job", j.ID), zap.Int("step", q.step), zap.Int("tasks", len(tasks)),
		zap.Int("cpu", step.Demand.CPU), zap.Int("accelerators", step.Demand.Accelerators),
		zap.Bool("gang", step.Gang), zap.Bool("saves", step.SavesProgress),
		zap.Int("waiting", len(q.tasks)-len(tasks)), zap.Duration("waited", now-j.waitingSince[q.step]), zap.Int("run", gangRunNumber))
	t.markDirty(j)
	t.afterRecording(func() { t.queueStarts(runs) })
}

// startAll starts runs that were placed together. If any member of a gang cannot be
// started, none is.
func (t *term) startAll(runs []*run) {
	now := t.Now()
	gang := runs[0].step().Gang
	if gang && slices.ContainsFunc(runs, func(r *run) bool { return r.stopping || !t.usable(r.worker, now) }) {
		for _, r := range runs {
			t.requestStop(r)
		}
	}
	for _, r := range runs {
		t.start(r)
	}
}
