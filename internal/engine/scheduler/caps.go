package scheduler

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/manifest"
	"github.com/daisyfold/daisyfold/internal/engine/plan"
	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

const (
	// maxCapStaleness is the staleness of the manifest up to which tasks of organisations with a
	// cap are started: a lower cap must be in force within 2 s in the strictest deployment, and a
	// start reaches its worker within 0.1 s.
	maxCapStaleness = 1900 * time.Millisecond
	// heldQuietTime is the time without a held step after which an organisation counts as no
	// longer held by its cap, so that it is logged at most twice in that time.
	heldQuietTime = 5 * time.Second
)

// capState is what a term knows of caps beside the ledger.
type capState struct {
	manifest *manifest.Manifest // whose limits the ledger has
	// unseen is what runs of jobs that a former owner ended may still occupy, by organisation.
	unseen map[string]work.Resources
	// heldAt is when a step of an organisation was last held by its cap, by organisation. Those
	// that are no longer held are missing.
	heldAt map[string]time.Duration
	// gauges are the metrics by organisation, updated at gaugesAt.
	gauges map[string]organisationGauges
	// waiting and held count the ready tasks that waited after the last planning pass, and those of
	// them that their organisation's cap held, by organisation.
	waiting, held map[string]int
	gaugesAt      time.Duration
}

func newCapState() capState {
	return capState{unseen: map[string]work.Resources{}, heldAt: map[string]time.Duration{}, gauges: map[string]organisationGauges{}}
}

// updateCaps applies the limits of a new version of the manifest to the ledger.
func (t *term) updateCaps() {
	if m := t.Operator.View().Manifest; m != nil && m != t.caps.manifest {
		t.caps.manifest = m
		t.quota.SetManifest(m)
	}
}

// capIsConfirmed reports whether the organisation's cap is known to be in force. While it is not,
// the operators may have lowered it or set one, and none of its tasks is started. A manifest without
// any cap is relied on: there a stale one costs nothing as long as caps are not introduced.
func (t *term) capIsConfirmed(organisation string) bool {
	switch {
	case organisation == "":
		return true
	case t.caps.manifest == nil:
		return false
	case !t.quota.HasCaps():
		return true
	}
	view := t.Operator.View()
	isCurrent := view.Manifest == t.caps.manifest // the ledger has the limits of the newest version
	return isCurrent && view.StalenessKnown && view.Staleness <= maxCapStaleness
}

// exceedsCap reports whether a planned run must not be started because its organisation's cap was
// lowered since, or is not known to be in force.
func (t *term) exceedsCap(r *run) bool {
	return t.quota.Exceeded(r.organisation) || !t.capIsConfirmed(r.organisation)
}

// organisationOf returns the organisation of a task's job, or an empty string if the job is not
// known.
func (t *term) organisationOf(n work.TaskName) string {
	if j := t.jobs[n.Job]; j != nil {
		return j.Organisation
	}
	return ""
}

// byAcceptance returns the ids of jobs in the order in which they were accepted.
func byAcceptance(entries map[string]replica.JobEntry) []string {
	ids := make([]string, 0, len(entries))
	for id := range entries {
		ids = append(ids, id)
	}
	acceptedMS := func(id string) int64 {
		if j := entries[id].Job; j != nil {
			return j.AcceptedMS
		}
		return 0
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Or(cmp.Compare(acceptedMS(a), acceptedMS(b)), cmp.Compare(a, b)) })
	return ids
}

// noteUnseenRuns counts what a job that a former owner ended before it was complete may still have
// running: its record names no runs any more, and a start may be carried out late.
func (t *term) noteUnseenRuns(j *job) {
	status := j.state.Status
	longest := maxOrderDelay + t.maxLeaseDuration()
	if !status.Ended() || status == work.Completed || j.state.EndedMS < t.WallClock().Add(-longest).UnixMilli() {
		return
	}
	for s := range j.StepCount() {
		step := j.StepAt(s)
		t.caps.unseen[j.Organisation] = t.caps.unseen[j.Organisation].Plus(step.Demand.Times(step.Tasks))
	}
}

