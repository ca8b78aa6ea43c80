package queue

import (
	"math/bits"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
)

// Quantiles of the remaining run time.
const (
	expectedQuantile     = 0.5 // orders jobs
	conservativeQuantile = 0.9 // limits backfill and detects near deadlines
)

// RunTimeEstimates estimates remaining run times during one plan. It caches the estimates,
// because many waiting jobs share a class.
type RunTimeEstimates struct {
	history *History
	cache   map[estimateKey]estimate
}

type estimateKey struct {
	class          model.JobClass
	sizeBucket     int
	attainedBucket int // bit length of the attained seconds
	quantile       float64
}

type estimate struct {
	remaining time.Duration
	ok        bool
}

// NewRunTimeEstimates returns estimates from the history, which may be nil.
func NewRunTimeEstimates(h *History) *RunTimeEstimates {
	return &RunTimeEstimates{history: h, cache: make(map[estimateKey]estimate)}
}

// remaining returns the quantile of the remaining run time from the cache or the history,
// and false without enough history.
func (e *RunTimeEstimates) remaining(class model.JobClass, size int, attained time.Duration, quantile float64) (time.Duration, bool) {
	key := estimateKey{class, SizeBucket(size), bits.Len64(uint64(attained / time.Second)), quantile}
	cached, ok := e.cache[key]
	if !ok {
		cached.remaining, cached.ok = e.history.Remaining(class, size, attained, quantile)
		e.cache[key] = cached
	}
	return cached.remaining, cached.ok
}

// ExpectedRemaining returns the median remaining run time of similar jobs. Without enough
// history it returns the attained service, so that the queue falls back to least attained
// service first.
func (e *RunTimeEstimates) ExpectedRemaining(class model.JobClass, size int, attained time.Duration) time.Duration {
	if remaining, ok := e.remaining(class, size, attained, expectedQuantile); ok {
		return remaining
	}
	return attained
}

// ConservativeRemaining returns a remaining run time that 90 % of similar jobs do not
// exceed, and false without enough history.
func (e *RunTimeEstimates) ConservativeRemaining(class model.JobClass, size int, attained time.Duration) (time.Duration, bool) {
	return e.remaining(class, size, attained, conservativeQuantile)
}

// Bounds of the discretised queues. The bound grows by levelFactor with each level, because
// the estimates are too rough for finer steps. The level does not depend on the gang size:
// weighting by size starves large gangs until only they remain, and these leave
// accelerators unused.
const (
	level0Bound = 8 * time.Second // upper bound of the remaining run time in level 0
	levelFactor = 4
	// MaxLevel is the highest level, which has no upper bound.
	MaxLevel = 12
)

// Level returns the discretised queue for work with the given expected remaining run time.
// Lower levels go first.
func Level(remaining time.Duration) int {
	work := remaining / level0Bound
	level := 0
	for work > 0 && level < MaxLevel {
		work /= levelFactor
		level++
	}
	return level
}
