package routing

import (
	"math"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
)

// ResultKind says how an attempt on a target ended.
type ResultKind int

// Result kinds.
const (
	ResultOK         ResultKind = iota // a complete response with a status below 500
	ResultRejected                     // the target refused the call and did not run it, or nothing was sent
	ResultFailed                       // a complete response with a status of 500 or above
	ResultNoResponse                   // no complete response within the deadline
	// ResultAbandoned is an attempt that ended for a reason unrelated to the target.
	ResultAbandoned
)

// Result is the result of an attempt on a target.
type Result struct {
	Kind    ResultKind
	Latency time.Duration
	Leaving bool // the target reported that it is leaving
}

const (
	// latencySampleWeight and successSampleWeight are the weights of one sample in the
	// moving averages. Ten samples replace most of the old value, so a target that
	// becomes slow is noticed after about ten calls.
	latencySampleWeight = 0.2
	successSampleWeight = 0.2
	// observationTimeConstant is the time constant of the exponential decay of old
	// observations, so that a target that recovered is tried again.
	observationTimeConstant = 30 * time.Second
	// minSuccessRate is the lower bound of the success rate in the cost of a target.
	minSuccessRate = 0.02
	// rejectionSampleWeight is the weight of a rejection in the success rate. It is
	// small because each rejection also lowers the concurrency limit.
	rejectionSampleWeight = 0.02
	// successesPerLimitIncrease is the number of successes at the concurrency limit
	// that raise it by one request. Other hosts use the same slots, so each increase
	// may cost a rejection.
	successesPerLimitIncrease = 50
	// A target whose latency is above slowLatencyFactor times the typical latency or
	// whose success rate is below minHealthySuccessRate is unhealthy: it is used only
	// when no healthy target has a free slot.
	slowLatencyFactor     = 2
	minHealthySuccessRate = 0.7
	// leavingSignalTTL is how long a target counts as leaving after it said so in a
	// response. After that the host list, which lags by seconds, decides.
	leavingSignalTTL = time.Minute
)

// targetState holds this host's observations of one target.
type targetState struct {
	target           model.Target
	maxConnections   int // connections of this host
	concurrencyLimit float64
	inFlight         int
	leavingUntil     time.Time // end of the leaving state that the target itself reported
	meanLatency      float64   // seconds, mean of successful calls; 0 before the first
	successRate      float64   // 0 to 1
	lastResult       time.Time
	breaker          breaker
	load             reportedLoad
}

// newTargetState returns the state of a target that this host has not used yet.
func newTargetState(t model.Target, maxConnections int) *targetState {
	s := &targetState{successRate: 1}
	s.update(t, maxConnections)
	s.concurrencyLimit = float64(s.maxConcurrency())
	return s
}

// update applies the target's entry in the host list.
func (s *targetState) update(t model.Target, maxConnections int) {
	s.target = t
	s.maxConnections = maxConnections
	s.concurrencyLimit = math.Min(s.concurrencyLimit, float64(s.maxConcurrency()))
}

// leaving reports whether the target is leaving according to the host list or to its
// own responses.
func (s *targetState) leaving(now time.Time) bool {
	return s.target.Leaving || now.Before(s.leavingUntil)
}

// maxConcurrency returns the number of concurrent requests that the target's slots and
// this host's connections allow, at least 1.
func (s *targetState) maxConcurrency() int {
	return max(1, min(s.target.Slots, s.maxConnections))
}

// hasCapacity reports whether another request is within the concurrency limit. Other
// hosts use the same slots, so the limit falls when the target rejects a request and
// rises again with successes.
func (s *targetState) hasCapacity() bool {
	return s.inFlight < max(1, int(s.concurrencyLimit))
}

// recordResult updates the state with the result of an attempt.
func (s *targetState) recordResult(now time.Time, r Result) {
	atLimit := !s.hasCapacity()
	s.inFlight--
	if r.Leaving {
		s.leavingUntil = now.Add(leavingSignalTTL)
	}
	if r.Kind == ResultAbandoned {
		s.breaker.abandonProbe()
		return
	}
	ok := r.Kind == ResultOK
	weight := successSampleWeight
	if r.Kind == ResultRejected {
		weight = rejectionSampleWeight
	}
	s.successRate = interpolate(s.successRateAt(now), boolToFloat(ok), weight)
	if ok || r.Kind == ResultNoResponse {
		s.meanLatency = updateMean(s.meanLatency, r.Latency.Seconds(), latencySampleWeight)
	}
	s.lastResult = now
	s.breaker.recordResult(now, r.Kind)
	s.adaptLimit(r.Kind, atLimit)
}

// adaptLimit lowers the concurrency limit after a rejection and raises it after
// successes at the limit.
func (s *targetState) adaptLimit(kind ResultKind, atLimit bool) {
	switch {
	case kind == ResultRejected:
		s.concurrencyLimit = math.Max(1, float64(s.inFlight))
	case kind == ResultOK && atLimit:
		s.concurrencyLimit = math.Min(float64(s.maxConcurrency()), s.concurrencyLimit+1/float64(successesPerLimitIncrease))
	}
}

// successRateAt returns the success rate, decayed towards 1 with the time since the
// last result.
func (s *targetState) successRateAt(now time.Time) float64 {
	return interpolate(s.successRate, 1, decayFraction(now.Sub(s.lastResult)))
}

// latencyAt returns the mean latency in seconds, decayed towards the typical latency of
// the service with the time since the last result.
func (s *targetState) latencyAt(now time.Time, typicalLatency float64) float64 {
	if s.meanLatency == 0 {
		return typicalLatency
	}
	return interpolate(s.meanLatency, typicalLatency, decayFraction(now.Sub(s.lastResult)))
}

// cost returns the target's rank, lower is better: the expected latency, increased by
// the share of slots in use and divided by the square of the success rate, so that a
// target that fails fast is not preferred.
func (s *targetState) cost(now time.Time, typicalLatency float64) float64 {
	successRate := math.Max(minSuccessRate, s.successRateAt(now))
	utilization := float64(s.inFlight) / math.Max(1, s.concurrencyLimit)
	return s.latencyAt(now, typicalLatency) * (1 + utilization) / (successRate * successRate)
}

// healthy reports whether the target is neither slow nor failing. typicalLatency is in
// seconds.
func (s *targetState) healthy(now time.Time, typicalLatency float64) bool {
	if s.meanLatency <= slowLatencyFactor*typicalLatency && s.successRate >= minHealthySuccessRate {
		return true // decay only improves both values
	}
	return s.latencyAt(now, typicalLatency) <= slowLatencyFactor*typicalLatency && s.successRateAt(now) >= minHealthySuccessRate
}

// decayFraction returns the weight, from 0 to 1, that observations of the given age
// have lost.
func decayFraction(age time.Duration) float64 {
	if age <= 0 {
		return 0
	}
	return 1 - math.Exp(-age.Seconds()/observationTimeConstant.Seconds())
}

// updateMean returns the exponentially weighted moving average after a sample. An old
// value of 0 means that there is none yet; the result is then the sample.
func updateMean(old, sample, weight float64) float64 {
	if old == 0 {
		return sample
	}
	return interpolate(old, sample, weight)
}

// interpolate moves from towards to by the fraction weight, from 0 to 1.
func interpolate(from, to, weight float64) float64 { return from + (to-from)*weight }

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
