package host

import (
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/daisyfold/daisyfold/internal/engine/drain"
)

const (
	// deregistrationDelay is how long a stopping host keeps its listener open in any case,
	// until the load balancer has noticed that it is not ready.
	deregistrationDelay = 2500 * time.Millisecond
	// shutdownMargin is how long before the end of the grace period, after which the
	// platform kills the process, waiting requests get their final response. It is shorter
	// if the grace period is. It allows for a host without processor time, which notices
	// the signal late.
	shutdownMargin         = 1500 * time.Millisecond
	minGracePerMargin      = 4   // shortest grace period as a multiple of the margin
	maxDeregistrationShare = 0.5 // of the grace period
)

// Deadlines of a drain, as the time until the end of the grace period in multiples of the
// margin; waiting requests get their final response at 1.
const (
	refuseMarginFraction    = 1.5  // new requests are refused
	closeIdleMarginFraction = 0.88 // idle connections are closed
	cutMarginFraction       = 0.8  // all other connections are closed
	endMarginFraction       = 0.6  // the process ends
)

// shutdownDeadlines returns the deadlines of a drain that begins at start and must end
// within the grace period.
func shutdownDeadlines(start time.Time, grace time.Duration) drain.Deadlines {
	margin := min(shutdownMargin, grace/minGracePerMargin)
	before := func(fraction float64) time.Time {
		return start.Add(grace - time.Duration(fraction*float64(margin)))
	}
	return drain.Deadlines{
		Deregistered: start.Add(min(deregistrationDelay, time.Duration(maxDeregistrationShare*float64(grace)))),
		Refuse:       before(refuseMarginFraction), Answer: before(1), CloseIdle: before(closeIdleMarginFraction),
		Cut: before(cutMarginFraction), End: before(endMarginFraction),
	}
}

// beginStop reports the host as not ready and returns the deadlines of the stop.
func (h *Host) beginStop() drain.Deadlines {
	h.stopping.Store(true)
	if h.engine.Relay != nil {
		h.engine.Relay.Stop()
	}
	grace := time.Duration(h.gracePeriod.Load())
	h.log.Info("drain", zap.Duration("grace", grace))
	return shutdownDeadlines(time.Now(), grace)
}

// drain serves callers until they have closed their connections or the grace period is
// nearly over.
func (h *Host) drain(frontServer *drain.Server, d drain.Deadlines) {
	if unfinished := frontServer.Drain(d); unfinished > 0 {
		h.log.Warn("requests were still open at the end of the drain", zap.Int("connections", unfinished))
	}
}

// waitUntil waits until done is closed or the deadline has passed, and reports whether done
// was closed.
func waitUntil(done <-chan struct{}, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}

// waitForGroup returns the error of the group. At the deadline it gives up and returns nil:
// what still runs may be killed at any time.
func (h *Host) waitForGroup(group *errgroup.Group, deadline time.Time) error {
	done := make(chan struct{})
	var err error
	go func() { defer close(done); err = group.Wait() }()
	if !waitUntil(done, deadline) {
		h.log.Warn("the host did not stop in time")
		return nil
	}
	return err
}
