package bench

import (
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
	chosen, baseline := runRequests(seed, disturbed, powerOfTwo), runRequests(seed, disturbed, roundRobin)
	failing, failingBaseline := runRequests(seed, third, powerOfTwo), runRequests(seed, third, roundRobin)
	return []Figure{
		{"request_p99", milliseconds(chosen.p99), "ms", "round_robin", milliseconds(baseline.p99)},
		{"retries_share", failing.retriesShare(), "1", "round_robin", failingBaseline.retriesShare()},
	}
}

func (o outcome) retriesShare() float64 { return float64(o.retries) / float64(o.calls) }

// policies are the compared ones, the baseline first.
var policies = []func() routing.Policy{roundRobin, random, leastLoaded, powerOfTwo}

func roundRobin() routing.Policy { return &routing.RoundRobin{} }
func random() routing.Policy     { return routing.Random{} }
func powerOfTwo() routing.Policy { return routing.PowerOfTwo{} }

// leastLoaded has its thresholds on the number of slots in use, and the values that
// did best of dampening 0.1, 0.5 and 0.9 with reject thresholds 4, 6 and 7.
func leastLoaded() routing.Policy {
	return &routing.LeastLoaded{Dampening: 0.9, Reject: simSlots - 1, Critical: simSlots}
}

func comparePolicies(seed int64, load string, sc scenario) []Figure {
	var figures []Figure
	var base outcome
	for i, policy := range policies {
		o := runRequests(seed, sc, policy)
		if i == 0 {
			base = o
		}
		name := load + "_" + policy().Name()
		figures = append(figures,
			Figure{name + "_p99", milliseconds(o.p99), "ms", "round_robin", milliseconds(base.p99)},
			Figure{name + "_throughput", o.throughput, "1/s", "round_robin", base.throughput})
	}
	return figures
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
