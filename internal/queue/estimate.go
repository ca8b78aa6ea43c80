package queue

import (
	"math/bits"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
)

// Quantiles used for decisions.
const (
	quantileExpected = 0.5 // orders jobs
	quantileCautious = 0.9 // bounds what backfill may delay
)

// Estimates answers questions on run times for one plan. It remembers the answers,
// because many waiting jobs share a class.
type Estimates struct {
	history *History
	known   map[estimateKey]estimate
}

type estimateKey struct {
	class    model.JobClass
	bucket   int
	attained int // power of two of the attained seconds
	q        float64
}

type estimate struct {
	left time.Duration
	ok   bool
}

// NewEstimates returns estimates that read the history, which may be nil.
func NewEstimates(h *History) *Estimates {
	return &Estimates{history: h, known: make(map[estimateKey]estimate)}
}

func (e *Estimates) remaining(class model.JobClass, size int, attained time.Duration, q float64) (time.Duration, bool) {
	key := estimateKey{class, SizeBucket(size), bits.Len64(uint64(attained / time.Second)), q}
	known, ok := e.known[key]
	if !ok {
		known.left, known.ok = e.history.Remaining(class, size, attained, q)
		e.known[key] = known
	}
	return known.left, known.ok
}

// Expected returns the expected remaining run time. Without history it is the
// attained service, so that the order becomes least attained service first.
func (e *Estimates) Expected(class model.JobClass, size int, attained time.Duration) time.Duration {
	if left, ok := e.remaining(class, size, attained, quantileExpected); ok {
		return left
	}
	return attained
}

// Cautious returns a remaining run time that most similar jobs stay below, and false
// without enough history.
func (e *Estimates) Cautious(class model.JobClass, size int, attained time.Duration) (time.Duration, bool) {
	return e.remaining(class, size, attained, quantileCautious)
}

// Level bounds and steps: levels are powers of levelFactor of the remaining run time,
// because finer steps would trust the estimates too much. The gang size does not count:
// weighing it starves large gangs until only they are left and leave holes.
const (
	levelUnit   = 8 * time.Second // the lowest level
	levelFactor = 4
	// MaxLevel is the level of the longest work.
	MaxLevel = 12
)

// Level returns the discretised queue of work with the given remaining run time.
func Level(expected time.Duration) int {
	work := expected / levelUnit
	level := 0
	for work > 0 && level < MaxLevel {
		work /= levelFactor
		level++
	}
	return level
}
