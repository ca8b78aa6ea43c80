package journal

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/daisyfold/daisyfold/internal/platform/logservice"
	"github.com/daisyfold/daisyfold/internal/tracing"
)

// appendTimeout bounds one append call. If it expires, the append may or may not have
// taken effect.
const appendTimeout = 5 * time.Second

// appendLimiter limits the rate of the host's appends with a token bucket.
type appendLimiter struct {
	perSecond func() float64 // current share of the append rate
	limiter   *rate.Limiter
}

func newAppendLimiter(perSecond func() float64) *appendLimiter {
	return &appendLimiter{perSecond: perSecond, limiter: rate.NewLimiter(1, 1)}
}

// wait blocks until the host may send one append. The burst is the number of appends
// allowed in a tenth of a second, but at least two, so that an idle host appends without
// delay.
func (l *appendLimiter) wait(ctx context.Context) error {
	perSecond := l.perSecond()
	l.limiter.SetLimit(rate.Limit(perSecond))
	l.limiter.SetBurst(max(2, int(math.Ceil(perSecond/10))))
	return l.limiter.Wait(ctx)
}

// pendingRecord is a record that was passed to Append or AppendAsync and has not been read
// back from the log.
type pendingRecord struct {
	record Record
	data   []byte
	// waiters counts the calls that want the record to be appended.
	waiters int
	// sent is set once an append of the record may have taken effect.
	sent bool
	// inFlight is set from the moment at which the record is taken for an append until it
	// was read back or requeued.
	inFlight bool
	done     chan struct{}
	offset   int64
	err      error
}

// stream holds the read position, the seen record IDs and the pending records of one
// stream.
type stream struct {
	journal       *LogJournal
	name          Stream
	appliers      []Applier
	reportsHealth bool
	nextOffset    int64 // offset of the next read; accessed by readLoop only

	mu            sync.Mutex
	seen          *seenIDs
	initialHead   int64 // head at the first read; -1 before
	replayed      bool
	appliedOffset int64                     // offset of the last applied record; -1 before
	lastHeadRead  time.Time                 // when the last read that reached the head was sent
	queue         []*pendingRecord          // in order of Append, without records in flight
	pending       map[string]*pendingRecord // by record ID, with records in flight
	stopped       bool
	changed       chan struct{} // closed and replaced by signalChange
}

func newStream(j *LogJournal, name Stream) *stream {
	return &stream{
		journal: j, name: name, seen: newSeenIDs(), initialHead: -1, appliedOffset: -1,
		pending: make(map[string]*pendingRecord), changed: make(chan struct{}),
	}
}

// signalChange wakes all goroutines that wait for a change of the stream. The caller must
// hold the lock.
func (s *stream) signalChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// signalStreams makes the append loops check the log's health again.
func (j *LogJournal) signalStreams() {
	for _, s := range j.allStreams() {
		s.mu.Lock()
		s.signalChange()
		s.mu.Unlock()
	}
}

func (s *stream) append(ctx context.Context, r Record) (offset int64, err error) {
	ctx, span := tracing.StartChild(ctx, tracing.HopLog,
		attribute.String("stream", string(s.name)), attribute.String("kind", string(r.Kind)))
	defer func() { tracing.End(span, err) }()
	if r.TraceParent == "" {
		r.TraceParent = tracing.Traceparent(ctx)
	}
	p, err := s.enqueue(r)
	if err != nil {
		return 0, err
	}
	select {
	case <-p.done:
		return p.offset, p.err
	case <-ctx.Done():
		return s.cancelWait(p, ctx.Err())
	}
}

// enqueue adds a record to the queue, or returns the pending record with the same ID. If
// the record was read back already, it returns a completed one.
func (s *stream) enqueue(r Record) (*pendingRecord, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, trace.Wrap(ErrNotRecorded, "record %s: %v", r.ID, err)
	}
	if len(data) > MaxAppendBytes {
		return nil, trace.Wrap(ErrNotRecorded, "record %s has %d bytes, more than %d", r.ID, len(data), MaxAppendBytes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil, trace.Wrap(ErrNotRecorded, "the journal is closed")
	}
	offset, seen := s.seen.find(r.ID)
	if seen && offset <= s.appliedOffset {
		return completedRecord(offset), nil
	}
	p := s.pending[r.ID]
	if p == nil {
		p = &pendingRecord{record: r, data: data, sent: seen, done: make(chan struct{})}
		s.pending[r.ID] = p
	}
	if p.waiters == 0 && !seen && !p.inFlight {
		s.queue = append(s.queue, p)
		s.signalChange()
	}
	p.waiters++
	return p, nil
}

func completedRecord(offset int64) *pendingRecord {
	p := &pendingRecord{offset: offset, done: make(chan struct{})}
	close(p.done)
	return p
}

// cancelWait ends an Append call whose context is done. If no other call waits for the
// record and it is not in flight, it is removed from the queue.
func (s *stream) cancelWait(p *pendingRecord, cause error) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-p.done:
		return p.offset, p.err
	default:
	}
	p.waiters--
	if p.waiters == 0 && !p.inFlight {
		s.removePending(p)
	}
	if p.sent || p.inFlight || p.waiters > 0 {
		return 0, trace.Wrap(ErrOutcomeUnknown, "record %s: %v", p.record.ID, cause)
	}
	return 0, trace.Wrap(ErrNotRecorded, "record %s: %v", p.record.ID, cause)
}

