package scheduler

import (
	"time"

	"go.uber.org/zap"
)

// handleCrash handles the crash of a worker, which is known once its next incarnation, or
// another worker at its address, responds.
func (t *term) handleCrash(w *worker) {
	if w.crashHandled {
		return
	}
	w.crashHandled = true
	crashedAt := w.crashTime()
	for _, r := range w.sortedRuns() {
		if r.phase == runPlanned {
			continue
		}
		t.log.Warn("a run was on a worker that crashed", zap.Stringer("run", r.name), zap.String("worker", w.key),
			zap.Bool("start_answered", r.startedAt != 0), zap.Bool("inherited", r.inherited), zap.Duration("age", crashedAt-r.startedAt))
	}
}

// crashTime returns the estimated time of the worker's crash: the first failed poll, because
// the connection of a pending poll breaks with the worker. A worker that has missed no poll
// crashed after the last answered one was sent.
func (w *worker) crashTime() time.Duration {
	if w.missedPolls > 0 {
		return w.lostAt
	}
	return w.answeredAt
}
