package bench

import (
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/routing"
)

// simRequests is how many requests each run measures; 40,000 leave 400 above the
// 99th percentile.
const simRequests = 40_000

// Requests measures routing: the figures of docs/design.md section 2.2, then all
// policies under even and uneven load and with a third of the targets slower.
func Requests(seed int64) []Figure {
	even := scenario{requests: simRequests, load: 0.8, skew: 1}
	uneven := scenario{requests: simRequests, load: 0.6, skew: 3, longShare: 0.1, longFactor: 5, slow: 3, slowFactor: 2}
	mixed := scenario{requests: simRequests, load: 0.4, skew: 1, slow: 4, slowFactor: 2.5}
	figures := boundedRequests(seed)
	figures = append(figures, comparePolicies(seed, "even", even)...)
	figures = append(figures, comparePolicies(seed, "uneven", uneven)...)
	return append(figures, comparePolicies(seed, "mixed", mixed)...)
}

// boundedRequests returns the figures that have a bound.
func boundedRequests(seed int64) []Figure {
	disturbed := scenario{requests: simRequests, load: 0.5, skew: 1, slow: 1, slowFactor: 5, failing: 1}
	third := scenario{requests: simRequests, load: 0.5, skew: 1, failing: simZones * simTargetsPerZone / 3}
	outcomes := runAll(seed, []trial{{disturbed, powerOfTwo}, {disturbed, roundRobin}, {third, powerOfTwo}, {third, roundRobin}})
	chosen, baseline, failing, failingBaseline := outcomes[0], outcomes[1], outcomes[2], outcomes[3]
	return []Figure{
		{"request_p99", milliseconds(chosen.p99), "ms", "round_robin", milliseconds(baseline.p99)},
		{"retries_share", failing.retriesShare(), "1", "round_robin", failingBaseline.retriesShare()},
	}
}

// trial is one run of a scenario.
type trial struct {
	scenario scenario
	policy   func() routing.Policy
}

// runAll runs trials side by side. They share nothing and their time is virtual, so
// the outcomes do not depend on it.
func runAll(seed int64, trials []trial) []outcome {
	out := make([]outcome, len(trials))
	var running sync.WaitGroup
	for i, t := range trials {
		running.Go(func() { out[i] = runRequests(seed, t.scenario, t.policy) })
	}
	running.Wait()
	return out
}

func (o outcome) retriesShare() float64 { return float64(o.retries) / float64(o.calls) }

// policies are the compared ones, the baseline first.
var policies = []func() routing.Policy{roundRobin, random, leastLoaded, powerOfTwo}

func roundRobin() routing.Policy { return &routing.RoundRobin{} }
func random() routing.Policy     { return routing.Random{} }
func powerOfTwo() routing.Policy { return routing.PowerOfTwoChoices{} }

// leastLoaded has its thresholds on the number of slots in use, and the values that
// did best of dampening 0.1, 0.5 and 0.9 with reject thresholds 4, 6 and 7.
func leastLoaded() routing.Policy {
	return &routing.LeastLoaded{Dampening: 0.9, RejectThreshold: simSlots - 1, CriticalThreshold: simSlots}
}

func comparePolicies(seed int64, load string, sc scenario) []Figure {
	trials := make([]trial, len(policies))
	for i, policy := range policies {
		trials[i] = trial{sc, policy}
	}
	var figures []Figure
	outcomes := runAll(seed, trials)
	base := outcomes[0]
	for i, o := range outcomes {
		name := load + "_" + policies[i]().Name()
		figures = append(figures,
			Figure{name + "_p99", milliseconds(o.p99), "ms", "round_robin", milliseconds(base.p99)},
			Figure{name + "_throughput", o.throughput, "1/s", "round_robin", base.throughput})
	}
	return figures
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