// removePending removes a pending record. The caller must hold the lock.
func (s *stream) removePending(p *pendingRecord) {
	delete(s.pending, p.record.ID)
	for i, q := range s.queue {
		if q == p {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			break
		}
	}
	s.signalChange()
}

// complete completes the pending record with the given ID, which was read back at offset
// and applied.
func (s *stream) complete(id string, offset int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appliedOffset = offset
	p := s.pending[id]
	if p == nil {
		return
	}
	p.offset = offset
	close(p.done)
	s.removePending(p)
}

// appendLoop appends queued records in batches until ctx is done.
func (s *stream) appendLoop(ctx context.Context) {
	retry := newBackOff()
	for s.waitForWork(ctx) {
		if s.journal.appendLimiter.wait(ctx) != nil {
			return
		}
		batch := s.takeBatch()
		if len(batch) == 0 {
			continue
		}
		err := s.sendBatch(ctx, batch)
		if err == nil {
			retry.Reset()
			s.confirmBatch(ctx, batch)
			continue
		}
		s.journal.opts.Logger.Debug("append failed",
			zap.String("stream", string(s.name)), zap.Error(err))
		if !errors.Is(err, logservice.ErrNotApplied) {
			s.waitForHeadRead(ctx, s.journal.opts.Now())
		}
		s.requeue(batch)
		sleep(ctx, retry.NextBackOff())
	}
}

// waitForWork waits until records are queued and the log answers reads. It returns false
// if ctx is done.
func (s *stream) waitForWork(ctx context.Context) bool {
	for {
		s.mu.Lock()
		waiting, changed := len(s.queue) > 0, s.changed
		s.mu.Unlock()
		delay, up := s.journal.health.appendDelay()
		if waiting && up && delay <= 0 {
			return ctx.Err() == nil
		}
		if waiting && up {
			if !sleep(ctx, delay) {
				return false
			}
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// takeBatch removes the records of the next append from the queue and marks them as in
// flight.
func (s *stream) takeBatch() []*pendingRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	size, n := 0, 0
	for n < len(s.queue) && (n == 0 || size+len(s.queue[n].data) <= MaxAppendBytes) {
		size += len(s.queue[n].data)
		s.queue[n].inFlight = true
		n++
	}
	batch := s.queue[:n:n]
	s.queue = s.queue[n:]
	return batch
}

// sendBatch appends a batch to the log. It marks the records as sent unless the log service
// reports that the append did not take effect.
func (s *stream) sendBatch(ctx context.Context, batch []*pendingRecord) error {
	data := make([][]byte, len(batch))
	for i, p := range batch {
		data[i] = p.data
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	s.journal.appendCount.Add(1)
	_, err := s.journal.opts.Log.Append(ctx, string(s.name), data)
	if err != nil {
		s.journal.failedCount.Add(1)
	}
	if err != nil && errors.Is(err, logservice.ErrNotApplied) {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range batch {
		p.sent = true
	}
	return err
}

// requeue returns the records of a batch that were not read back to the front of the
// queue. It drops those that no call waits for.
func (s *stream) requeue(batch []*pendingRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var unread []*pendingRecord
	for _, p := range batch {
		p.inFlight = false
		if s.pending[p.record.ID] != p {
			continue
		}
		if p.waiters == 0 {
			delete(s.pending, p.record.ID)
			continue
		}
		unread = append(unread, p)
	}
	s.queue = append(unread, s.queue...)
	s.signalChange()
}

// confirmBatch waits until the reader has passed an acknowledged batch, and requeues the
// records that were not read back: the log can lose records that it acknowledged.
func (s *stream) confirmBatch(ctx context.Context, batch []*pendingRecord) {
	s.waitForHeadRead(ctx, s.journal.opts.Now())
	s.requeue(batch)
}

// waitForHeadRead waits until a read that was sent after t has reached the head, or until
// no record is in flight.
func (s *stream) waitForHeadRead(ctx context.Context, t time.Time) {
	for {
		s.mu.Lock()
		reached, changed := s.lastHeadRead.After(t) || !s.anyInFlight(), s.changed
		s.mu.Unlock()
		if reached {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (s *stream) anyInFlight() bool {
	for _, p := range s.pending {
		if p.inFlight {
			return true
		}
	}
	return false
}

func (s *stream) flush(ctx context.Context) error {
	for {
		s.mu.Lock()
		empty, changed := len(s.pending) == 0, s.changed
		s.mu.Unlock()
		if empty {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// stop fails all pending records when the journal closes.
func (s *stream) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for id, p := range s.pending {
		p.err = trace.Wrap(ErrNotRecorded, "the journal is closed")
		if p.sent || p.inFlight {
			p.err = trace.Wrap(ErrOutcomeUnknown, "the journal is closed")
		}
		close(p.done)
		delete(s.pending, id)
	}
	s.queue = nil
	s.signalChange()
}
