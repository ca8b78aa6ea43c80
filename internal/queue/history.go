// Package queue orders waiting jobs without knowing true run times.
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
	// maxRuntimeSeconds is the longest run time kept, 30 days; longer ones count
	// as this long.
	maxRuntimeSeconds = 30 * 24 * 3600
	// runtimeDigits keeps a histogram at about 3 KB with 10 % resolution, so that
	// 76 organisations fit the memory of an entry host.
	runtimeDigits = 1
	// minObservations is how many run times a quantile needs; fewer mislead.
	minObservations = 4
)

// History holds run times learned from finished jobs by organisation, service and
// gang size. The zero value and nil are empty. It is safe for concurrent use.
type History struct {
	mu     sync.Mutex
	groups map[group]*runtimes
}

// runtimes holds one group's run times. The cumulative counts are computed when they
// are first needed after a change.
type runtimes struct {
	hist   *hdrhistogram.Histogram
	bounds []int64 // upper bounds of the histogram's bars in seconds
	counts []int64 // run times up to each bound
}

// group is a class with a gang size rounded up to a power of two. Size anySize holds
// all sizes of the class.
type group struct {
	class model.JobClass
	size  int
}

const anySize = -1

// SizeBucket returns the bucket of gang sizes that are learned together.
func SizeBucket(gangSize int) int { return bits.Len(uint(max(gangSize, 1) - 1)) }

// Observe records the run time of a finished job. The gang size is its accelerators,
// or its tasks when it uses none.
func (h *History) Observe(class model.JobClass, gangSize int, runtime time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.groups == nil {
		h.groups = make(map[group]*runtimes)
	}
	seconds := min(max(int64(runtime/time.Second), 1), maxRuntimeSeconds)
	for _, key := range []group{{class, SizeBucket(gangSize)}, {class, anySize}} {
		r := h.groups[key]
		if r == nil {
			r = &runtimes{hist: hdrhistogram.New(1, maxRuntimeSeconds, runtimeDigits)}
			h.groups[key] = r
		}
		// The value is clamped to the histogram's range, so this cannot fail.
		_ = r.hist.RecordValue(seconds)
		r.bounds, r.counts = nil, nil
	}
}

// Quantile returns the run time that the fraction q of similar jobs stays below. It
// falls back to all sizes of the class, and reports false without enough data.
func (h *History) Quantile(class model.JobClass, gangSize int, q float64) (time.Duration, bool) {
	if h == nil {
		return 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, key := range []group{{class, SizeBucket(gangSize)}, {class, anySize}} {
		if left, ok := h.groups[key].remaining(0, q); ok {
			return left, true
		}
	}
	return 0, false
}

// Remaining returns the fraction q of the run time that is left to similar jobs that
// ran for the attained time already.
func (h *History) Remaining(class model.JobClass, gangSize int, attained time.Duration, q float64) (time.Duration, bool) {
	if h == nil {
		return 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, key := range []group{{class, SizeBucket(gangSize)}, {class, anySize}} {
		if left, ok := h.groups[key].remaining(attained, q); ok {
			return left, true
		}
	}
	return 0, false
}

func (r *runtimes) remaining(attained time.Duration, q float64) (time.Duration, bool) {
	if r == nil {
		return 0, false
	}
	r.accumulate()
	seconds := int64(attained / time.Second)
	total := r.counts[len(r.counts)-1]
	below := int64(0)
	if i := sort.Search(len(r.bounds), func(i int) bool { return r.bounds[i] > seconds }); i > 0 {
		below = r.counts[i-1]
	}
	if total-below < minObservations {
		return 0, false
	}
	want := below + int64(math.Ceil(float64(total-below)*q))
	i := sort.Search(len(r.counts), func(i int) bool { return r.counts[i] >= want })
	return time.Duration(max(r.bounds[i]-seconds, 1)) * time.Second, true
}

func (r *runtimes) accumulate() {
	if r.counts != nil {
		return
	}
	sum := int64(0)
	for _, bar := range r.hist.Distribution() {
		if bar.Count == 0 {
			continue
		}
		sum += bar.Count
		r.bounds = append(r.bounds, bar.To)
		r.counts = append(r.counts, sum)
	}
}
