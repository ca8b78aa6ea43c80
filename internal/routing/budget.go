package routing

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// RetryShare is the largest share of calls that may be retries.
	RetryShare = 0.1
	// retryReserve bounds the retries that quiet times save up for a burst.
	retryReserve = 50.0
)

// RetryBudget bounds retries to RetryShare of the calls so far. The zero value has
// nothing to spend, so the share holds from the first call on.
type RetryBudget struct{ saved float64 }

// Call notes a first attempt.
func (b *RetryBudget) Call() { b.saved = min(retryReserve, b.saved+RetryShare) }

// Spend reports whether a retry is allowed, and takes it from the budget.
func (b *RetryBudget) Spend() bool {
	if !b.Enough() {
		return false
	}
	b.saved = max(0, b.saved-1)
	return true
}

// Enough reports whether a retry would be allowed.
func (b *RetryBudget) Enough() bool {
	return b.saved >= 1-1e-9 // ten additions of 0.1 fall just short of 1
}

const (
	backoffFirst = 10 * time.Millisecond
	backoffMax   = 500 * time.Millisecond
)

// Backoff gives the delays between the attempts of one request: they double from
// 10 ms to 500 ms, and half of each is random.
type Backoff struct {
	delays *backoff.ExponentialBackOff
	random *rand.Rand
}

// NewBackoff returns the delays of one request. The global source of random numbers
// is used if random is nil.
func NewBackoff(random *rand.Rand) *Backoff {
	d := backoff.NewExponentialBackOff()
	d.InitialInterval = backoffFirst
	d.MaxInterval = backoffMax
	d.Multiplier = 2
	d.RandomizationFactor = 0 // the jitter is added from random, so that runs repeat
	return &Backoff{delays: d, random: random}
}

// Next returns the delay before the next attempt.
func (b *Backoff) Next() time.Duration { return jitter(b.delays.NextBackOff(), b.random) }

// Jitter returns a random duration of at least half of d and at most d.
func Jitter(d time.Duration) time.Duration { return jitter(d, nil) }

func jitter(d time.Duration, random *rand.Rand) time.Duration {
	half := int64(d / 2)
	if half <= 0 {
		return d
	}
	if random == nil {
		return d - time.Duration(rand.Int64N(half+1))
	}
	return d - time.Duration(random.Int64N(half+1))
}
