package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
)

// Policy picks one of the targets that are eligible for a request. The daemon uses
// PowerOfTwoChoices; the other policies serve as baselines in benchmarks
// (docs/decisions/0004-routing.md).
type Policy interface {
	// Name returns the name of the policy in benchmark reports.
	Name() string
	// avoids reports whether the target is used only when no other target of any
	// zone is eligible. typicalLatency is in seconds.
	avoids(now time.Time, s *targetState, typicalLatency float64) bool
	// pick returns one of candidates, which is not empty, or nil to shed the request.
	pick(now time.Time, candidates []*targetState, pc pickContext) *targetState
}

// pickContext holds the inputs of a policy besides the targets.
type pickContext struct {
	rng            *rand.Rand
	typicalLatency float64 // seconds, of the service
}

// PowerOfTwoChoices draws two targets at random and picks the one with the lower
// cost, which combines requests in flight, mean latency and success rate.
type PowerOfTwoChoices struct{}

// Name implements Policy.
func (PowerOfTwoChoices) Name() string { return "power_of_two" }

func (PowerOfTwoChoices) avoids(now time.Time, s *targetState, typicalLatency float64) bool {
	return !s.healthy(now, typicalLatency)
}

func (PowerOfTwoChoices) pick(now time.Time, candidates []*targetState, pc pickContext) *targetState {
	i := pc.rng.IntN(len(candidates))
	if len(candidates) == 1 {
		return candidates[i]
	}
	j := pc.rng.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	if candidates[j].cost(now, pc.typicalLatency) < candidates[i].cost(now, pc.typicalLatency) {
		return candidates[j]
	}
	return candidates[i]
}

// Random picks a target uniformly at random.
type Random struct{}

// Name implements Policy.
func (Random) Name() string { return "random" }

func (Random) avoids(time.Time, *targetState, float64) bool { return false }

func (Random) pick(_ time.Time, candidates []*targetState, pc pickContext) *targetState {
	return candidates[pc.rng.IntN(len(candidates))]
}

// RoundRobin picks the targets in turn.
type RoundRobin struct{ next int }

// Name implements Policy.
func (*RoundRobin) Name() string { return "round_robin" }

func (*RoundRobin) avoids(time.Time, *targetState, float64) bool { return false }

func (p *RoundRobin) pick(_ time.Time, candidates []*targetState, _ pickContext) *targetState {
	p.next++
	return candidates[p.next%len(candidates)]
}

// LeastLoaded picks the target with the lowest reported load, as in "Performance
// Evaluation of an Adaptive Middleware Load Balancing and Monitoring Service"
// (Othman, Balasubramanian, Schmidt). A report sets the load to
// Dampening*old + (1-Dampening)*new. Targets at or above RejectThreshold are avoided,
// and targets above CriticalThreshold get no requests.
type LeastLoaded struct {
	Dampening         float64 // 0 to 1
	RejectThreshold   float64 // requests
	CriticalThreshold float64 // requests
}

// LoadSamplePeriod is the time between two load reports of a target in the paper.
const LoadSamplePeriod = 3 * time.Second

// reportedLoad is the load of a target as reported for LeastLoaded, in requests.
type reportedLoad struct{ dampened float64 }

// Name implements Policy.
func (*LeastLoaded) Name() string { return "least_loaded" }

func (p *LeastLoaded) avoids(_ time.Time, s *targetState, _ float64) bool {
	return s.load.dampened >= p.RejectThreshold
}

func (p *LeastLoaded) pick(_ time.Time, candidates []*targetState, pc pickContext) *targetState {
	best := math.Inf(1)
	var ties []*targetState
	for _, s := range candidates {
		load := s.load.dampened
		if load > p.CriticalThreshold {
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
	return ties[pc.rng.IntN(len(ties))]
}

// ReportLoad updates the reported load of every target with a sample, in requests,
// dampened as p configures.
func (r *Router) ReportLoad(p *LeastLoaded, sample func(model.TargetID) float64) {
	for _, s := range r.targets {
		current := sample(s.target.ID)
		s.load.dampened = p.Dampening*s.load.dampened + (1-p.Dampening)*current
	}
}
