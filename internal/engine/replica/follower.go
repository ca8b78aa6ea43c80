// Package replica keeps copies of the store's topics on each host and tracks how stale
// they are.
package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/boottime"
	"github.com/daisyfold/daisyfold/internal/engine/recovery"
	"github.com/daisyfold/daisyfold/internal/engine/store"
)

// Delays after failed reads.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

const (
	// maxThrottleDelay bounds the delay that is added to the read interval after refused
	// reads. Each successful read reduces it by 1/throttleDecay. Hundreds of hosts share
	// the store's limit on the rate of reads, which works only if they increase their
	// rates slowly. A host without a read interval, such as the owner, adds no delay.
	maxThrottleDelay = 2 * time.Second
	throttleDecay    = 8
)

// Sink receives the records of a topic.
type Sink interface {
	// Reset replaces all state by the given records, the newest of each key.
	Reset(records []store.Record)
	// Apply applies further records in the order of the topic.
	Apply(records []store.Record)
}

// Sinks passes records on to several sinks, in this order.
type Sinks []Sink

// Reset implements Sink.
func (s Sinks) Reset(records []store.Record) {
	for _, sink := range s {
		sink.Reset(records)
	}
}

// Apply implements Sink.
func (s Sinks) Apply(records []store.Record) {
	for _, sink := range s {
		sink.Apply(records)
	}
}

// Options configure a follower.
type Options struct {
	Store store.Store
	Topic string
	Sink  Sink
	// MaxWait is how long a read waits at the store until a record is appended.
	MaxWait time.Duration
	// MinReadInterval returns the minimum time until the next read after a read that
	// returned records. A longer interval saves calls and makes the copy staler. nil
	// means no minimum.
	MinReadInterval func() time.Duration
	// StartDelay is how long Run waits before its first read. Sync does not wait.
	StartDelay time.Duration
	Now        boottime.Clock
	Logger     *zap.Logger
}

// Follower copies a topic into a sink.
type Follower struct {
	Options
	// syncing is a semaphore that admits one reader in SharedSync.
	syncing chan struct{}
	// sharedErr is why the last read in SharedSync failed, or nil if it did not, and
	// sharedErrAt when that read began. Both are guarded by syncing.
	sharedErr   error
	sharedErrAt time.Duration
	// loading is a semaphore that admits one reader in loadNewest.
	loading    chan struct{}
	mu         sync.Mutex
	loaded     bool  // the newest records have been loaded
	nextOffset int64 // offset of the next record to apply
	// syncedAt is when the last read was sent whose response showed that the copy was
	// complete up to the topic's end; 0 before the first one.
	syncedAt time.Duration
	// loadedOffsets holds the offset of each loaded record by key, until nextOffset has
	// passed them all. Older records of the same key must not be applied after it.
	loadedOffsets   map[string]int64
	maxLoadedOffset int64 // highest offset in loadedOffsets
	readFailing     bool  // the last read failed
	// gap is the longest time without a successful read among those that ended recently; it
	// ended at gapEnd. lastReadAt is when the last successful read ended.
	gap, gapEnd, lastReadAt time.Duration
	// throttleDelay is added to the read interval after refused reads.
	throttleDelay time.Duration
}

// NewFollower returns a follower, which starts to copy the topic in Run.
func NewFollower(o Options) *Follower {
	return &Follower{Options: o, syncing: make(chan struct{}, 1), loading: make(chan struct{}, 1)}
}

// Staleness returns how long ago the copy was last known to be complete. ok is false
// before that.
func (f *Follower) Staleness() (staleness time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded || f.syncedAt == 0 {
		return 0, false
	}
	return f.Now() - f.syncedAt, true
}

// recordRead records a successful read.
func (f *Follower) recordRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	if gap := now - f.lastReadAt; f.lastReadAt != 0 && (gap >= f.gap || now-f.gapEnd > f.gap) {
		f.gap, f.gapEnd = gap, now
	}
	f.lastReadAt = now
}

// LastGap returns the length of the last long time without a successful read, and when it
// ended. A time that has not ended counts up to now.
func (f *Follower) LastGap() (length, end time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := f.Now(); f.lastReadAt != 0 && now-f.lastReadAt > f.gap {
		return now - f.lastReadAt, now
	}
	return f.gap, f.gapEnd
}

// Run copies the topic until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	if f.StartDelay > 0 {
		sleep(ctx, f.StartDelay)
	}
	for failures := 0; ctx.Err() == nil; {
		hasRecords, err := f.readOnce(ctx, f.MaxWait)
		if err != nil {
			f.logAvailability(err)
			failures++
			if errors.Is(err, store.ErrRefused) {
				f.throttleDelay = min(max(2*f.throttleDelay, minRetryDelay), maxThrottleDelay)
			}
			sleep(ctx, retryDelay(failures))
			continue
		}
		failures = 0
		f.recordRead()
		f.logAvailability(nil)
		if f.MinReadInterval == nil {
			continue
		}
		if d := f.MinReadInterval(); d > 0 && hasRecords {
			sleep(ctx, d+f.throttleDelay)
		}
		f.throttleDelay -= f.throttleDelay / throttleDecay
	}
	return ctx.Err()
}

// retryDelay returns an exponential delay with jitter, so that the hosts do not call the
// store at the same time.
func retryDelay(failures int) time.Duration {
	d := min(minRetryDelay<<min(failures, 4), maxRetryDelay)
	return d/2 + rand.N(d/2)
}

