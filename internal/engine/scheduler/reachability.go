package scheduler

import (
	"errors"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

const (
	// minReachableShare is the share of the workers that are alive of which an owner that is
	// only slow still reaches more.
	minReachableShare = 0.1
	// maxIsolation is how long an owner keeps its ownership while it reaches no more of them.
	maxIsolation = 2 * time.Second
	// isolationStandBack is how long such a host leaves ownership to others.
	isolationStandBack = 10 * time.Second
)

// errIsolated ends the term of an owner that cannot reach the workers.
var errIsolated = errors.New("the workers are alive but cannot be reached")

// checkIsolation ends the term if hardly any of the workers that are alive have been reached
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
	if float64(reached) >= minReachableShare*float64(reached+unreachable) {
		t.isolatedSince = 0
		return
	}
	if t.isolatedSince == 0 {
		t.isolatedSince = now
		t.log.Warn("hardly any worker can be reached", zap.Int("reached", reached), zap.Int("unreachable", unreachable))
	}
	if now-t.isolatedSince >= maxIsolation {
		t.endErr = trace.Wrap(errIsolated)
	}
}
