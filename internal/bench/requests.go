package bench

import (
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/routing"
)

// requestsPerRun is the number of measured requests of a run; 400 of them lie above the
// 99th percentile.
const requestsPerRun = 40_000

// RunRequests returns the results of the routing benchmarks: those of docs/design.md,
// section 2.2, then a comparison of all policies under even load, under uneven load, and
// with a third of the targets slower.
func RunRequests(seed int64) []Result {
	even := requestScenario{requests: requestsPerRun, load: 0.8, skew: 1}
	uneven := requestScenario{requests: requestsPerRun, load: 0.6, skew: 3, longShare: 0.1, longFactor: 5, slowTargets: 3, slowFactor: 2}
	mixed := requestScenario{requests: requestsPerRun, load: 0.4, skew: 1, slowTargets: 4, slowFactor: 2.5}
	results := boundedRequestResults(seed)
	results = append(results, compareRoutingPolicies(seed, "even", even)...)
	results = append(results, compareRoutingPolicies(seed, "uneven", uneven)...)
	return append(results, compareRoutingPolicies(seed, "mixed", mixed)...)
}

// boundedRequestResults returns the results for which the design sets a bound.
func boundedRequestResults(seed int64) []Result {
	oneSlowOneFailing := requestScenario{requests: requestsPerRun, load: 0.5, skew: 1, slowTargets: 1, slowFactor: 5, failingTargets: 1}
	thirdFailing := requestScenario{requests: requestsPerRun, load: 0.5, skew: 1, failingTargets: simZones * simTargetsPerZone / 3}
	outcomes := runTrials(seed, []trial{{oneSlowOneFailing, powerOfTwo}, {oneSlowOneFailing, roundRobin}, {thirdFailing, powerOfTwo}, {thirdFailing, roundRobin}})
	balanced, baseline, degraded, degradedBaseline := outcomes[0], outcomes[1], outcomes[2], outcomes[3]
	return []Result{
		{"request_p99", milliseconds(balanced.p99), "ms", "round_robin", milliseconds(baseline.p99)},
		{"retries_share", degraded.retriesPerCall(), "1", "round_robin", degradedBaseline.retriesPerCall()},
	}
}

// trial is one scenario to run under one policy.
type trial struct {
	scenario requestScenario
	policy   func() routing.Policy
}

// runTrials runs trials concurrently. They share no state and run in virtual time, so the
// outcomes do not depend on the real timing.
func runTrials(seed int64, trials []trial) []requestOutcome {
	out := make([]requestOutcome, len(trials))
	var wg sync.WaitGroup
	for i, t := range trials {
		wg.Go(func() { out[i] = simulateRequests(seed, t.scenario, t.policy) })
	}
	wg.Wait()
	return out
}

func (o requestOutcome) retriesPerCall() float64 { return float64(o.retries) / float64(o.calls) }

// routingPolicies are the compared policies, the baseline first.
var routingPolicies = []func() routing.Policy{roundRobin, random, leastLoaded, powerOfTwo}

func roundRobin() routing.Policy { return &routing.RoundRobin{} }
func random() routing.Policy     { return routing.Random{} }
func powerOfTwo() routing.Policy { return routing.PowerOfTwoChoices{} }

// leastLoaded has thresholds on the number of slots in use.
func leastLoaded() routing.Policy {
	return &routing.LeastLoaded{Dampening: 0.9, RejectThreshold: simSlotsPerTarget - 1, CriticalThreshold: simSlotsPerTarget}
}

func compareRoutingPolicies(seed int64, prefix string, sc requestScenario) []Result {
	trials := make([]trial, len(routingPolicies))
	for i, policy := range routingPolicies {
		trials[i] = trial{sc, policy}
	}
	var results []Result
	outcomes := runTrials(seed, trials)
	baseline := outcomes[0]
	for i, o := range outcomes {
		name := prefix + "_" + routingPolicies[i]().Name()
		results = append(results,
			Result{name + "_p99", milliseconds(o.p99), "ms", "round_robin", milliseconds(baseline.p99)},
			Result{name + "_throughput", o.throughput, "1/s", "round_robin", baseline.throughput})
	}
	return results
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
