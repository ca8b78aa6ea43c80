package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
)

const (
	// starvationBaseWait is the least wait after which a job goes ahead of the
	// discretised queues, whatever its size.
	starvationBaseWait = 2 * time.Hour
	// starvationRunTimeFactor is the multiple of the expected run time that is added
	// to starvationBaseWait, so that long jobs do not overtake short ones after a wait
	// that is short in relation to their run time.
	starvationRunTimeFactor = 2
	// batchPromotionWait is the wait after which a batch job gets normal priority:
	// batch jobs may wait overnight, but not longer.
	batchPromotionWait = 12 * time.Hour
	// minDeadlineSlack is the slack below which a job with a deadline goes ahead of
	// the discretised queues.
	minDeadlineSlack = 10 * time.Minute
)

// Item is a waiting job with the values that determine its place in the order.
type Item struct {
	Job      *model.Job
	Size     int            // accelerators, or tasks of a job without accelerators
	Priority model.Priority // with promotion of batch jobs
	Level    int            // discretised queue, see Level
	Attained time.Duration  // run time of earlier attempts that a checkpoint saved
	Waited   time.Duration  // since acceptance
	// Aged reports whether the job has waited for longer than the starvation bound.
	Aged bool
	// NearDeadline reports whether the job will probably miss its deadline unless it
	// starts soon.
	NearDeadline bool
}

// JobSize returns the gang size that run times are recorded by: the number of
// accelerators, or the number of tasks of a job without accelerators.
func JobSize(s *model.JobSpec) int {
	if n := s.Accelerators(); n > 0 {
		return n
	}
	return s.Tasks
}

// NewItem returns the item of a waiting job.
func NewItem(j *model.Job, now time.Time, e *RunTimeEstimates) *Item {
	item := &Item{
		Job: j, Size: JobSize(&j.Spec), Priority: j.Spec.Priority,
		Attained: time.Duration(j.SavedRunMS) * time.Millisecond,
		Waited:   now.Sub(time.UnixMilli(j.AcceptedUnixMS)),
	}
	expected := e.ExpectedRemaining(j.Spec.Class(), item.Size, item.Attained)
	item.Level = Level(expected)
	item.Aged = item.Waited-item.Attained > starvationBaseWait+starvationRunTimeFactor*expected
	if item.Priority == model.PriorityBatch && item.Waited > batchPromotionWait {
		item.Priority = model.PriorityNormal
	}
	if j.Spec.DeadlineUnixMS > 0 {
		untilDeadline := time.UnixMilli(j.Spec.DeadlineUnixMS).Sub(now)
		conservative, ok := e.ConservativeRemaining(j.Spec.Class(), item.Size, item.Attained)
		if !ok {
			conservative = expected
		}
		item.NearDeadline = untilDeadline > 0 && untilDeadline < conservative+minDeadlineSlack
	}
	return item
}

// tier returns the rank of an item in the order, lower is first. Items of one tier are
// ordered by fair share.
func (item *Item) tier() int {
	firstTier := int(model.PriorityUrgent-item.Priority) * (MaxLevel + 3)
	switch {
	case item.NearDeadline:
		return firstTier
	case item.Aged:
		return firstTier + 1
	default:
		return firstTier + 2 + item.Level
	}
}

// FairShares tracks each organisation's use of accelerators in relation to its weight.
type FairShares struct {
	weightedUse map[model.Organisation]float64 // use divided by weight
	weights     map[model.Organisation]float64
}

// NewFairShares returns shares with the given weights. An organisation without a weight
// has weight 1.
func NewFairShares(weights map[model.Organisation]int) *FairShares {
	s := &FairShares{weightedUse: make(map[model.Organisation]float64), weights: make(map[model.Organisation]float64)}
	for org, w := range weights {
		s.weights[org] = float64(max(w, 1))
	}
	return s
}

// AddUse adds a gang of the given size to an organisation's use.
func (s *FairShares) AddUse(org model.Organisation, size int) {
	weight := s.weights[org]
	if weight == 0 {
		weight = 1
	}
	s.weightedUse[org] += float64(size) / weight
}

// Order iterates over items by tier. Within a tier, the organisation with the least use
// in relation to its weight goes first, and the jobs of an organisation go in order of
// deadline, then acceptance.
type Order struct {
	items     []*Item
	shares    *FairShares
	nextIndex int        // first item that is not in orgQueues yet
	orgQueues []orgQueue // current tier
}

// orgQueue holds one organisation's items of the current tier. Aged items of all
// organisations share the queue with an empty org.
type orgQueue struct {
	org   model.Organisation
	items []*Item
}

// NewOrder returns the order of the items. It sorts the slice in place and keeps it.
func NewOrder(items []*Item, shares *FairShares) *Order {
	slices.SortStableFunc(items, compareItems)
	return &Order{items: items, shares: shares}
}

func compareItems(a, b *Item) int {
	return cmp.Or(
		cmp.Compare(a.tier(), b.tier()),
		cmp.Compare(deadlineKey(a), deadlineKey(b)),
		cmp.Compare(a.Job.AcceptedUnixMS, b.Job.AcceptedUnixMS),
	)
}

// deadlineKey returns the deadline in Unix milliseconds if the item is urgent or near its
// deadline. Other items sort after all deadlines.
func deadlineKey(item *Item) int64 {
	const noDeadline = int64(1) << 62
	if item.Job.Spec.DeadlineUnixMS == 0 || (!item.NearDeadline && item.Priority != model.PriorityUrgent) {
		return noDeadline
	}
	return item.Job.Spec.DeadlineUnixMS
}

// Next returns the next item, or nil at the end.
func (o *Order) Next() *Item {
	if len(o.orgQueues) == 0 && !o.loadNextTier() {
		return nil
	}
	best := 0
	for i := range o.orgQueues {
		if o.shares.weightedUse[o.orgQueues[i].org] < o.shares.weightedUse[o.orgQueues[best].org] {
			best = i
		}
	}
	q := &o.orgQueues[best]
	item := q.items[0]
	q.items = q.items[1:]
	if len(q.items) == 0 {
		o.orgQueues = slices.Delete(o.orgQueues, best, best+1)
	}
	return item
}

// loadNextTier moves the items of the next tier to the organisations' queues, and reports
// whether there is one.
func (o *Order) loadNextTier() bool {
	if o.nextIndex == len(o.items) {
		return false
	}
	tier := o.items[o.nextIndex].tier()
	queueIndex := make(map[model.Organisation]int)
	for ; o.nextIndex < len(o.items) && o.items[o.nextIndex].tier() == tier; o.nextIndex++ {
		item := o.items[o.nextIndex]
		org := item.Job.Spec.Key.Organisation
		if item.Aged {
			org = "" // Aged jobs go in order of acceptance across organisations.
		}
		k, ok := queueIndex[org]
		if !ok {
			k = len(o.orgQueues)
			queueIndex[org] = k
			o.orgQueues = append(o.orgQueues, orgQueue{org: org})
		}
		o.orgQueues[k].items = append(o.orgQueues[k].items, item)
	}
	return true
}
