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

// appendTimeout bounds one append call. When it ends, the append's fate is open.
const appendTimeout = 5 * time.Second

// budget is the host's token bucket of appends.
type budget struct {
	share   func() float64
	limiter *rate.Limiter
}

func newBudget(share func() float64) *budget {
	return &budget{share: share, limiter: rate.NewLimiter(1, 1)}
}

// wait blocks until the host may send one append. A tenth of a second's share may
// be sent at once, and at least two appends, so that an idle host answers fast.
func (b *budget) wait(ctx context.Context) error {
	share := b.share()
	b.limiter.SetLimit(rate.Limit(share))
	b.limiter.SetBurst(max(2, int(math.Ceil(share/10))))
	return b.limiter.Wait(ctx)
}

// entry is one record between Append and its place in the log.
type entry struct {
	record Record
	data   []byte
	// waiters counts the Append calls that wait for the entry.
	waiters int
	// sent is set once an append with the record may have taken effect.
	sent bool
	// inFlight is set while an append with the record is being sent.
	inFlight bool
	done     chan struct{}
	offset   int64
	err      error
}

// stream is one stream's reader position, seen IDs and waiting records.
type stream struct {
	j            *LogJournal
	name         Stream
	appliers     []Applier
	judgesHealth bool
	next         int64 // owned by the reader

	mu        sync.Mutex
	seen      *seenIDs
	startHead int64 // head at the first read; -1 before
	replayed  bool
	applied   int64     // offset of the last applied record; -1 before
	headRead  time.Time // when the last read that reached the head was sent
	queue     []*entry  // in order of Append; entries in flight are not in it
	entries   map[string]*entry
	stopped   bool
	changed   chan struct{}
}

func newStream(j *LogJournal, name Stream) *stream {
	return &stream{
		j: j, name: name, seen: newSeenIDs(), startHead: -1, applied: -1,
		entries: make(map[string]*entry), changed: make(chan struct{}),
	}
}

// signal wakes everyone who waits on the stream. The lock must be held.
func (s *stream) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// wake lets the appenders look at the log's health again.
func (j *LogJournal) wake() {
	for _, s := range j.registered() {
		s.mu.Lock()
		s.signal()
		s.mu.Unlock()
	}
}

func (s *stream) append(ctx context.Context, r Record) (offset int64, err error) {
	ctx, span := tracing.StartChild(ctx, tracing.HopLog,
		attribute.String("stream", string(s.name)), attribute.String("kind", string(r.Kind)))
	defer func() { tracing.End(span, err) }()
	if r.Trace == "" {
		r.Trace = tracing.Traceparent(ctx)
	}
	e, err := s.enqueue(r)
	if err != nil {
		return 0, err
	}
	select {
	case <-e.done:
		return e.offset, e.err
	case <-ctx.Done():
		return s.abandon(e, ctx.Err())
	}
}

// enqueue adds a record, or joins an Append of the same record ID.
func (s *stream) enqueue(r Record) (*entry, error) {
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
	if seen && offset <= s.applied {
		return doneEntry(offset), nil
	}
	e := s.entries[r.ID]
	if e == nil {
		e = &entry{record: r, data: data, sent: seen, done: make(chan struct{})}
		s.entries[r.ID] = e
	}
	if e.waiters == 0 && !seen && !e.inFlight {
		s.queue = append(s.queue, e)
		s.signal()
	}
	e.waiters++
	return e, nil
}

func doneEntry(offset int64) *entry {
	e := &entry{offset: offset, done: make(chan struct{})}
	close(e.done)
	return e
}

// abandon ends one Append whose context ended. The last one withdraws the record.
func (s *stream) abandon(e *entry, cause error) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-e.done:
		return e.offset, e.err
	default:
	}
	e.waiters--
	if e.waiters == 0 && !e.inFlight {
		s.remove(e)
	}
	if e.sent || e.inFlight || e.waiters > 0 {
		return 0, trace.Wrap(ErrOpen, "record %s: %v", e.record.ID, cause)
	}
	return 0, trace.Wrap(ErrNotRecorded, "record %s: %v", e.record.ID, cause)
}

