package routing

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// MaxRetryRatio is the maximum number of retries per call.
	MaxRetryRatio = 0.1
	// maxSavedRetries limits the unused retries that can be spent in one burst.
	maxSavedRetries = 50.0
)

// RetryBudget limits retries to MaxRetryRatio of the calls so far. The zero value
// allows no retry, so that the ratio holds from the first call on.
type RetryBudget struct{ savedRetries float64 }

// RecordCall adds the share of a retry that a first attempt earns.
func (b *RetryBudget) RecordCall() {
	b.savedRetries = min(maxSavedRetries, b.savedRetries+MaxRetryRatio)
}

// TakeRetry reports whether a retry is allowed and, if so, takes it from the budget.
func (b *RetryBudget) TakeRetry() bool {
	if !b.CanRetry() {
		return false
	}
	b.savedRetries = max(0, b.savedRetries-1)
	return true
}

// CanRetry reports whether a retry is allowed, without taking it from the budget.
func (b *RetryBudget) CanRetry() bool {
	return b.savedRetries >= 1-1e-9 // ten additions of 0.1 sum to slightly less than 1
}

const (
	backoffInitialDelay = 10 * time.Millisecond
	backoffMaxDelay     = 500 * time.Millisecond
)

// Backoff computes the delays between the attempts of one request: they double from
// 10 ms to 500 ms, and up to half of each is subtracted at random.
type Backoff struct {
	exponential *backoff.ExponentialBackOff
	rng         *rand.Rand
}

// NewBackoff returns the backoff of one request. If rng is nil, the global source of
// random numbers is used.
func NewBackoff(rng *rand.Rand) *Backoff {
	exponential := backoff.NewExponentialBackOff()
	exponential.InitialInterval = backoffInitialDelay
	exponential.MaxInterval = backoffMaxDelay
	exponential.Multiplier = 2
	// Next applies jitter from rng instead, so that simulations are reproducible.
	exponential.RandomizationFactor = 0
	return &Backoff{exponential: exponential, rng: rng}
}

// Next returns the delay before the next attempt.
func (b *Backoff) Next() time.Duration { return jitter(b.exponential.NextBackOff(), b.rng) }

// Jitter returns a random duration of at least half of d and at most d.
func Jitter(d time.Duration) time.Duration { return jitter(d, nil) }

// jitter is Jitter with the random numbers of rng, or of the global source if rng is nil.
func jitter(d time.Duration, rng *rand.Rand) time.Duration {
	half := int64(d / 2)
	if half <= 0 {
		return d
	}
	if rng == nil {
		return d - time.Duration(rand.Int64N(half+1))
	}
	return d - time.Duration(rng.Int64N(half+1))
}
