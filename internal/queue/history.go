// Package queue orders waiting jobs by priority, starvation, estimated remaining run time
// and fair share. It learns run times from finished jobs.
package queue

import (
	"math"
	"math/bits"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/daisyfold/daisyfold/internal/model"
)

const (
	// maxRunTimeSeconds is the longest run time recorded, 30 days. Longer run times
	// are recorded as this value.
	maxRunTimeSeconds = 30 * 24 * 3600
	// runTimeSignificantDigits keeps a histogram at about 3 KB with a resolution of
	// 10 %, so that the histograms of 76 organisations fit into the memory of an entry
	// host.
	runTimeSignificantDigits = 1
	// minObservations is the number of run times that a quantile needs; with fewer
	// it is misleading.
	minObservations = 4
)

// History records the run times of finished jobs by class and gang size. The zero value
// is empty and ready to use; the query methods also accept nil. It is safe for concurrent
// use.
type History struct {
	mu     sync.Mutex
	groups map[runTimeGroup]*runTimeDistribution
}

// runTimeDistribution holds one group's run times. The cumulative counts are computed
// when they are first needed after a change.
type runTimeDistribution struct {
	histogram        *hdrhistogram.Histogram
	boundsSeconds    []int64 // upper bounds of the histogram's bars
	cumulativeCounts []int64 // number of run times up to each bound
}

// runTimeGroup identifies the jobs whose run times are recorded together: a class and a
// bucket of gang sizes, or anySizeBucket for all sizes of the class.
type runTimeGroup struct {
	class      model.JobClass
	sizeBucket int
}

// anySizeBucket is the bucket of all gang sizes.
const anySizeBucket = -1

// SizeBucket returns the bucket of a gang size: the exponent of the smallest power of
// two that is not below it.
func SizeBucket(gangSize int) int { return bits.Len(uint(max(gangSize, 1) - 1)) }

// Observe records the run time of a finished job. See JobSize for the gang size.
func (h *History) Observe(class model.JobClass, gangSize int, runTime time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.groups == nil {
		h.groups = make(map[runTimeGroup]*runTimeDistribution)
	}
	seconds := min(max(int64(runTime/time.Second), 1), maxRunTimeSeconds)
	for _, key := range []runTimeGroup{{class, SizeBucket(gangSize)}, {class, anySizeBucket}} {
		r := h.groups[key]
		if r == nil {
			r = &runTimeDistribution{histogram: hdrhistogram.New(1, maxRunTimeSeconds, runTimeSignificantDigits)}
			h.groups[key] = r
		}
		// RecordValue cannot fail, because the value lies in the histogram's range.
		_ = r.histogram.RecordValue(seconds)
		r.boundsSeconds, r.cumulativeCounts = nil, nil
	}
}

// Quantile returns the run time that the fraction q of similar jobs does not exceed. It
// falls back to all sizes of the class, and returns false without enough observations.
func (h *History) Quantile(class model.JobClass, gangSize int, q float64) (time.Duration, bool) {
	if h == nil {
		return 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, key := range []runTimeGroup{{class, SizeBucket(gangSize)}, {class, anySizeBucket}} {
		if remaining, ok := h.groups[key].remaining(0, q); ok {
			return remaining, true
		}
	}
	return 0, false
}

// Remaining returns the remaining run time that the fraction q of similar jobs does not
// exceed, among jobs that ran for longer than the attained time. It falls back to all
// sizes of the class, and returns false without enough observations.
func (h *History) Remaining(class model.JobClass, gangSize int, attained time.Duration, q float64) (time.Duration, bool) {
	if h == nil {
		return 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, key := range []runTimeGroup{{class, SizeBucket(gangSize)}, {class, anySizeBucket}} {
		if remaining, ok := h.groups[key].remaining(attained, q); ok {
			return remaining, true
		}
	}
	return 0, false
}

// remaining returns the quantile q of the remaining run time after the attained time, and
// false with fewer than minObservations longer run times.
func (r *runTimeDistribution) remaining(attained time.Duration, q float64) (time.Duration, bool) {
	if r == nil {
		return 0, false
	}
	r.accumulate()
	seconds := int64(attained / time.Second)
	total := r.cumulativeCounts[len(r.cumulativeCounts)-1]
	shorter := int64(0)
	if i := sort.Search(len(r.boundsSeconds), func(i int) bool { return r.boundsSeconds[i] > seconds }); i > 0 {
		shorter = r.cumulativeCounts[i-1]
	}
	if total-shorter < minObservations {
		return 0, false
	}
	rank := shorter + int64(math.Ceil(float64(total-shorter)*q))
	i := sort.Search(len(r.cumulativeCounts), func(i int) bool { return r.cumulativeCounts[i] >= rank })
	return time.Duration(max(r.boundsSeconds[i]-seconds, 1)) * time.Second, true
}

// accumulate computes the bounds and cumulative counts if they are out of date.
func (r *runTimeDistribution) accumulate() {
	if r.cumulativeCounts != nil {
		return
	}
	sum := int64(0)
	for _, bar := range r.histogram.Distribution() {
		if bar.Count == 0 {
			continue
		}
		sum += bar.Count
		r.boundsSeconds = append(r.boundsSeconds, bar.To)
		r.cumulativeCounts = append(r.cumulativeCounts, sum)
	}
}
