package journal

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/platform/logservice"
)

const (
	// configPollWait bounds the age of start evidence: a read that finds nothing
	// proves the state at the moment it was sent, one wait ago.
	configPollWait = 300 * time.Millisecond
	// otherPollWait saves traffic on streams that carry no evidence.
	otherPollWait = 2 * time.Second
	// minReadTimeout and maxReadTimeout bound a read beyond its wait. The timeout
	// grows on a slow log, because a fixed one would never make progress there.
	minReadTimeout = 2 * time.Second
	maxReadTimeout = 16 * time.Second
	// maxReadRecords bounds the memory of one answer at 96 KB a record.
	maxReadRecords = 128
	// minRetry and maxRetry bound the pause after a failed call.
	minRetry = 50 * time.Millisecond
	maxRetry = 500 * time.Millisecond
)

// GapObserver is an Applier that wants to know when records before first are gone
// because the reader fell behind retention. from is the offset it wanted.
type GapObserver interface {
	HandleGap(from, first int64)
}

func newRetry() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetry
	b.MaxInterval = maxRetry
	return b
}

func (s *stream) pollWait() time.Duration {
	if s.name == StreamConfig {
		return configPollWait
	}
	return otherPollWait
}

// readLoop is the stream's only reader: it feeds the appliers in log order.
func (s *stream) readLoop(ctx context.Context) {
	retry := newRetry()
	timeout := minReadTimeout
	for ctx.Err() == nil {
		sent := s.j.opts.Now()
		batch, err := s.read(ctx, timeout)
		if ctx.Err() != nil {
			return
		}
		took := s.j.opts.Now().Sub(sent)
		if err != nil {
			s.readFailed(err)
			timeout = min(2*timeout, maxReadTimeout)
			sleep(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		timeout = max(minReadTimeout, min(3*(took-s.pollWait()), maxReadTimeout))
		s.accept(sent, batch)
		if len(batch.Records) == 0 && took < s.pollWait()/2 {
			// A log service that does not hold the poll must not be read in a loop.
			sleep(ctx, s.pollWait()/2)
		}
	}
}

func (s *stream) read(ctx context.Context, timeout time.Duration) (logservice.Batch, error) {
	wait := s.pollWait()
	if s.judgesHealth {
		s.j.health.begin(wait)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	return s.j.opts.Log.Read(ctx, string(s.name), s.next, wait, maxReadRecords)
}

func (s *stream) readFailed(err error) {
	before := s.j.State().Reachable
	if s.judgesHealth {
		s.j.health.fail()
	}
	if before && !s.j.State().Reachable {
		s.j.opts.Logger.Warn("log is unreachable", zap.Error(err))
	}
}

// accept applies one batch and then publishes what it proves about the log.
func (s *stream) accept(sent time.Time, b logservice.Batch) {
	if b.Head < s.next {
		s.j.opts.Logger.Error("head of the log moved back",
			zap.String("stream", string(s.name)), zap.Int64("next", s.next), zap.Int64("head", b.Head))
		s.readFailed(nil)
		return
	}
	if b.First > s.next {
		s.skipTo(b.First)
	}
	for _, r := range b.Records {
		if r.Offset < s.next {
			continue
		}
		if r.Offset > s.next {
			s.skipTo(r.Offset)
		}
		s.deliver(r)
	}
	atHead := s.next >= b.Head
	s.finishRead(sent, b.Head, atHead)
	if s.judgesHealth {
		wait := time.Duration(s.j.opts.Rand() * float64(maxResumeWait))
		s.j.health.succeed(atHead, wait)
		s.j.wake()
	}
}

// skipTo resumes at the first record that retention kept. The appliers start again
// from the snapshots that follow, so the stream counts as replayed only once its
// present head was read.
func (s *stream) skipTo(first int64) {
	s.j.opts.Logger.Warn("records are gone before they were read",
		zap.String("stream", string(s.name)), zap.Int64("from", s.next), zap.Int64("first", first))
	for _, a := range s.appliers {
		if g, ok := a.(GapObserver); ok {
			g.HandleGap(s.next, first)
		}
	}
	s.next = first
	s.mu.Lock()
	s.replayed = false
	s.startHead = -1
	s.mu.Unlock()
}

// deliver applies a record once and answers the Append that waits for it.
func (s *stream) deliver(r logservice.Record) {
	s.next = r.Offset + 1
	var rec Record
	if err := json.Unmarshal(r.Data, &rec); err != nil || rec.ID == "" {
		s.j.opts.Logger.Error("record is not readable",
			zap.String("stream", string(s.name)), zap.Int64("offset", r.Offset), zap.Error(err))
		return
	}
	s.mu.Lock()
	fresh := s.seen.add(rec.ID, r.Offset)
	s.mu.Unlock()
	if !fresh {
		return
	}
	for _, a := range s.appliers {
		a.Apply(r.Offset, rec)
	}
	s.confirm(rec.ID, r.Offset)
}

func (s *stream) finishRead(sent time.Time, head int64, atHead bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startHead < 0 {
		s.startHead = head
	}
	if s.next >= s.startHead {
		s.replayed = true
	}
	if atHead {
		s.headRead = sent
		s.signal()
	}
}