// sleep waits until d has passed or the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// logAvailability logs when reads of the topic begin to fail and when they succeed again.
func (f *Follower) logAvailability(err error) {
	f.mu.Lock()
	wasFailing := f.readFailing
	f.readFailing = err != nil
	f.mu.Unlock()
	if err != nil && !wasFailing {
		f.Logger.Warn("store lost", zap.String("topic", f.Topic), zap.Error(err))
	}
	if err == nil && wasFailing {
		f.Logger.Info("store regained", zap.String("topic", f.Topic))
	}
}

// SharedSync is like Sync, but concurrent calls share a read and its failure, so a call may
// wait for the read of another one.
func (f *Follower) SharedSync(ctx context.Context) error {
	since := f.Now()
	select {
	case f.syncing <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-f.syncing }()
	if f.sharedErr != nil && f.sharedErrAt >= since {
		return f.sharedErr
	}
	began := f.Now()
	err := f.syncSince(ctx, since)
	if err == nil || ctx.Err() == nil {
		f.sharedErr, f.sharedErrAt = err, began
	}
	return err
}

// Sync reads until the copy contains all records that were acknowledged before the call.
// The reads do not wait for new records.
func (f *Follower) Sync(ctx context.Context) error { return f.syncSince(ctx, f.Now()) }

// syncSince reads until the copy is known to be complete as of the time since.
func (f *Follower) syncSince(ctx context.Context, since time.Duration) error {
	for {
		f.mu.Lock()
		done := f.loaded && f.syncedAt >= since
		f.mu.Unlock()
		if done {
			return nil
		}
		if _, err := f.readOnce(ctx, 0); err != nil {
			return err
		}
	}
}

// readOnce reads once and reports whether the read returned records. It loads the newest
// records first if that has not been done or if the store has deleted records that were
// not read.
func (f *Follower) readOnce(ctx context.Context, wait time.Duration) (hasRecords bool, err error) {
	err = recovery.Call(func() (err error) {
		hasRecords, err = f.read(ctx, wait)
		return err
	})
	var panicErr *recovery.PanicError
	if errors.As(err, &panicErr) {
		f.Logger.Error("reading a topic failed unexpectedly", zap.String("topic", f.Topic), zap.Error(err), zap.String("stack", panicErr.Stack))
		f.mu.Lock()
		defer f.mu.Unlock()
		f.loaded = false // some of the records may not have been applied
	}
	return hasRecords, err
}

func (f *Follower) read(ctx context.Context, wait time.Duration) (bool, error) {
	f.mu.Lock()
	loaded, from := f.loaded, f.nextOffset
	f.mu.Unlock()
	if !loaded {
		return false, f.loadNewest(ctx, from)
	}
	sent := f.Now()
	records, end, err := f.Store.Read(ctx, f.Topic, from, wait)
	if errors.Is(err, store.ErrHistoryGone) {
		f.Logger.Warn("history is gone; loading the newest records", zap.String("topic", f.Topic), zap.Int64("offset", from))
		return false, f.loadNewest(ctx, from)
	}
	if err != nil {
		return false, err
	}
	f.apply(records, end, sent)
	return len(records) > 0, nil
}

// loadNewest replaces the copy by the newest record of each key. Concurrent calls share a
// load: it does nothing if the copy has advanced beyond the offset at which the caller
// found it missing or incomplete.
func (f *Follower) loadNewest(ctx context.Context, missingFrom int64) error {
	select {
	case f.loading <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-f.loading }()
	f.mu.Lock()
	done := f.loaded && f.nextOffset > missingFrom
	f.mu.Unlock()
	if done {
		return nil
	}
	records, from, err := f.Store.Newest(ctx, f.Topic)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loaded && from < f.nextOffset {
		// A concurrent call has loaded or applied later records.
		return nil
	}
	f.loadedOffsets = make(map[string]int64, len(records))
	f.maxLoadedOffset = 0
	live := records[:0:0]
	for _, r := range records {
		if r.Key == "" {
			continue
		}
		f.loadedOffsets[r.Key] = r.Offset
		f.maxLoadedOffset = max(f.maxLoadedOffset, r.Offset)
		if len(r.Value) > 0 {
			live = append(live, r)
		}
	}
	f.Sink.Reset(live)
	f.loaded, f.nextOffset = true, from
	f.Logger.Info("loaded", zap.String("topic", f.Topic), zap.Int("records", len(live)), zap.Int64("offset", from))
	return nil
}

// apply applies the records that are not yet in the copy. end is the topic's end offset,
// and sent is when the read was sent.
func (f *Follower) apply(records []store.Record, end int64, sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	newRecords := records[:0:0]
	for _, r := range records {
		if r.Offset < f.nextOffset {
			continue
		}
		f.nextOffset = r.Offset + 1
		if at, known := f.loadedOffsets[r.Key]; r.Key != "" && (!known || r.Offset > at) {
			newRecords = append(newRecords, r)
		}
	}
	if f.nextOffset > f.maxLoadedOffset {
		f.loadedOffsets = nil
	}
	if len(newRecords) > 0 {
		f.Sink.Apply(newRecords)
	}
	if f.nextOffset >= end && sent > f.syncedAt {
		f.syncedAt = sent
	}
}