// remove forgets an entry. The lock must be held.
func (s *stream) remove(e *entry) {
	delete(s.entries, e.record.ID)
	for i, q := range s.queue {
		if q == e {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			break
		}
	}
	s.signal()
}

// confirm ends an entry that was read back and applied.
func (s *stream) confirm(id string, offset int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applied = offset
	e := s.entries[id]
	if e == nil {
		return
	}
	e.offset = offset
	close(e.done)
	s.remove(e)
}

// appendLoop sends waiting records in batches.
func (s *stream) appendLoop(ctx context.Context) {
	retry := newRetry()
	for s.waitForWork(ctx) {
		if s.j.budget.wait(ctx) != nil {
			return
		}
		batch := s.take()
		if len(batch) == 0 {
			continue
		}
		err := s.send(ctx, batch)
		if err == nil {
			retry.Reset()
			s.waitApplied(ctx, batch)
			continue
		}
		s.j.opts.Logger.Debug("append failed",
			zap.String("stream", string(s.name)), zap.Error(err))
		if !errors.Is(err, logservice.ErrNotApplied) {
			s.waitHeadAfter(ctx, s.j.opts.Now())
		}
		s.requeue(batch)
		sleep(ctx, retry.NextBackOff())
	}
}

// waitForWork waits until records wait and the log answers reads.
func (s *stream) waitForWork(ctx context.Context) bool {
	for {
		s.mu.Lock()
		waiting, changed := len(s.queue) > 0, s.changed
		s.mu.Unlock()
		delay, up := s.j.health.appendDelay()
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

// take removes the records of the next append from the queue.
func (s *stream) take() []*entry {
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

func (s *stream) send(ctx context.Context, batch []*entry) error {
	data := make([][]byte, len(batch))
	for i, e := range batch {
		data[i] = e.data
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	s.j.appends.Add(1)
	_, err := s.j.opts.Log.Append(ctx, string(s.name), data)
	if err != nil {
		s.j.failed.Add(1)
	}
	if err != nil && errors.Is(err, logservice.ErrNotApplied) {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range batch {
		e.sent = true
	}
	return err
}

// requeue puts records that were not found in the log back in front of the queue
// and forgets those that nobody waits for.
func (s *stream) requeue(batch []*entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var again []*entry
	for _, e := range batch {
		e.inFlight = false
		if s.entries[e.record.ID] != e {
			continue
		}
		if e.waiters == 0 {
			delete(s.entries, e.record.ID)
			continue
		}
		again = append(again, e)
	}
	s.queue = append(again, s.queue...)
	s.signal()
}

// waitApplied waits until the reader passed an acknowledged batch, so that a record
// which the log acknowledged but lost is sent again.
func (s *stream) waitApplied(ctx context.Context, batch []*entry) {
	s.waitHeadAfter(ctx, s.j.opts.Now())
	s.requeue(batch)
}

// waitHeadAfter waits for a read that was sent after t and reached the head, or
// until every record in flight was read.
func (s *stream) waitHeadAfter(ctx context.Context, t time.Time) {
	for {
		s.mu.Lock()
		reached, changed := s.headRead.After(t) || !s.anyInFlight(), s.changed
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
	for _, e := range s.entries {
		if e.inFlight {
			return true
		}
	}
	return false
}

func (s *stream) flush(ctx context.Context) error {
	for {
		s.mu.Lock()
		empty, changed := len(s.entries) == 0, s.changed
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

// stop fails all records when the journal closes.
func (s *stream) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for id, e := range s.entries {
		e.err = trace.Wrap(ErrNotRecorded, "the journal is closed")
		if e.sent || e.inFlight {
			e.err = trace.Wrap(ErrOpen, "the journal is closed")
		}
		close(e.done)
		delete(s.entries, id)
	}
	s.queue = nil
	s.signal()
}