// updateUnseenRuns limits what may run unseen to the capacity of the workers that have not
// answered yet, until the leases of a former owner have lapsed. Its cost is linear in the number of
// workers, in the first seconds of a term only.
func (t *term) updateUnseenRuns(now time.Duration) {
	if len(t.caps.unseen) == 0 {
		return
	}
	var silent work.Resources
	for _, w := range t.workers {
		if !w.dead && !w.reached {
			silent = silent.Plus(w.entry.Capacity)
		}
	}
	if now >= t.formerLeasesEnd {
		silent = work.Resources{}
	}
	for organisation, r := range t.caps.unseen {
		t.quota.SetUnseen(organisation, work.Resources{
			CPU: min(r.CPU, silent.CPU), MemoryMB: min(r.MemoryMB, silent.MemoryMB), Accelerators: min(r.Accelerators, silent.Accelerators),
		})
	}
	if silent == (work.Resources{}) {
		clear(t.caps.unseen)
	}
}

// beginCapPass prepares the ledger for a planning pass.
func (t *term) beginCapPass(snapshots map[string]*plan.Snapshot, now time.Duration) {
	t.updateUnseenRuns(now)
	t.quota.BeginPass()
	var total work.Resources
	for _, s := range snapshots {
		for _, n := range s.Nodes {
			total = total.Plus(n.Capacity)
		}
	}
	t.quota.SetTotal(total)
}

// orderQueue sorts steps into the order in which they are placed. Where the manifest sets weights,
// steps of the same priority are ordered by whether their jobs are within the rate of their
// organisation, and then by the organisation's share.
func (t *term) orderQueue(queue []readyStep) []readyStep {
	wallMS := t.WallClock().UnixMilli()
	for i := range queue {
		queue[i].urgency.WithinRate = t.quota.WithinRate(queue[i].job.ID)
	}
	slices.SortFunc(queue, func(a, b readyStep) int { return compareReady(a, b, wallMS) })
	queue = t.splitSteps(queue)
	progression := t.quota.Progression()
	for i, q := range queue {
		queue[i].urgency.Share = progression.Next(q.job.Organisation, q.job.StepAt(q.step).Demand.Times(len(q.tasks)))
	}
	slices.SortStableFunc(queue, func(a, b readyStep) int { return compareReady(a, b, wallMS) })
	return queue
}

// maxTurn is the largest share of all workers that a step gets before others have their turn, so
// that wide steps of an organisation do not take what others are due.
const maxTurn = 0.01

// splitSteps splits wide steps of which the tasks start one by one, where the manifest sets weights.
func (t *term) splitSteps(queue []readyStep) []readyStep {
	out := make([]readyStep, 0, len(queue))
	for _, q := range queue {
		n := len(q.tasks)
		if step := q.job.StepAt(q.step); !step.Gang && !q.mayPreempt() {
			n = t.quota.TasksWithin(maxTurn, step.Demand, n)
		}
		for ; len(q.tasks) > n; q.tasks = q.tasks[n:] {
			part := q
			part.tasks, part.isPart = q.tasks[:n], true
			out = append(out, part)
		}
		out = append(out, q)
	}
	return out
}

// claimedResources returns what the step's active claims keep.
func (q readyStep) claimedResources(now time.Duration) work.Resources {
	tasks := 0
	for _, n := range q.job.activeClaims(q.step, now) {
		tasks += n
	}
	return q.job.StepAt(q.step).Demand.Times(tasks)
}

// minTasks returns the least number of the step's waiting tasks that may start.
func (q readyStep) minTasks() int {
	if q.job.StepAt(q.step).Gang {
		return len(q.tasks)
	}
	return 1
}

// mayPreempt reports whether runs may be stopped for the step: for long-running tasks, and for urgent
// ones that are guaranteed or within the rate of their organisation. What it sends beyond that waits
// for free room.
func (q readyStep) mayPreempt() bool {
	urgent := q.job.Priority == 0 && (q.guaranteed || q.urgency.WithinRate)
	return urgent || q.job.StepAt(q.step).LongRunning
}

