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
	if b.saved < 1-1e-9 { // ten additions of 0.1 fall just short of 1
		return false
	}
	b.saved = max(0, b.saved-1)
	return true
}

const (
	backoffFirst = 10 * time.Millisecond
	backoffMax   = 500 * time.Millisecond
)

// NewBackoff returns the delays between the attempts of one request: exponential
// between 10 ms and 500 ms, with half of each delay random.
func NewBackoff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = backoffFirst
	b.MaxInterval = backoffMax
	b.RandomizationFactor = 0.5
	return b
}

// Jitter returns a random duration of at least half of d and at most d.
func Jitter(d time.Duration) time.Duration {
	if d <= 1 {
		return d
	}
	return d/2 + rand.N(d/2)
}
