package host

import (
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/drain"
)

const (
	// deregistrationDelay is how long a stopping host keeps its listener open in any case,
	// until the load balancer has noticed that it is not ready.
	deregistrationDelay = 2500 * time.Millisecond
	// shutdownMargin is how long before the end of the grace period, after which the
	// platform kills the process, waiting requests get their final response. It is shorter
	// if the grace period is.
	shutdownMargin         = time.Second
	minGracePerMargin      = 6 // shortest grace period as a multiple of the margin
	refuseMarginFraction   = 1.5
	cutMarginFraction      = 0.7
	endMarginFraction      = 0.5
	maxDeregistrationShare = 0.5 // of the grace period
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
		Refuse:       before(refuseMarginFraction), Answer: before(1), Cut: before(cutMarginFraction), End: before(endMarginFraction),
	}
}

// drain reports the host as not ready and serves callers until they have closed their
// connections or the grace period is nearly over.
func (h *Host) drain(frontServer *drain.Server) {
	h.stopping.Store(true)
	h.log.Info("drain", zap.Duration("grace", h.settings.ShutdownGracePeriod))
	if unfinished := frontServer.Drain(shutdownDeadlines(time.Now(), h.settings.ShutdownGracePeriod)); unfinished > 0 {
		h.log.Warn("requests were still open at the end of the drain", zap.Int("connections", unfinished))
	}
}
