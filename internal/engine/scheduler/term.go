package scheduler

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/blame"
	"github.com/daisyfold/daisyfold/internal/engine/quota"
	"github.com/daisyfold/daisyfold/internal/engine/recovery"
	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

const (
	// tickInterval is the interval of checks that depend on time only: lapsed leases,
	// repeated stops and polls.
	tickInterval = 50 * time.Millisecond
	// leaseRenewalGrace is how long leases are still renewed after ownership can no
	// longer be proved, so that an outage of the store does not end runs: with a lease of
	// 6 s, the outage may last 8 s. A successor waits that much longer for workers that
	// it cannot reach.
	leaseRenewalGrace = time.Second
	// lapseSlack allows for delays between a check on this host and the receipt of the
	// order at the worker.
	lapseSlack = 500 * time.Millisecond
)

const (
	// maxEventsPerRound limits the events that are processed in one round of the loop,
	// that is, before the resulting orders are sent.
	maxEventsPerRound = 512
	eventQueueSize    = 4096
)

// event is a change of the state of a term.
type event func(*term)

// term is one period of ownership.
type term struct {
	*Scheduler
	ctx   context.Context
	epoch int64
	began time.Duration
	// tookOver is set at the end of the takeover. The workers that were listed by then are logged
	// by their number only.
	tookOver bool
	bounds   Bounds
	log      *zap.Logger
	events   chan event
	jobs     map[string]*job
	workers  map[string]*worker // by worker key
	// latestKeys holds the key of each worker's latest incarnation that has answered, or of the
	// listed one while none has, by worker id.
	latestKeys map[string]string
	// incarnations holds the keys of all known incarnations of a worker by its id.
	incarnations map[string][]string
	// latePolls is what late polls may do to the current incarnations of workers, by worker id.
	latePolls map[string]latePolls
	// underusedSince is since when less than reservationMinUsedFraction of a service has been in
	// use, by service; only services with waiting steps are in it.
	underusedSince map[string]time.Duration
	// isolatedSince is since when hardly any worker that is alive can be reached; 0 if they can.
	isolatedSince time.Duration
	// lastJobAt is when the last new job was seen; 0 if none was in this term.
	lastJobAt time.Duration
	zonesOut  map[string]bool
	// formerLeasesEnd is when every lease that a former owner requested has lapsed.
	formerLeasesEnd time.Duration
	endErr          error // why the term ended
	// entriesWrittenAfter is oldestEntry at the takeover.
	entriesWrittenAfter time.Duration
	// losses are recent losses of workers with runs. suspects are the jobs with tasks that may
	// have crashed a worker.
	losses   []blame.Loss
	suspects map[*job]bool

	// marked workers are checked in this round; all workers are checked once per tick.
	marked    map[*worker]bool
	checkedAt time.Duration
	// orphansCheckedAt is when cancellations without a job were last checked for.
	orphansCheckedAt time.Duration
	needsPlanning    bool
	advice           adviceState
	waves            waveState
	firstPolls       firstPolls
	startQueue       startQueue
	stopsInFlight    inFlight[*run]
	// headroomLoggedAt is when the headroom was last logged.
	headroomLoggedAt time.Duration
	// quota is charged for the runs of all workers.
	quota *quota.Ledger
	caps  capState
	// nextPlanAt is when to plan again if nothing else requires it.
	nextPlanAt time.Duration
	recorder
}

