package planner

import (
	"time"

	"github.com/daisyfold/daisyfold/internal/guarantee"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/placement"
	"github.com/daisyfold/daisyfold/internal/queue"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// planning is the state of one call of Decide.
type planning struct {
	snap      *Snapshot
	out       *Plan
	table     *topology.Table
	running   int // the first gangs of the table run; later ones are new
	book      *guarantee.Book
	estimates *queue.Estimates
	shares    *queue.Shares
	orgs      map[model.Organisation]*Organisation
	used      map[model.Organisation]int // accelerators in the whole deployment
	lefts     []time.Duration            // by running gang, -1 until computed
	fixed     map[int]bool               // new gangs that must not be preempted
	stopping  map[int]bool               // gangs that stop already or in this plan
	held      []topology.Mask            // promised to jobs that wait for victims
	head      *queue.Item                // the first gang that does not fit
	reserved  []topology.Mask            // for the head gang, nil without one
	promised  []topology.Mask            // to jobs that can have them soon
	promises  map[*model.Job][]topology.Mask
	shadow    time.Duration // when the head gang can start
	decided   map[*model.Job]bool
	failed    map[attemptKey]bool
}

// attemptKey names a search that failed. Free resources only shrink during a plan, so
// the same search fails again.
type attemptKey struct {
	kind   searchKind
	org    model.Organisation
	tasks  int
	task   model.Resources
	within model.Level
	// priority and aged decide whom the job may preempt.
	priority model.Priority
	aged     bool
	pinned   bool
	backfill bool
}

type searchKind int

const (
	searchFree searchKind = iota
	searchPreempt
	searchGuaranteed
)

// Decide returns what to start and what to preempt on one shard. It is a pure function
// of the snapshot.
func Decide(s *Snapshot) *Plan {
	p := newPlanning(s)
	p.out.Findings = p.book.Findings(s.Shard)
	if !s.ZoneInService {
		for _, j := range s.Waiting {
			p.reason(j, model.ReasonZoneOutOfService, "the availability zone is out of service")
		}
		return p.out
	}
	items := p.admit()
	p.passUrgent(items)
	p.passLarge(items)
	p.passGuaranteed(items)
	p.passSpare(items)
	return p.out
}

func newPlanning(s *Snapshot) *planning {
	p := &planning{
		snap: s, out: &Plan{}, table: topology.New(s.Workers, s.Running), running: len(s.Running),
		estimates: queue.NewEstimates(s.History), orgs: make(map[model.Organisation]*Organisation),
		used: make(map[model.Organisation]int), stopping: make(map[int]bool), fixed: make(map[int]bool),
		held: make([]topology.Mask, len(s.Workers)), promised: make([]topology.Mask, len(s.Workers)),
		promises: make(map[*model.Job][]topology.Mask),
		decided:  make(map[*model.Job]bool), failed: make(map[attemptKey]bool),
	}
	p.book = p.newBook(nil)
	p.lefts = make([]time.Duration, p.running)
	weights := make(map[model.Organisation]int, len(s.Organisations))
	for i := range s.Organisations {
		o := &s.Organisations[i]
		p.orgs[o.Name] = o
		p.used[o.Name] = o.UsedElsewhere
		weights[o.Name] = o.Weight
	}
	p.shares = queue.NewShares(weights)
	for id := range s.Running {
		p.countRunning(id, &s.Running[id])
	}
	return p
}

func (p *planning) countRunning(id int, r *model.Placement) {
	n := accelerators(r)
	p.lefts[id] = -1
	p.used[r.Job.Organisation] += n
	p.shares.Charge(r.Job.Organisation, max(n, 1))
	if p.snap.Stopping[r.Job] {
		p.stopping[id] = true
	}
}

func accelerators(r *model.Placement) int {
	n := 0
	for i := range r.Members {
		n += len(r.Members[i].Accelerators)
	}
	return n
}

func (p *planning) newBook(extra *model.Placement) *guarantee.Book {
	o := guarantee.Options{Extra: extra, Pinned: p.pinned}
	if p.book != nil {
		o.Previous = p.book
		o.First, o.Lost, o.Uncovered = p.book.Strategy(), p.book.Lost(), p.book.Uncovered()
	}
	return guarantee.NewBook(p.table, p.snap.Guarantees, o)
}

// pinned reports whether a gang must not be preempted.
func (p *planning) pinned(gang int) bool {
	return p.fixed[gang] || p.snap.Pinned[p.table.Gangs[gang].Job]
}

func (p *planning) reason(j *model.Job, code model.ReasonCode, detail string) {
	p.decided[j] = true
	p.out.Reasons = append(p.out.Reasons, model.Reason{
		Job: j.Spec.Key, Code: code, Detail: detail, UnixMS: p.snap.Now.UnixMilli(),
	})
}

// admit rates the jobs that could start and gives reasons for the others.
func (p *planning) admit() []*queue.Item {
	limits := p.snap.Limits
	if limits == nil {
		limits = NewLimits(p.snap.Workers)
	}
	items := make([]*queue.Item, 0, len(p.snap.Waiting))
	for _, j := range p.snap.Waiting {
		if dependency, blocked := p.snap.Blocked[j.Spec.Service]; blocked {
			p.reason(j, model.ReasonDependencyUnavailable, "service "+string(dependency)+" is unavailable")
			continue
		}
		if err := limits.Check(&j.Spec); err != nil {
			p.reason(j, model.ReasonCanNeverRun, err.Error())
			continue
		}
		items = append(items, queue.NewItem(j, p.snap.Now, p.estimates))
	}
	return items
}

// passUrgent places urgent jobs before all others.
func (p *planning) passUrgent(items []*queue.Item) {
	var urgent []*queue.Item
	for _, it := range items {
		if it.Priority == model.PriorityUrgent {
			urgent = append(urgent, it)
		}
	}
	order := queue.NewOrder(urgent, p.shares)
	for it := order.Next(); it != nil; it = order.Next() {
		if p.overQuota(it) || p.placeGuaranteed(it) {
			continue
		}
		p.placeSpare(it)
	}
}

// passGuaranteed places jobs of organisations whose guarantee is not in use. It comes
// before the spare pass, because reclaimed work returns to the queue and would
// otherwise take its place back.
func (p *planning) passGuaranteed(items []*queue.Item) {
	var entitled []*queue.Item
	open := make(map[model.Organisation]int)
	for _, it := range items {
		org := it.Job.Spec.Key.Organisation
		if p.decided[it.Job] || it.Job.Spec.Task.Accelerators == 0 {
			continue
		}
		if _, known := open[org]; !known {
			open[org] = p.book.Open(org)
		}
		if open[org] >= it.Job.Spec.Accelerators() {
			entitled = append(entitled, it)
		}
	}
	order := queue.NewOrder(entitled, p.shares)
	for it := order.Next(); it != nil; it = order.Next() {
		if !p.exceedsQuota(it) {
			p.placeGuaranteed(it)
		}
	}
}

// passSpare places the remaining jobs on spare capacity.
func (p *planning) passSpare(items []*queue.Item) {
	var rest []*queue.Item
	for _, it := range items {
		if !p.decided[it.Job] {
			rest = append(rest, it)
		}
	}
	order := queue.NewOrder(rest, p.shares)
	for it := order.Next(); it != nil; it = order.Next() {
		if !p.overQuota(it) {
			p.placeSpare(it)
		}
	}
}

func (p *planning) exceedsQuota(it *queue.Item) bool {
	o := p.orgs[it.Job.Spec.Key.Organisation]
	if o == nil || o.QuotaAccelerators == 0 {
		return false
	}
	return p.used[o.Name]+it.Job.Spec.Accelerators() > o.QuotaAccelerators
}

// overQuota gives the reason for a job that its organisation's quota holds back.
func (p *planning) overQuota(it *queue.Item) bool {
	if !p.exceedsQuota(it) {
		return false
	}
	p.reason(it.Job, model.ReasonQuotaReached, "the organisation's quota of accelerators is in use")
	return true
}

// accept starts a job, or preempts the gangs in its way and keeps the place for it.
func (p *planning) accept(it *queue.Item, found *placement.Result, guaranteed bool) {
	p.acceptAs(it, found, guaranteed, model.ReasonPreempted)
}

// acceptAs is accept with the reason code for the gangs that must stop.
func (p *planning) acceptAs(it *queue.Item, found *placement.Result, guaranteed bool, code model.ReasonCode) {
	spec := &it.Job.Spec
	start := model.Placement{
		Job: spec.Key, Attempt: it.Job.Attempt + 1, Shard: p.snap.Shard, Members: found.Members,
		Guaranteed: guaranteed, Priority: spec.Priority, Class: spec.Class(),
	}
	gang := p.table.Add(&start)
	p.fixed[gang] = spec.NonRepeatable
	p.used[spec.Key.Organisation] += spec.Accelerators()
	p.shares.Charge(spec.Key.Organisation, max(spec.Accelerators(), 1))
	if guaranteed || spec.NonRepeatable || len(found.Clear) > 0 {
		p.book = p.newBook(nil)
	}
	if len(found.Clear) == 0 {
		p.out.Starts = append(p.out.Starts, start)
		p.reason(it.Job, model.ReasonPlaced, "")
		return
	}
	p.held = union(p.held, p.masks(found.Members))
	p.reason(it.Job, model.ReasonPreempting, "waits for preempted work to stop")
	for _, gang := range found.Clear {
		p.preempt(gang, spec.Key, code)
	}
}

func (p *planning) preempt(gang int, by model.JobKey, code model.ReasonCode) {
	if p.stopping[gang] {
		return
	}
	p.stopping[gang] = true
	g := &p.table.Gangs[gang]
	detail := "makes room for a waiting gang"
	if code != model.ReasonDefragmentation {
		detail = "for " + by.String()
	}
	p.out.Preempt = append(p.out.Preempt, Preemption{
		Job: g.Job, Attempt: g.Attempt, Checkpoint: true, For: by, Code: code,
	})
	p.out.Reasons = append(p.out.Reasons, model.Reason{
		Job: g.Job, Code: code, Detail: detail, UnixMS: p.snap.Now.UnixMilli(),
	})
}
