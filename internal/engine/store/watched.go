package store

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// failureMemory is how long a failed call is taken as a sign that the next one fails too. One
// caller in this time pays for the attempt that shows whether the store has recovered.
const failureMemory = time.Second

// minTellingTimeout is the shortest timeout whose expiry shows a failure: a little less than that
// of a first attempt, which begins to count before the call.
const minTellingTimeout = minAttemptTimeout * 9 / 10

// Watched is a Store that remembers whether its last reads and its last writes failed. Calls
// of consumer groups are not counted.
type Watched struct {
	Store
	now           func() time.Duration
	reads, writes health
}

// Watch returns s with a memory of its failures. now is a steady clock.
func Watch(s Store, now func() time.Duration) *Watched { return &Watched{Store: s, now: now} }

// health holds when the last successful and the last failed call ended, in nanoseconds of the
// clock; 0 means never.
type health struct{ succeededAt, failedAt atomic.Int64 }

func (h *health) failing(now time.Duration) bool {
	failedAt := h.failedAt.Load()
	return failedAt > h.succeededAt.Load() && now-time.Duration(failedAt) < failureMemory
}

// ReadsFail reports whether the last read failed, less than failureMemory ago.
func (w *Watched) ReadsFail() bool { return w.reads.failing(w.now()) }

// WritesFail reports whether the last write failed, less than failureMemory ago. Failing reads
// count too unless a write has succeeded after them.
func (w *Watched) WritesFail() bool {
	now := w.now()
	if w.writes.failing(now) {
		return true
	}
	return w.reads.failing(now) && w.writes.succeededAt.Load() < w.reads.failedAt.Load()
}

// note records the result of a call that began at start. A call that its caller has cancelled
// shows nothing, and neither does one with a timeout that a slow store exceeds.
func (w *Watched) note(h *health, start time.Duration, err error) {
	var sequence *SequenceError
	switch {
	case errors.Is(err, context.Canceled):
	case errors.Is(err, context.DeadlineExceeded) && w.now()-start < minTellingTimeout:
	case err == nil, errors.Is(err, ErrInvalid), errors.Is(err, ErrFenced), errors.Is(err, ErrConflict),
		errors.Is(err, ErrHistoryGone), errors.As(err, &sequence):
		h.succeededAt.Store(int64(w.now()))
	default:
		h.failedAt.Store(int64(w.now()))
	}
}

// Append implements Store.
func (w *Watched) Append(ctx context.Context, topic string, records []Record) (int64, error) {
	start := w.now()
	end, err := w.Store.Append(ctx, topic, records)
	w.note(&w.writes, start, err)
	return end, err
}

// AppendAt implements Store.
func (w *Watched) AppendAt(ctx context.Context, topic string, at int64, records []Record) (int64, error) {
	start := w.now()
	end, err := w.Store.AppendAt(ctx, topic, at, records)
	w.note(&w.writes, start, err)
	return end, err
}

// AppendFenced implements Store.
func (w *Watched) AppendFenced(ctx context.Context, topic string, position Position, records []Record) (int64, error) {
	start := w.now()
	end, err := w.Store.AppendFenced(ctx, topic, position, records)
	w.note(&w.writes, start, err)
	return end, err
}

// Read implements Store.
func (w *Watched) Read(ctx context.Context, topic string, from int64, wait time.Duration) ([]Record, int64, error) {
	start := w.now()
	records, end, err := w.Store.Read(ctx, topic, from, wait)
	w.note(&w.reads, start, err)
	return records, end, err
}

// Newest implements Store.
func (w *Watched) Newest(ctx context.Context, topic string) ([]Record, int64, error) {
	start := w.now()
	records, from, err := w.Store.Newest(ctx, topic)
	w.note(&w.reads, start, err)
	return records, from, err
}
