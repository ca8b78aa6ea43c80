package scheduler

import "time"

const (
	// minRetryDelay is the delay after the first failure of calls or orders for a step. It
	// doubles with each further one up to maxRetryDelay.
	minRetryDelay = 300 * time.Millisecond
	maxRetryDelay = 16 * minRetryDelay
)

// retry postpones calls or orders for one step that fail again and again, so that they leave
// room for those for other steps.
type retry struct {
	failures int           // since the last success
	at       time.Duration // earliest time of the next attempt
}

// fail records a failure.
func (r *retry) fail(now time.Duration) {
	r.at = now + min(minRetryDelay<<min(r.failures, 10), maxRetryDelay)
	r.failures++
}

// startRejected postpones further starts of a step that a worker has rejected as malformed: the
// next worker will probably do the same.
func (j *job) startRejected(step int, now time.Duration) {
	if j.starts[step] == nil {
		j.starts[step] = &retry{}
	}
	if now >= j.starts[step].at { // starts that were sent together count once
		j.starts[step].fail(now)
	}
}

// nextStartAt returns the earliest time of the next starts of a step; 0 means at once.
func (j *job) nextStartAt(step int) time.Duration {
	if r := j.starts[step]; r != nil {
		return r.at
	}
	return 0
}
