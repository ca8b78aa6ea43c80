package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
)

const (
	// starvationBase is the wait after which a job goes ahead of the discretised
	// queues, whatever its size.
	starvationBase = 2 * time.Hour
	// starvationFactor adds a multiple of the expected run time to the base, so
	// that long jobs do not overtake short ones after a wait that is short for
	// them.
	starvationFactor = 2
	// batchWait is the wait after which batch work counts as normal work: it may
	// wait overnight, but not longer.
	batchWait = 12 * time.Hour
	// deadlineMargin is the slack below which a deadline goes ahead of the
	// discretised queues.
	deadlineMargin = 10 * time.Minute
)

// Item is a waiting job with its place in the order.
type Item struct {
	Job      *model.Job
	Size     int // accelerators, or tasks of a job without accelerators
	Priority model.Priority
	Level    int
	Attained time.Duration
	Waited   time.Duration
	// Aged reports that the job waited for longer than the starvation bound.
	Aged bool
	// Pressing reports that the job misses its deadline unless it starts soon.
	Pressing bool
}

// Size returns the size that run times are learned by: the accelerators of a gang, or
// its tasks if it needs none.
func Size(s *model.JobSpec) int {
	if n := s.Accelerators(); n > 0 {
		return n
	}
	return s.Tasks
}

// NewItem rates a waiting job.
func NewItem(j *model.Job, now time.Time, e *Estimates) *Item {
	it := &Item{
		Job: j, Size: Size(&j.Spec), Priority: j.Spec.Priority,
		Attained: time.Duration(j.SavedRunMS) * time.Millisecond,
		Waited:   now.Sub(time.UnixMilli(j.AcceptedUnixMS)),
	}
	expected := e.Expected(j.Spec.Class(), it.Size, it.Attained)
	it.Level = Level(expected)
	it.Aged = it.Waited-it.Attained > starvationBase+starvationFactor*expected
	if it.Priority == model.PriorityBatch && it.Waited > batchWait {
		it.Priority = model.PriorityNormal
	}
	if j.Spec.DeadlineUnixMS > 0 {
		left := time.UnixMilli(j.Spec.DeadlineUnixMS).Sub(now)
		cautious, ok := e.Cautious(j.Spec.Class(), it.Size, it.Attained)
		if !ok {
			cautious = expected
		}
		it.Pressing = left > 0 && left < cautious+deadlineMargin
	}
	return it
}

// tier returns the group of items that share one place in the order. Lower is first.
func (it *Item) tier() int {
	class := int(model.PriorityUrgent-it.Priority) * (MaxLevel + 3)
	switch {
	case it.Pressing:
		return class
	case it.Aged:
		return class + 1
	default:
		return class + 2 + it.Level
	}
}

// Shares tracks each organisation's use relative to its weight.
type Shares struct {
	used   map[model.Organisation]float64
	weight map[model.Organisation]float64
}

// NewShares returns shares with the given weights; an unknown organisation has 1.
func NewShares(weights map[model.Organisation]int) *Shares {
	s := &Shares{used: make(map[model.Organisation]float64), weight: make(map[model.Organisation]float64)}
	for org, w := range weights {
		s.weight[org] = float64(max(w, 1))
	}
	return s
}

// Charge adds use to an organisation.
func (s *Shares) Charge(org model.Organisation, size int) {
	weight := s.weight[org]
	if weight == 0 {
		weight = 1
	}
	s.used[org] += float64(size) / weight
}

// Order yields items by tier. Within a tier the organisation with the least use of
// its share comes first, and each organisation's jobs in order of deadline and
// acceptance.
type Order struct {
	items  []*Item
	shares *Shares
	next   int // first item of the current tier that may be left
	lanes  []lane
}

// lane holds one organisation's items of the current tier.
type lane struct {
	org   model.Organisation
	items []*Item
}

// NewOrder returns the order of the items. It keeps the slice.
func NewOrder(items []*Item, shares *Shares) *Order {
	slices.SortStableFunc(items, compare)
	return &Order{items: items, shares: shares}
}

func compare(a, b *Item) int {
	return cmp.Or(
		cmp.Compare(a.tier(), b.tier()),
		cmp.Compare(deadline(a), deadline(b)),
		cmp.Compare(a.Job.AcceptedUnixMS, b.Job.AcceptedUnixMS),
	)
}

func deadline(it *Item) int64 {
	const none = int64(1) << 62
	if it.Job.Spec.DeadlineUnixMS == 0 || (!it.Pressing && it.Priority != model.PriorityUrgent) {
		return none
	}
	return it.Job.Spec.DeadlineUnixMS
}

// Next returns the next item, or nil at the end.
func (o *Order) Next() *Item {
	if len(o.lanes) == 0 && !o.fill() {
		return nil
	}
	best := 0
	for i := range o.lanes {
		if o.shares.used[o.lanes[i].org] < o.shares.used[o.lanes[best].org] {
			best = i
		}
	}
	l := &o.lanes[best]
	it := l.items[0]
	l.items = l.items[1:]
	if len(l.items) == 0 {
		o.lanes = slices.Delete(o.lanes, best, best+1)
	}
	return it
}

// fill loads the next tier into the lanes.
func (o *Order) fill() bool {
	if o.next == len(o.items) {
		return false
	}
	tier := o.items[o.next].tier()
	index := make(map[model.Organisation]int)
	for ; o.next < len(o.items) && o.items[o.next].tier() == tier; o.next++ {
		it := o.items[o.next]
		org := it.Job.Spec.Key.Organisation
		if it.Aged {
			org = "" // Aged jobs go strictly in order of acceptance.
		}
		k, ok := index[org]
		if !ok {
			k = len(o.lanes)
			index[org] = k
			o.lanes = append(o.lanes, lane{org: org})
		}
		o.lanes[k].items = append(o.lanes[k].items, it)
	}
	return true
}
