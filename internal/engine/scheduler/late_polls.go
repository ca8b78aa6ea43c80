package scheduler

import "go.uber.org/zap"

// A poll that got no answer may be executed up to maxOrderDelay later. It names the worker, but not its
// incarnation. Executed by the next one, it renews the lease of runs that were started since, and
// acknowledges ends by the numbers of the former incarnation, which begin anew: an end that is forgotten
// before it was listed is never seen. Only polls of the same term can do so, since the next
// incarnation refuses those of former owners from the first poll of this term on.

// noteUnansweredAck notes that the poll in flight got no answer.
func (w *worker) noteUnansweredAck() {
	w.unansweredAckAt, w.ackSentAt = max(w.unansweredAckAt, w.ackSentAt), 0
}

// expectLatePolls prepares a worker's next incarnation for polls that were sent to the former one.
func (t *term) expectLatePolls(former, next *worker) {
	former.noteUnansweredAck()
	now := t.Now()
	next.lateRenewalsUntil = now + maxOrderDelay + t.maxLeaseDuration()
	next.lateAcksUntil = max(next.lateAcksUntil, former.lateAcksUntil)
	if former.unansweredAckAt != 0 {
		next.lateAcksUntil = max(next.lateAcksUntil, former.unansweredAckAt+maxOrderDelay)
	}
	if now < next.lateAcksUntil {
		t.log.Info("worker gets no runs while a late poll may acknowledge their ends", zap.String("worker", next.key),
			zap.Duration("for", next.lateAcksUntil-now))
	}
}
