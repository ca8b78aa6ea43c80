package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
)

// Policy picks one of the targets that fit a request. The product uses PowerOfTwo;
// the others stand for comparison (docs/decisions/0004-routing.md).
type Policy interface {
	// Name is the name in reports.
	Name() string
	// avoids reports whether the target comes after all others in any zone.
	avoids(now time.Time, s *targetState, usual float64) bool
	// pick returns an element of fit, which is not empty, or nil to shed.
	pick(now time.Time, fit []*targetState, v view) *targetState
}

// view is what a policy may look at besides the targets.
type view struct {
	random *rand.Rand
	usual  float64 // seconds, usual latency of the service
}

// PowerOfTwo compares two targets drawn at random by their cost: requests in
// flight, observed latency and success. It has no state of its own.
type PowerOfTwo struct{}

// Name implements Policy.
func (PowerOfTwo) Name() string { return "power_of_two" }

func (PowerOfTwo) avoids(now time.Time, s *targetState, usual float64) bool {
	return !s.good(now, usual)
}

func (PowerOfTwo) pick(now time.Time, fit []*targetState, v view) *targetState {
	i := v.random.IntN(len(fit))
	if len(fit) == 1 {
		return fit[i]
	}
	j := v.random.IntN(len(fit) - 1)
	if j >= i {
		j++
	}
	if fit[j].cost(now, v.usual) < fit[i].cost(now, v.usual) {
		return fit[j]
	}
	return fit[i]
}

// Random draws a target.
type Random struct{}

// Name implements Policy.
func (Random) Name() string { return "random" }

func (Random) avoids(time.Time, *targetState, float64) bool { return false }

func (Random) pick(_ time.Time, fit []*targetState, v view) *targetState {
	return fit[v.random.IntN(len(fit))]
}

// RoundRobin takes the targets in turn.
type RoundRobin struct{ next int }

// Name implements Policy.
func (*RoundRobin) Name() string { return "round_robin" }

func (*RoundRobin) avoids(time.Time, *targetState, float64) bool { return false }

func (p *RoundRobin) pick(_ time.Time, fit []*targetState, _ view) *targetState {
	p.next++
	return fit[p.next%len(fit)]
}

// LeastLoaded takes the target with the lowest reported load, as in "Performance
// Evaluation of an Adaptive Middleware Load Balancing and Monitoring Service"
// (Othman, Balasubramanian, Schmidt): a report changes the load to
// Dampening*old + (1-Dampening)*new, members at or above Reject are avoided and
// members above Critical get nothing.
type LeastLoaded struct {
	Dampening float64 // 0 to 1
	Reject    float64 // requests
	Critical  float64 // requests
}

// LoadSamplePeriod is the time between two load reports of a target in the paper.
const LoadSamplePeriod = 3 * time.Second

// reportedLoad is the dampened load of a target.
type reportedLoad struct{ value float64 }

// Name implements Policy.
func (*LeastLoaded) Name() string { return "least_loaded" }

func (p *LeastLoaded) avoids(_ time.Time, s *targetState, _ float64) bool {
	return s.load.value >= p.Reject
}

func (p *LeastLoaded) pick(_ time.Time, fit []*targetState, v view) *targetState {
	best := math.Inf(1)
	var ties []*targetState
	for _, s := range fit {
		load := s.load.value
		if load > p.Critical {
			continue
		}
		if load < best {
			best, ties = load, ties[:0]
		}
		if load == best {
			ties = append(ties, s)
		}
	}
	if len(ties) == 0 {
		return nil
	}
	return ties[v.random.IntN(len(ties))]
}

// ReportLoad dampens a sample of a target's load into its reported load.
func (r *Router) ReportLoad(p *LeastLoaded, sample func(model.TargetID) float64) {
	for _, s := range r.targets {
		fresh := sample(s.target.ID)
		s.load.value = p.Dampening*s.load.value + (1-p.Dampening)*fresh
	}
}
