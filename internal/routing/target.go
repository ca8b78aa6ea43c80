package routing

import (
	"math"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
)

// ResultKind says how an attempt ended.
type ResultKind int

// Result kinds.
const (
	ResultOK       ResultKind = iota // a whole answer below status 500
	ResultRejected                   // the target said that it did not run the call
	ResultFailed                     // status 500 or above, or no connection
	ResultBroken                     // no whole answer within the deadline
	// ResultAbandoned is an attempt that ended for a reason other than the target.
	ResultAbandoned
)

// Result is what an attempt told about its target.
type Result struct {
	Kind    ResultKind
	Latency time.Duration
	Leaving bool
}

const (
	// latencyGain and successGain are the weights of one sample. Ten samples
	// replace most of the old value, so a target that turns slow is noticed
	// after about ten calls.
	latencyGain = 0.2
	successGain = 0.2
	// forgetAfter is the time constant with which old observations lose weight,
	// so that a target that recovered is tried again.
	forgetAfter = 30 * time.Second
	// minSuccess bounds how far a low success rate pushes a target back.
	minSuccess = 0.02
	// rejectionGain is the weight of a rejection in the success rate. It is small
	// because the limit already falls with each rejection.
	rejectionGain = 0.02
	// limitGrowth is how many successes at the limit raise it by one request. Other
	// hosts use the same slots, so each raise may cost a rejection.
	limitGrowth = 50
	// slowFactor and minGood tell the targets that are used only when no other has
	// a free slot: those slower than slowFactor times the usual or with a lower
	// success rate than minGood.
	slowFactor = 2
	// leavingMemory is how long a target's own word that it leaves holds. The host
	// list, which lags by seconds, has the last word after that.
	leavingMemory = time.Minute
	minGood       = 0.7
)

// targetState is what this host observed of one target.
type targetState struct {
	target   model.Target
	maxOpen  int // connections of this host
	limit    float64
	inFlight int
	leaveBy  time.Time // until when the target's own word that it leaves holds
	latency  float64   // seconds, mean of successful calls; 0 before the first
	success  float64   // 0 to 1
	seen     time.Time
	breaker  breaker
	load     reportedLoad
}

func newTargetState(t model.Target, maxOpen int) *targetState {
	s := &targetState{success: 1}
	s.update(t, maxOpen)
	s.limit = float64(s.hardLimit())
	return s
}

// update takes over what the host list says about the target.
func (s *targetState) update(t model.Target, maxOpen int) {
	s.target = t
	s.maxOpen = maxOpen
	s.limit = math.Min(s.limit, float64(s.hardLimit()))
}

// leaving reports whether the host list or the target itself says that it leaves.
func (s *targetState) leaving(now time.Time) bool {
	return s.target.Leaving || now.Before(s.leaveBy)
}

// hardLimit is the number of requests that slots and connections allow.
func (s *targetState) hardLimit() int {
	return max(1, min(s.target.Slots, s.maxOpen))
}

// free reports whether another request fits. Other hosts use the same slots, so
// the limit falls when the target rejects and rises again with successes.
func (s *targetState) free() bool {
	return s.inFlight < max(1, int(s.limit))
}

// observe takes in the end of an attempt.
func (s *targetState) observe(now time.Time, r Result) {
	atLimit := !s.free()
	s.inFlight--
	if r.Leaving {
		s.leaveBy = now.Add(leavingMemory)
	}
	if r.Kind == ResultAbandoned {
		s.breaker.abandon()
		return
	}
	ok := r.Kind == ResultOK
	gain := successGain
	if r.Kind == ResultRejected {
		gain = rejectionGain
	}
	s.success = mix(s.successAt(now), boolValue(ok), gain)
	if ok || r.Kind == ResultBroken {
		s.latency = blend(s.latency, r.Latency.Seconds(), latencyGain)
	}
	s.seen = now
	s.breaker.observe(now, r.Kind)
	s.adaptLimit(r.Kind, atLimit)
}

func (s *targetState) adaptLimit(k ResultKind, atLimit bool) {
	switch {
	case k == ResultRejected:
		s.limit = math.Max(1, float64(s.inFlight))
	case k == ResultOK && atLimit:
		s.limit = math.Min(float64(s.hardLimit()), s.limit+1/float64(limitGrowth))
	}
}

// successAt is the success rate, drawn towards 1 by the time since the last call.
func (s *targetState) successAt(now time.Time) float64 {
	return mix(s.success, 1, forgotten(now.Sub(s.seen)))
}

// latencyAt is the mean latency, drawn towards usual by the time since the last
// call; usual is the usual latency of the service.
func (s *targetState) latencyAt(now time.Time, usual float64) float64 {
	if s.latency == 0 {
		return usual
	}
	return mix(s.latency, usual, forgotten(now.Sub(s.seen)))
}

// cost ranks targets: the expected time of a request, raised by the share of slots
// in use and divided by the square of the success rate, so that a target that fails
// fast is not preferred.
func (s *targetState) cost(now time.Time, usual float64) float64 {
	p := math.Max(minSuccess, s.successAt(now))
	used := float64(s.inFlight) / math.Max(1, s.limit)
	return s.latencyAt(now, usual) * (1 + used) / (p * p)
}

// good reports whether the target is neither slow nor failing.
func (s *targetState) good(now time.Time, usual float64) bool {
	if s.latency <= slowFactor*usual && s.success >= minGood {
		return true // forgetting only makes both better
	}
	return s.latencyAt(now, usual) <= slowFactor*usual && s.successAt(now) >= minGood
}

// forgotten is the weight that observations of that age have lost, from 0 to 1.
func forgotten(age time.Duration) float64 {
	if age <= 0 {
		return 0
	}
	return 1 - math.Exp(-age.Seconds()/forgetAfter.Seconds())
}

// blend is mix, but the first sample, when old is 0, counts in full.
func blend(old, sample, gain float64) float64 {
	if old == 0 {
		return sample
	}
	return mix(old, sample, gain)
}

func mix(old, sample, gain float64) float64 { return old + (sample-old)*gain }

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
