package scheduler

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// latePolls is what polls without an answer may still do to the next incarnations of a worker. A poll
// names the worker, but not its incarnation, and may be executed up to maxOrderDelay late. It renews
// the lease of runs that were started since, and acknowledges ends by the numbers of the former
// incarnation, which begin anew: an end that is forgotten before it was listed is never seen. Only polls
// of the same term can do so, since a worker refuses those of former owners from the first poll of this
// term on.
type latePolls struct {
	// acksUntil and renewalsUntil are the times until which ends may be acknowledged, and leases may
	// last longer than this term has granted.
	acksUntil, renewalsUntil time.Duration
}

// noteUnansweredAck notes that the poll in flight got no answer.
func (w *worker) noteUnansweredAck() {
	w.unansweredAckAt, w.ackSentAt = max(w.unansweredAckAt, w.ackSentAt), 0
}

// expectLatePolls notes what polls to an incarnation that has ended may do to the next ones.
func (t *term) expectLatePolls(ended *worker) {
	ended.noteUnansweredAck()
	id, now := work.WorkerID(ended.key), t.Now()
	late := t.latePolls[id]
	late.renewalsUntil = now + maxOrderDelay + t.maxLeaseDuration()
	if until := ended.unansweredAckAt + maxOrderDelay; ended.unansweredAckAt != 0 && until > late.acksUntil {
		late.acksUntil = until
		t.log.Info("worker gets no runs while a late poll may acknowledge their ends", zap.String("worker", id), zap.Duration("for", until-now))
	}
	t.latePolls[id] = late
}

// forgetLatePolls drops what late polls can no longer do.
func (t *term) forgetLatePolls(now time.Duration) {
	maps.DeleteFunc(t.latePolls, func(_ string, l latePolls) bool { return now >= max(l.acksUntil, l.renewalsUntil) })
}
