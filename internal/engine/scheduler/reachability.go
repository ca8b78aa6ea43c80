package scheduler

import (
	"errors"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

const (
	// maxIsolation is how long an owner keeps its ownership while it cannot reach most of the
	// workers that are alive.
	maxIsolation = 2 * time.Second
	// isolationStandBack is how long such a host leaves ownership to others.
	isolationStandBack = 10 * time.Second
)

// errIsolated ends the term of an owner that cannot reach most workers.
var errIsolated = errors.New("most workers are alive but cannot be reached")

// checkIsolation ends the term if most of the workers that are alive have not been reached
// for maxIsolation. A worker that does not answer is alive if it has written its entry since.
func (t *term) checkIsolation(now time.Duration) {
	reached, unreachable := 0, 0
	for _, w := range t.workers {
		switch {
		case !w.listed || w.dead:
		case w.missedPolls > 0 && w.entryWrittenAfter > w.lostAt:
			unreachable++
		case w.missedPolls == 0 && w.reached:
			reached++
		}
	}
	if unreachable <= reached {
		t.isolatedSince = 0
		return
	}
	if t.isolatedSince == 0 {
		t.isolatedSince = now
		t.log.Warn("most workers cannot be reached", zap.Int("reached", reached), zap.Int("unreachable", unreachable))
	}
	if now-t.isolatedSince >= maxIsolation {
		t.endErr = trace.Wrap(errIsolated)
	}
}
