package planner

import (
	"time"

	"github.com/daisyfold/daisyfold/internal/guarantee"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/placement"
	"github.com/daisyfold/daisyfold/internal/queue"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// planState is the state of one call of Decide.
type planState struct {
	snapshot             *Snapshot
	plan                 *Plan
	table                *topology.AllocationTable
	runningCount         int // table.Gangs starts with the running gangs; later ones are placed by this plan
	guarantees           *guarantee.State
	estimates            *queue.RunTimeEstimates
	shares               *queue.FairShares
	orgs                 map[model.Organisation]*Organisation
	used                 map[model.Organisation]int // accelerators in use in the whole deployment
	remainingByGang      []time.Duration            // by running gang; -1 until computed
	nonPreemptibleStarts map[int]bool               // gangs placed by this plan that must not be preempted
	stopping             map[int]bool               // gangs that are already stopping or that this plan preempts
	heldForPreemptors    []topology.Mask            // held for jobs whose victims are stopping
	headGang             *queue.Item                // first large gang that does not fit
	headReservation      []topology.Mask            // accelerators reserved for headGang, or nil
	promised             []topology.Mask            // promised to jobs that can start once stopping gangs have stopped
	promisedByJob        map[*model.Job][]topology.Mask
	shadowTime           time.Duration       // time from now until headGang can start
	decided              map[*model.Job]bool // jobs with a reason in this plan
	failedSearches       map[searchKey]bool
}

// searchKey identifies placement searches with the same outcome. Free resources only
// shrink during a plan, so a search that failed once is not repeated.
type searchKey struct {
	kind   searchKind
	org    model.Organisation
	tasks  int
	task   model.Resources
	within model.Level
	// priority and aged determine which gangs the job may preempt.
	priority       model.Priority
	aged           bool
	nonPreemptible bool
	backfill       bool
}

// searchKind is the kind of resources that a placement search may use.
type searchKind int

const (
	searchFree       searchKind = iota // free resources
	searchPreempt                      // also those of gangs that the job may preempt
	searchGuaranteed                   // those of the organisation's guarantee
)

// Decide returns which jobs to start and which to preempt on one shard. It is a pure
// function of the snapshot.
func Decide(s *Snapshot) *Plan {
	p := newPlanState(s)
	p.plan.Findings = p.guarantees.Findings(s.Shard)
	if !s.ZoneInService {
		for _, j := range s.Waiting {
			p.addReason(j, model.ReasonZoneOutOfService, "the availability zone is out of service")
		}
		return p.plan
	}
	items := p.schedulableItems()
	p.placeUrgentJobs(items)
	p.reserveForLargeGangs(items)
	p.placeGuaranteedJobs(items)
	p.placeRemainingJobs(items)
	return p.plan
}

func newPlanState(s *Snapshot) *planState {
	p := &planState{
		snapshot: s, plan: &Plan{}, table: topology.New(s.Workers, s.Running), runningCount: len(s.Running),
		estimates: queue.NewRunTimeEstimates(s.History), orgs: make(map[model.Organisation]*Organisation),
		used: make(map[model.Organisation]int), stopping: make(map[int]bool), nonPreemptibleStarts: make(map[int]bool),
		heldForPreemptors: make([]topology.Mask, len(s.Workers)), promised: make([]topology.Mask, len(s.Workers)),
		promisedByJob: make(map[*model.Job][]topology.Mask),
		decided:       make(map[*model.Job]bool), failedSearches: make(map[searchKey]bool),
	}
	p.guarantees = p.newGuaranteeState(nil)
	p.remainingByGang = make([]time.Duration, p.runningCount)
	weights := make(map[model.Organisation]int, len(s.Organisations))
	for i := range s.Organisations {
		o := &s.Organisations[i]
		p.orgs[o.Name] = o
		p.used[o.Name] = o.UsedInOtherShards
		weights[o.Name] = o.Weight
	}
	p.shares = queue.NewFairShares(weights)
	for gang := range s.Running {
		p.addRunning(gang, &s.Running[gang])
	}
	return p
}

// addRunning accounts for a running attempt. gang is its index in table.Gangs.
func (p *planState) addRunning(gang int, r *model.Placement) {
	n := accelerators(r)
	p.remainingByGang[gang] = -1
	p.used[r.Job.Organisation] += n
	p.shares.AddUse(r.Job.Organisation, max(n, 1))
	if p.snapshot.Stopping[r.Job] {
		p.stopping[gang] = true
	}
}

// accelerators returns the number of accelerators that a placement holds.
func accelerators(p *model.Placement) int {
	n := 0
	for i := range p.Members {
		n += len(p.Members[i].Accelerators)
	}
	return n
}

// newGuaranteeState returns the state of the guarantees for the present table and an
// additional placement, which may be nil.
func (p *planState) newGuaranteeState(extra *model.Placement) *guarantee.State {
	o := guarantee.Options{Extra: extra, NonPreemptible: p.nonPreemptible}
	if p.guarantees != nil {
		o.Previous = p.guarantees
		o.FirstStrategy, o.AcceptableShortfall, o.AcceptableUncovered = p.guarantees.Strategy(), p.guarantees.Shortfall(), p.guarantees.Uncovered()
	}
	return guarantee.NewState(p.table, p.snapshot.Guarantees, o)
}

// nonPreemptible reports whether a gang must not be preempted.
func (p *planState) nonPreemptible(gang int) bool {
	return p.nonPreemptibleStarts[gang] || p.snapshot.NonPreemptible[p.table.Gangs[gang].Job]
}

// addReason records the outcome for a waiting job and marks the job as decided.
func (p *planState) addReason(j *model.Job, code model.ReasonCode, detail string) {
	p.decided[j] = true
	p.plan.Reasons = append(p.plan.Reasons, model.Reason{
		Job: j.Spec.Key, Code: code, Detail: detail, UnixMS: p.snapshot.Now.UnixMilli(),
	})
}

// schedulableItems returns the queue items of the waiting jobs that could start, and adds
// a reason for each of the others.
func (p *planState) schedulableItems() []*queue.Item {
	limits := p.snapshot.Limits
	if limits == nil {
		limits = NewCapacityLimits(p.snapshot.Workers)
	}
	items := make([]*queue.Item, 0, len(p.snapshot.Waiting))
	for _, j := range p.snapshot.Waiting {
		if dependency, blocked := p.snapshot.UnavailableDependency[j.Spec.Service]; blocked {
			p.addReason(j, model.ReasonDependencyUnavailable, "service "+string(dependency)+" is unavailable")
			continue
		}
		if err := limits.Check(&j.Spec); err != nil {
			p.addReason(j, model.ReasonCanNeverRun, err.Error())
			continue
		}
		items = append(items, queue.NewItem(j, p.snapshot.Now, p.estimates))
	}
	return items
}

// placeUrgentJobs places urgent jobs. It runs before all other jobs are placed.
func (p *planState) placeUrgentJobs(items []*queue.Item) {
	var urgent []*queue.Item
	for _, item := range items {
		if item.Priority == model.PriorityUrgent {
			urgent = append(urgent, item)
		}
	}
	order := queue.NewOrder(urgent, p.shares)
	for item := order.Next(); item != nil; item = order.Next() {
		if p.rejectOverQuota(item) || p.placeGuaranteed(item) {
			continue
		}
		p.placeSpare(item)
	}
}

// placeGuaranteedJobs places jobs of organisations that do not use their whole guarantee.
// It runs before placeRemainingJobs, because preempted jobs return to the queue and would
// otherwise take the reclaimed resources again.
func (p *planState) placeGuaranteedJobs(items []*queue.Item) {
	var entitled []*queue.Item
	unused := make(map[model.Organisation]int)
	for _, item := range items {
		org := item.Job.Spec.Key.Organisation
		if p.decided[item.Job] || item.Job.Spec.Task.Accelerators == 0 {
			continue
		}
		if _, known := unused[org]; !known {
			unused[org] = p.guarantees.UnusedAccelerators(org)
		}
		if unused[org] >= item.Job.Spec.Accelerators() {
			entitled = append(entitled, item)
		}
	}
	order := queue.NewOrder(entitled, p.shares)
	for item := order.Next(); item != nil; item = order.Next() {
		if !p.exceedsQuota(item) {
			p.placeGuaranteed(item)
		}
	}
}

// placeRemainingJobs places the remaining jobs on spare capacity.
func (p *planState) placeRemainingJobs(items []*queue.Item) {
	var remaining []*queue.Item
	for _, item := range items {
		if !p.decided[item.Job] {
			remaining = append(remaining, item)
		}
	}
	order := queue.NewOrder(remaining, p.shares)
	for item := order.Next(); item != nil; item = order.Next() {
		if !p.rejectOverQuota(item) {
			p.placeSpare(item)
		}
	}
}

// exceedsQuota reports whether the job would exceed its organisation's quota.
func (p *planState) exceedsQuota(item *queue.Item) bool {
	o := p.orgs[item.Job.Spec.Key.Organisation]
	if o == nil || o.QuotaAccelerators == 0 {
		return false
	}
	return p.used[o.Name]+item.Job.Spec.Accelerators() > o.QuotaAccelerators
}

// rejectOverQuota adds a reason for a job that would exceed its organisation's quota, and
// reports whether it did.
func (p *planState) rejectOverQuota(item *queue.Item) bool {
	if !p.exceedsQuota(item) {
		return false
	}
	p.addReason(item.Job, model.ReasonQuotaReached, "the organisation's quota of accelerators is in use")
	return true
}

// start starts a job on the resources found, or preempts the victims and holds the
// resources for the job.
func (p *planState) start(item *queue.Item, found *placement.Result, guaranteed bool) {
	p.startWithCode(item, found, guaranteed, model.ReasonPreempted)
}

// startWithCode is like start; code is the reason code for the victims.
func (p *planState) startWithCode(item *queue.Item, found *placement.Result, guaranteed bool, code model.ReasonCode) {
	spec := &item.Job.Spec
	start := model.Placement{
		Job: spec.Key, Attempt: item.Job.Attempt + 1, Shard: p.snapshot.Shard, Members: found.Members,
		Guaranteed: guaranteed, Priority: spec.Priority, Class: spec.Class(),
	}
	gang := p.table.AddGang(&start)
	p.nonPreemptibleStarts[gang] = spec.NonRepeatable
	p.used[spec.Key.Organisation] += spec.Accelerators()
	p.shares.AddUse(spec.Key.Organisation, max(spec.Accelerators(), 1))
	if guaranteed || spec.NonRepeatable || len(found.Victims) > 0 {
		p.guarantees = p.newGuaranteeState(nil)
	}
	if len(found.Victims) == 0 {
		p.plan.Starts = append(p.plan.Starts, start)
		p.addReason(item.Job, model.ReasonPlaced, "")
		return
	}
	p.heldForPreemptors = union(p.heldForPreemptors, p.memberMasks(found.Members))
	p.addReason(item.Job, model.ReasonPreempting, "waits for preempted work to stop")
	for _, gang := range found.Victims {
		p.preempt(gang, spec.Key, code)
	}
}

// preempt adds the preemption of a gang to the plan unless the gang is already stopping.
func (p *planState) preempt(gang int, forJob model.JobKey, code model.ReasonCode) {
	if p.stopping[gang] {
		return
	}
	p.stopping[gang] = true
	g := &p.table.Gangs[gang]
	detail := "makes room for a waiting gang"
	if code != model.ReasonDefragmentation {
		detail = "for " + forJob.String()
	}
	p.plan.Preemptions = append(p.plan.Preemptions, Preemption{
		Job: g.Job, Attempt: g.Attempt, Checkpoint: true, ForJob: forJob, Code: code,
	})
	p.plan.Reasons = append(p.plan.Reasons, model.Reason{
		Job: g.Job, Code: code, Detail: detail, UnixMS: p.snapshot.Now.UnixMilli(),
	})
}