// roomInCap returns how many of the step's tasks its organisation's cap leaves room for; 0 if a
// gang does not fit. A step that waits for the cap does not wait for workers meanwhile.
func (t *term) roomInCap(s *plan.Snapshot, q readyStep, p *planningPass) int {
	organisation, step := q.job.Organisation, q.job.StepAt(q.step)
	room := 0
	if t.capIsConfirmed(organisation) {
		room = t.quota.Room(organisation, step.Demand, len(q.tasks))
	}
	if room < q.minTasks() {
		q.job.waitingSince[q.step] = p.now
		return 0
	}
	waited := p.now - q.job.waitingSince[q.step]
	if waited > maxReservationWait && p.isUnderused(s) && t.quota.UsesUnderHalf(organisation) {
		return room // the platform expects a start
	}
	beside := t.quota.RoomBesideReservation(organisation, step.Demand, room, q.liftTime(waited))
	if beside < q.minTasks() {
		return 0
	}
	return beside
}

// hold leaves a step waiting for its organisation's cap. It keeps no resources of workers. A gang
// keeps room in the cap, so that smaller tasks of the same organisation cannot starve it.
func (t *term) hold(q readyStep, p *planningPass) {
	delete(q.job.claims, q.step)
	p.waiting[q.job.Organisation] += len(q.tasks)
	p.held[q.job.Organisation] += len(q.tasks)
	t.reserveInCap(q, p)
}

// waitsForReservation reports whether the step fits into its organisation's cap, but not beside what a
// gang has reserved there. Nothing needs to be stopped for it.
func (t *term) waitsForReservation(q readyStep) bool {
	return t.quota.Room(q.job.Organisation, q.job.StepAt(q.step).Demand, len(q.tasks)) >= q.minTasks()
}

// reserveInCap keeps room in the cap for a gang that does not fit into it yet. The first gang of an
// organisation gets it.
func (t *term) reserveInCap(q readyStep, p *planningPass) {
	step, organisation := q.job.StepAt(q.step), q.job.Organisation
	if !step.Gang || t.quota.HasReservation(organisation) || !t.quota.CanEverHold(organisation, step.Demand, len(q.tasks)) {
		return
	}
	if in, ok := t.timeUntilRoom(q, p); ok {
		t.quota.Reserve(organisation, step.Demand.Times(len(q.tasks)), in)
	}
}

// timeUntilRoom returns the time until enough runs of the organisation are expected to have ended
// for a gang to fit into the cap.
func (t *term) timeUntilRoom(q readyStep, p *planningPass) (time.Duration, bool) {
	if p.ownReleases == nil {
		p.ownReleases = t.releasesByOrganisation(p.now)
	}
	short := t.quota.Shortfall(q.job.Organisation, q.job.StepAt(q.step).Demand, len(q.tasks))
	for _, r := range p.ownReleases[q.job.Organisation] {
		if short = short.Minus(r.Resources); short.Fits(work.Resources{}) {
			return r.In, r.In < longRunningRemaining
		}
	}
	return 0, short.Fits(work.Resources{})
}

// releasesByOrganisation returns when the resources of each organisation's runs that are not
// stopping are expected to be free, in ascending order of the time. Its cost is that of
// snapshots; it is called at most once a pass.
func (t *term) releasesByOrganisation(now time.Duration) map[string][]plan.Release {
	out := map[string][]plan.Release{}
	for _, w := range t.workers {
		for _, r := range w.runs {
			if !r.stopping {
				out[r.organisation] = append(out[r.organisation], r.release(now))
			}
		}
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b plan.Release) int { return cmp.Compare(a.In, b.In) })
	}
	return out
}

// recordCaps notes the result of a planning pass and logs which organisations are held by their cap
// from now on.
func (t *term) recordCaps(waiting, held map[string]int, now time.Duration) {
	t.caps.waiting, t.caps.held = waiting, held
	for organisation, tasks := range held {
		if _, known := t.caps.heldAt[organisation]; !known {
			u := t.quota.Usage(organisation)
			t.log.Info("organisation is held by its cap", zap.String("organisation", organisation), zap.Int("waiting_tasks", tasks),
				zap.Any("used", u.Used), zap.Any("cap", u.Organisation.Cap), zap.Bool("confirmed", t.capIsConfirmed(organisation)))
		}
		t.caps.heldAt[organisation] = now
	}
}

// checkCaps updates the metrics and logs which organisations are no longer held by their cap.
func (t *term) checkCaps(now time.Duration) {
	t.updateOrganisationGauges(now)
	for organisation, at := range t.caps.heldAt {
		if now-at >= heldQuietTime {
			delete(t.caps.heldAt, organisation)
			t.log.Info("organisation is no longer held by its cap", zap.String("organisation", organisation))
		}
	}
}