// runTerm takes over and runs a term until the ownership in the epoch or the context ends.
// The error wraps store.ErrFenced or workers.ErrFenced if a later owner was seen.
func (s *Scheduler) runTerm(ctx context.Context, epoch int64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &term{
		Scheduler: s, ctx: ctx, epoch: epoch, began: s.Now(), bounds: *s.bounds.Load(),
		log:    s.Logger.With(zap.Int64("epoch", epoch)),
		events: make(chan event, eventQueueSize), jobs: map[string]*job{},
		workers: map[string]*worker{}, latestKeys: map[string]string{}, marked: map[*worker]bool{},
		firstPolls: firstPolls{inFlight: inFlight[*worker]{}}, startQueue: startQueue{inFlight: inFlight[*run]{}}, stopsInFlight: inFlight[*run]{}, suspects: map[*job]bool{}, quota: quota.NewLedger(), caps: newCapState(), advice: adviceState{queues: map[string]queueAdvice{}}, underusedSince: map[string]time.Duration{}, incarnations: map[string][]string{}, latePolls: map[string]latePolls{},
	}
	t.runWriter.topic = replica.TopicRuns
	t.publisher = newPublisher()
	defer t.removeOrganisationGauges()
	t.waves = waveState{active: map[string]*activeWave{}, writer: topicWriter{topic: t.StatusTopic}}
	if err := t.takeOver(); err != nil {
		return err
	}
	t.spawn(t.followWorkers)
	return t.loop()
}

// spawn runs f in a goroutine of the term. A panic ends the term, not the process.
func (t *term) spawn(f func()) {
	go func() {
		if err := recovery.Call(func() error { f(); return nil }); err != nil {
			t.post(func(t *term) { t.endErr = err })
		}
	}()
}

// post queues an event for the term's goroutine.
func (t *term) post(e event) {
	select {
	case t.events <- e:
	case <-t.ctx.Done():
	}
}

// loop processes events until the term ends, and returns why it ended.
func (t *term) loop() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var handle event
		select {
		case <-t.ctx.Done():
			return t.ctx.Err()
		case e := <-t.events:
			handle = func(t *term) { e(t); t.drainEvents() }
		case <-t.Jobs.Changed():
			handle = (*term).applySubmissions
		case <-t.Operator.Changed():
			handle = (*term).applyOperatorChanges
		case <-t.Elector.Changed():
		case <-ticker.C:
		}
		began := t.Now()
		t.publisher.loopAt.Store(int64(began))
		if handle != nil {
			handle(t)
		}
		if t.endErr != nil {
			return t.endErr
		}
		if _, ok := t.Elector.Expiry(t.epoch); !ok {
			return trace.Errorf("ownership was lost")
		}
		t.processChanges()
		t.recordRound(t.Now() - began)
	}
}

// slowRoundThreshold is the duration from which a round of the loop is logged: it delays
// the polls that renew leases, and every new job.
const slowRoundThreshold = 100 * time.Millisecond

// recordRound records how long a round of the loop took.
func (t *term) recordRound(took time.Duration) {
	t.metrics.roundTime.Update(took)
	if took > slowRoundThreshold {
		t.log.Warn("a round of the loop was slow", zap.Duration("took", took), zap.Int("queued_events", len(t.events)), zap.Int("jobs", len(t.jobs)))
	}
}

// drainEvents processes the queued events, but at most maxEventsPerRound.
func (t *term) drainEvents() {
	for range maxEventsPerRound {
		select {
		case e := <-t.events:
			e(t)
		default:
			return
		}
	}
}

// processChanges checks workers, plans, and writes changes after events were processed.
func (t *term) processChanges() {
	now := t.Now()
	if now-t.checkedAt >= tickInterval {
		t.checkedAt = now
		t.checkWorkers(now)
		t.forgetLatePolls(now)
		t.checkIsolation(now)
		t.forgetExpiredJobs()
		t.checkWaves(now)
		t.checkCaps(now)
	}
	t.checkMarkedWorkers(now)
	t.sendFirstPolls(now)
	t.sendQueuedStarts(now)
	if t.needsPlanning || now >= t.nextPlanAt {
		t.planQueue(now)
	}
	t.flush()
}

// mayOrder reports whether ownership is proved, so that new orders may be sent.
func (t *term) mayOrder() bool {
	at, ok := t.Elector.Expiry(t.epoch)
	return ok && t.Now() < at
}

// mayRenew reports whether leases may be renewed.
func (t *term) mayRenew() bool {
	at, ok := t.Elector.Expiry(t.epoch)
	return ok && t.Now() < at+leaseRenewalGrace
}

// endFenced ends the term because the named party has seen a later owner.
func (t *term) endFenced(by string) {
	t.log.Warn("a later owner was seen", zap.String("by", by))
	t.endErr = trace.Wrap(workers.ErrFenced)
}

