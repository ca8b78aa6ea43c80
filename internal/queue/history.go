// Package queue orders waiting jobs without knowing true run times.
package queue

import (
	"math/bits"
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
	mu     sync.RWMutex
	groups map[group]*hdrhistogram.Histogram
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
		h.groups = make(map[group]*hdrhistogram.Histogram)
	}
	seconds := min(max(int64(runtime/time.Second), 1), maxRuntimeSeconds)
	for _, key := range []group{{class, SizeBucket(gangSize)}, {class, anySize}} {
		hist := h.groups[key]
		if hist == nil {
			hist = hdrhistogram.New(1, maxRuntimeSeconds, runtimeDigits)
			h.groups[key] = hist
		}
		// The value is clamped to the histogram's range, so this cannot fail.
		_ = hist.RecordValue(seconds)
	}
}

// Quantile returns the run time that the fraction q of similar jobs stays below. It
// falls back to all sizes of the class, and reports false without enough data.
func (h *History) Quantile(class model.JobClass, gangSize int, q float64) (time.Duration, bool) {
	if h == nil {
		return 0, false
	}
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, key := range []group{{class, SizeBucket(gangSize)}, {class, anySize}} {
		if hist := h.groups[key]; hist != nil && hist.TotalCount() >= minObservations {
			return time.Duration(hist.ValueAtQuantile(q*100)) * time.Second, true
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
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, key := range []group{{class, SizeBucket(gangSize)}, {class, anySize}} {
		if left, ok := remaining(h.groups[key], attained, q); ok {
			return left, true
		}
	}
	return 0, false
}

func remaining(hist *hdrhistogram.Histogram, attained time.Duration, q float64) (time.Duration, bool) {
	if hist == nil {
		return 0, false
	}
	seconds := int64(attained / time.Second)
	var below int64
	for _, bar := range hist.Distribution() {
		if bar.To <= seconds {
			below += bar.Count
		}
	}
	if hist.TotalCount()-below < minObservations {
		return 0, false
	}
	share := float64(below) / float64(hist.TotalCount())
	total := hist.ValueAtQuantile((share + (1-share)*q) * 100)
	return time.Duration(max(total-seconds, 1)) * time.Second, true
}
