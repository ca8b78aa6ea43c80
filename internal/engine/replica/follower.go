// Package replica keeps a copy of the store's topics at each host and knows how old its
// proof is that the copy is complete.
package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/boottime"
	"github.com/daisyfold/daisyfold/internal/engine/store"
)

// Waits of a follower whose store does not answer.
const (
	retryLeast = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// extraMost bounds the pause that is added after refusals; after each read that is
	// answered one part in extraDecay of it goes. Hundreds of hosts share the store's rate
	// of reads only if they return to it slowly. A host that must not pause, such as the
	// scheduler's, adds none.
	extraMost  = 2 * time.Second
	extraDecay = 8
)

// Sink takes a topic's records.
type Sink interface {
	// Reset replaces everything by the newest record of each key.
	Reset(records []store.Record)
	// Apply takes records in the topic's order.
	Apply(records []store.Record)
}

// Options of a follower.
type Options struct {
	Store store.Store
	Topic string
	Sink  Sink
	// Wait is how long a read waits at the store for a first record.
	Wait time.Duration
	// Pause returns the least time until the next read after one that brought records;
	// it trades freshness for calls. nil means none.
	Pause  func() time.Duration
	Now    boottime.Clock
	Logger *zap.Logger
}

// Follower copies one topic into a sink.
type Follower struct {
	Options
	// syncing has room for the one caller that reads in SharedSync.
	syncing  chan struct{}
	mu       sync.Mutex
	loaded   bool
	position int64
	// proved is when the read was sent whose answer last showed that the copy is
	// complete up to the topic's end.
	proved time.Duration
	// floor holds the offsets of the newest records that were loaded, until the
	// position has passed them all: older records of the same key must not follow.
	floor    map[string]int64
	floorEnd int64
	lost     bool
	// extra is added to the pause while the store refuses reads for their rate.
	extra  time.Duration
	caught chan struct{} // closed and replaced after each proof
}

// NewFollower returns a follower that copies nothing before Run.
func NewFollower(o Options) *Follower {
	return &Follower{Options: o, syncing: make(chan struct{}, 1), caught: make(chan struct{})}
}

// Proof returns how long ago the copy is known to have been complete.
func (f *Follower) Proof() (age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded || f.proved == 0 {
		return 0, false
	}
	return f.Now() - f.proved, true
}

// Run follows the topic until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for failures := 0; ctx.Err() == nil; {
		brought, err := f.once(ctx, f.Wait)
		if err != nil {
			f.report(err)
			failures++
			if errors.Is(err, store.ErrRefused) {
				f.extra = min(max(2*f.extra, retryLeast), extraMost)
			}
			pause(ctx, backoff(failures))
			continue
		}
		failures = 0
		f.report(nil)
		if f.Pause == nil {
			continue
		}
		if d := f.Pause(); d > 0 && brought {
			pause(ctx, d+f.extra)
		}
		f.extra -= f.extra / extraDecay
	}
	return ctx.Err()
}

// backoff doubles with each failure and is jittered, so that hosts do not return to
// the store together.
func backoff(failures int) time.Duration {
	d := min(retryLeast<<min(failures, 4), retryMost)
	return d/2 + rand.N(d/2)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// report logs when the store is lost for this topic and when it is back.
func (f *Follower) report(err error) {
	f.mu.Lock()
	was := f.lost
	f.lost = err != nil
	f.mu.Unlock()
	if err != nil && !was {
		f.Logger.Warn("store lost", zap.String("topic", f.Topic), zap.Error(err))
	}
	if err == nil && was {
		f.Logger.Info("store regained", zap.String("topic", f.Topic))
	}
}

// SharedSync is Sync for many callers: calls at the same time share a read, so one may
// wait for another's.
func (f *Follower) SharedSync(ctx context.Context) error {
	asked := f.Now()
	select {
	case f.syncing <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-f.syncing }()
	return f.syncSince(ctx, asked)
}

// Sync reads without waiting. After it, everything that was acknowledged before the call
// is in the copy.
func (f *Follower) Sync(ctx context.Context) error { return f.syncSince(ctx, f.Now()) }

// syncSince reads until the copy is proved complete at a time after asked.
func (f *Follower) syncSince(ctx context.Context, asked time.Duration) error {
	for {
		f.mu.Lock()
		done := f.loaded && f.proved >= asked
		f.mu.Unlock()
		if done {
			return nil
		}
		if _, err := f.once(ctx, 0); err != nil {
			return err
		}
	}
}

// once reads once and tells whether that brought records.
func (f *Follower) once(ctx context.Context, wait time.Duration) (bool, error) {
	f.mu.Lock()
	loaded, from := f.loaded, f.position
	f.mu.Unlock()
	if !loaded {
		return false, f.load(ctx)
	}
	sent := f.Now()
	records, end, err := f.Store.Read(ctx, f.Topic, from, wait)
	if errors.Is(err, store.ErrHistoryGone) {
		f.Logger.Warn("history is gone; loading the newest records", zap.String("topic", f.Topic), zap.Int64("offset", from))
		return false, f.load(ctx)
	}
	if err != nil {
		return false, err
	}
	f.take(records, end, sent)
	return len(records) > 0, nil
}

func (f *Follower) load(ctx context.Context) error {
	records, from, err := f.Store.Newest(ctx, f.Topic)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loaded && from < f.position {
		// A concurrent read is further on.
		return nil
	}
	f.floor = make(map[string]int64, len(records))
	f.floorEnd = 0
	live := records[:0:0]
	for _, r := range records {
		f.floor[r.Key] = r.Offset
		f.floorEnd = max(f.floorEnd, r.Offset)
		if len(r.Value) > 0 {
			live = append(live, r)
		}
	}
	f.Sink.Reset(live)
	f.loaded, f.position = true, from
	f.Logger.Info("loaded", zap.String("topic", f.Topic), zap.Int("records", len(live)), zap.Int64("offset", from))
	return nil
}

// take applies the records that are not in the copy yet.
func (f *Follower) take(records []store.Record, end int64, sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fresh := records[:0:0]
	for _, r := range records {
		if r.Offset < f.position {
			continue
		}
		f.position = r.Offset + 1
		if at, known := f.floor[r.Key]; r.Key != "" && (!known || r.Offset > at) {
			fresh = append(fresh, r)
		}
	}
	if f.position > f.floorEnd {
		f.floor = nil
	}
	if len(fresh) > 0 {
		f.Sink.Apply(fresh)
	}
	if f.position >= end && sent > f.proved {
		f.proved = sent
		close(f.caught)
		f.caught = make(chan struct{})
	}
}

// WaitFor waits until the copy reaches an offset.
func (f *Follower) WaitFor(ctx context.Context, offset int64) error {
	for {
		f.mu.Lock()
		reached, caught := f.loaded && f.position >= offset, f.caught
		f.mu.Unlock()
		if reached {
			return nil
		}
		if err := f.Sync(ctx); err == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-caught:
		case <-time.After(retryMost):
		}
	}
}