// applySubmissions applies new jobs and cancellations from the local copy of the store.
func (t *term) applySubmissions() {
	for _, id := range t.Jobs.TakeChanged() {
		e, known := t.Jobs.Get(id)
		if !known || e.Job == nil {
			continue
		}
		j := t.jobs[id]
		if j == nil {
			// The job was submitted after the takeover, so it has no state record.
			j = t.addJob(e.Job, work.NewState(e.Job))
			j.publishedHeader = string(work.EncodeHeader(e.Status, e.Started))
			t.lastJobAt = t.Now()
			t.log.Info("job seen", zap.String("job", id), zap.Int("priority", j.Priority),
				zap.Int("steps", j.StepCount()), zap.Int("tasks", j.Steps[0].Tasks), zap.Int("chain_ms", j.CriticalPathMS()),
				zap.String("organisation", j.Organisation), zap.Bool("within_rate", t.quota.WithinRate(id)),
				zap.Int64("objective_ms", j.DeadlineMS(0)-j.AcceptedMS), zap.Int64("age_ms", t.WallClock().UnixMilli()-j.AcceptedMS))
		}
		if e.Cancelled {
			t.cancel(j)
		}
	}
	t.needsPlanning = true
}

func (t *term) addJob(submitted *work.Job, state *work.State) *job {
	j := &job{Job: submitted, state: state, runs: map[*run]bool{}, moves: map[work.TaskName]int{}, displaced: map[work.TaskName]int{}, starts: map[int]*retry{}, waitingSince: map[int]time.Duration{}, spreadableSince: map[int]time.Duration{}, claims: map[int]claim{}, advice: map[int]*advice{}}
	t.jobs[submitted.ID] = j
	t.quota.NoteJob(submitted.Organisation, submitted.ID, submitted.AcceptedMS)
	return j
}

// cancel ends a job at its caller's request.
func (t *term) cancel(j *job) {
	if j.cancelled || j.state.Status.Ended() {
		return
	}
	j.cancelled = true
	t.finish(j, work.Cancelled, "the caller cancelled it")
}

// finish ends a job with the given status and stops its remaining runs.
func (t *term) finish(j *job, status work.Status, why string) {
	j.state.Status = status
	j.state.EndedMS = t.WallClock().UnixMilli()
	j.state.Steps = nil
	t.log.Info("job ended", zap.String("job", j.ID), zap.String("status", string(rune(status))), zap.String("why", why),
		zap.Int64("after_ms", j.state.EndedMS-j.AcceptedMS))
	t.markDirty(j)
	for r := range j.runs {
		t.requestStop(r)
	}
	t.needsPlanning = true
}

// forgetExpiredJobs deletes ended jobs whose state need not be readable any longer.
func (t *term) forgetExpiredJobs() {
	if t.runWriter.busy {
		return
	}
	oldest := t.WallClock().Add(-t.bounds.StatusRetention - statusRetentionSlack).UnixMilli()
	for id, j := range t.jobs {
		if j.state.Status.Ended() && j.state.EndedMS < oldest && len(j.runs) == 0 {
			delete(t.jobs, id)
			t.quota.ForgetJob(id)
			t.forget(id)
		}
	}
	if now := t.Now(); now-t.orphansCheckedAt >= orphanCheckInterval {
		t.orphansCheckedAt = now
		for _, id := range t.Jobs.OrphanedCancellations(oldest) {
			t.forget(id)
		}
	}
}

// orphanCheckInterval is the time between two checks for cancellations without a job.
const orphanCheckInterval = 10 * time.Second

// statusRetentionSlack is added to StatusRetention, because the clocks of hosts differ.
const statusRetentionSlack = 30 * time.Second

// applyOperatorChanges applies the operator's changes to zones and upkeep waves.
func (t *term) applyOperatorChanges() {
	t.zonesOut = t.Operator.ZonesOut()
	t.updateCaps()
	t.updateAdvice()
	t.updateWaves()
	t.needsPlanning = true
}
