package routing

import "time"

const (
	// breakerLimit opens the breaker when the weights of the results since the last
	// success reach it: 5 failures, or 20 rejections, because a target that rejects
	// may only be busy with other hosts' requests.
	breakerLimit    = 20
	failureWeight   = 4
	rejectionWeight = 1
	// breakerFirst and breakerMax bound how long the breaker stays open. It
	// doubles with each failed probe.
	breakerFirst = time.Second
	breakerMax   = 16 * time.Second
	// breakerProbes is how many probes in a row must succeed to close it.
	breakerProbes = 2
)

// breaker stops requests to a target that fails, apart from single probes. The
// zero value is closed.
type breaker struct {
	weight  int           // of the results since the last success, while closed
	pause   time.Duration // 0 while closed
	until   time.Time     // no probe before
	passed  int           // successful probes in a row
	probing bool          // a probe is in flight
}

// open reports whether the breaker admits probes at most.
func (b *breaker) open() bool { return b.pause > 0 }

// admits reports whether a request may be sent at now.
func (b *breaker) admits(now time.Time) bool {
	return !b.open() || (!b.probing && !now.Before(b.until))
}

// begin notes that a request is sent and reports whether it is a probe.
func (b *breaker) begin() bool {
	b.probing = b.open()
	return b.probing
}

// observe takes in the end of a request.
func (b *breaker) observe(now time.Time, k ResultKind) {
	switch {
	case b.open():
		b.observeOpen(now, k == ResultOK)
		return
	case k == ResultOK:
		b.weight = 0
		return
	case k == ResultRejected:
		b.weight += rejectionWeight
	default:
		b.weight += failureWeight
	}
	if b.weight >= breakerLimit {
		b.trip(now, breakerFirst)
	}
}

// observeOpen ignores requests that were sent before the breaker opened.
func (b *breaker) observeOpen(now time.Time, ok bool) {
	if !b.probing {
		return
	}
	b.probing = false
	if !ok {
		b.trip(now, min(2*b.pause, breakerMax))
		return
	}
	b.passed++
	if b.passed >= breakerProbes {
		*b = breaker{}
	}
}

// abandon ends a probe without a verdict.
func (b *breaker) abandon() { b.probing = false }

func (b *breaker) trip(now time.Time, pause time.Duration) {
	*b = breaker{pause: pause, until: now.Add(pause)}
}
