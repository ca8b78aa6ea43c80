package routing

import "time"

const (
	// breakerOpenThreshold is the failure score at which the breaker opens. The score
	// is the sum of the weights of the results since the last success: 5 failures or
	// 20 rejections open the breaker. Rejections weigh less because a target that
	// rejects may only be busy with other hosts' requests.
	breakerOpenThreshold = 20
	failureWeight        = 4
	rejectionWeight      = 1
	// breakerInitialOpenTime and breakerMaxOpenTime bound the time from opening to the
	// next probe. It doubles with each failed probe.
	breakerInitialOpenTime = time.Second
	breakerMaxOpenTime     = 16 * time.Second
	// breakerProbeSuccesses is the number of consecutive successful probes that close
	// the breaker.
	breakerProbeSuccesses = 2
)

// breaker is the circuit breaker of one target. While it is open, requests are sent
// only as probes, one at a time. The zero value is closed.
type breaker struct {
	failureScore   int           // sum of result weights since the last success, while closed
	openTime       time.Duration // time to the next probe after the last failure; 0 while closed
	nextProbe      time.Time     // earliest time of the next probe
	probeSuccesses int           // consecutive successful probes
	probeInFlight  bool
}

// isOpen reports whether the breaker allows only probes.
func (b *breaker) isOpen() bool { return b.openTime > 0 }

// allows reports whether a request or a probe may be sent at now.
func (b *breaker) allows(now time.Time) bool {
	return !b.isOpen() || (!b.probeInFlight && !now.Before(b.nextProbe))
}

// recordSent records that a request is sent and reports whether it is a probe.
func (b *breaker) recordSent() bool {
	b.probeInFlight = b.isOpen()
	return b.probeInFlight
}

// recordResult updates the breaker with the result of a request.
func (b *breaker) recordResult(now time.Time, kind ResultKind) {
	switch {
	case b.isOpen():
		b.recordProbe(now, kind == ResultOK)
		return
	case kind == ResultOK:
		b.failureScore = 0
		return
	case kind == ResultRejected:
		b.failureScore += rejectionWeight
	default:
		b.failureScore += failureWeight
	}
	if b.failureScore >= breakerOpenThreshold {
		b.trip(now, breakerInitialOpenTime)
	}
}

// recordProbe updates an open breaker with the result of a request. Results of
// requests that were sent before the breaker opened are ignored.
func (b *breaker) recordProbe(now time.Time, ok bool) {
	if !b.probeInFlight {
		return
	}
	b.probeInFlight = false
	if !ok {
		b.trip(now, min(2*b.openTime, breakerMaxOpenTime))
		return
	}
	b.probeSuccesses++
	if b.probeSuccesses >= breakerProbeSuccesses {
		*b = breaker{}
	}
}

// abandonProbe ends a probe whose result says nothing about the target.
func (b *breaker) abandonProbe() { b.probeInFlight = false }

// trip opens the breaker for openTime.
func (b *breaker) trip(now time.Time, openTime time.Duration) {
	*b = breaker{openTime: openTime, nextProbe: now.Add(openTime)}
}
