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
	// configPollWait is the time for which a long poll of the config stream waits for
	// records. It limits the age of start evidence: a read without records proves the
	// state at the time it was sent, which is one wait ago.
	configPollWait = 300 * time.Millisecond
	// otherPollWait is the wait for streams that provide no start evidence. It is longer
	// to save traffic.
	otherPollWait = 2 * time.Second
	// minReadTimeout and maxReadTimeout bound the timeout of a read, in addition to its
	// wait. The timeout grows while the log is slow: with a fixed timeout, reads from a
	// log that is slower than that would never succeed.
	minReadTimeout = 2 * time.Second
	maxReadTimeout = 16 * time.Second
	// maxReadRecords bounds the memory of one response; a record has up to 96 KB.
	maxReadRecords = 128
	// minRetryDelay and maxRetryDelay bound the delay after a failed call.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// GapObserver is implemented by an Applier that must be told about records which the log
// dropped before they were read.
type GapObserver interface {
	// HandleGap is called when the records from offset from up to, but not including,
	// first are gone.
	HandleGap(from, first int64)
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetryDelay
	b.MaxInterval = maxRetryDelay
	return b
}

func (s *stream) pollWait() time.Duration {
	if s.name == StreamConfig {
		return configPollWait
	}
	return otherPollWait
}

// readLoop reads the stream and passes its records to the appliers in log order until ctx
// is done. It is the only reader of the stream.
func (s *stream) readLoop(ctx context.Context) {
	retry := newBackOff()
	timeout := minReadTimeout
	for ctx.Err() == nil {
		sent := s.journal.opts.Now()
		batch, err := s.read(ctx, timeout)
		if ctx.Err() != nil {
			return
		}
		elapsed := s.journal.opts.Now().Sub(sent)
		if err != nil {
			s.readFailed(err)
			timeout = min(2*timeout, maxReadTimeout)
			sleep(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		timeout = max(minReadTimeout, min(3*(elapsed-s.pollWait()), maxReadTimeout))
		s.processBatch(sent, batch)
		if len(batch.Records) == 0 && elapsed < s.pollWait()/2 {
			// The log service did not hold the long poll; avoid a busy loop.
			sleep(ctx, s.pollWait()/2)
		}
	}
}

func (s *stream) read(ctx context.Context, timeout time.Duration) (logservice.Batch, error) {
	wait := s.pollWait()
	if s.reportsHealth {
		s.journal.health.readStarted(wait)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	return s.journal.opts.Log.Read(ctx, string(s.name), s.nextOffset, wait, maxReadRecords)
}

func (s *stream) readFailed(err error) {
	wasReachable := s.journal.State().Reachable
	if s.reportsHealth {
		s.journal.health.readFailed()
	}
	if wasReachable && !s.journal.State().Reachable {
		s.journal.opts.Logger.Warn("log is unreachable", zap.Error(err))
	}
}

// processBatch applies the records of a batch and updates the state of the log. sent is
// the time at which the read was sent.
func (s *stream) processBatch(sent time.Time, batch logservice.Batch) {
	if batch.Head < s.nextOffset {
		s.journal.opts.Logger.Error("head of the log moved backwards",
			zap.String("stream", string(s.name)), zap.Int64("next", s.nextOffset), zap.Int64("head", batch.Head))
		s.readFailed(nil)
		return
	}
	if batch.First > s.nextOffset {
		s.skipTo(batch.First)
	}
	for _, r := range batch.Records {
		if r.Offset < s.nextOffset {
			continue
		}
		if r.Offset > s.nextOffset {
			s.skipTo(r.Offset)
		}
		s.applyRecord(r)
	}
	atHead := s.nextOffset >= batch.Head
	s.finishRead(sent, batch.Head, atHead)
	if s.reportsHealth {
		resumeDelay := time.Duration(s.journal.opts.Rand() * float64(maxResumeDelay))
		s.journal.health.readSucceeded(atHead, resumeDelay)
		s.journal.signalStreams()
	}
}

// skipTo continues at offset first, because the log has dropped the records before it.
// The appliers start again from the snapshots that follow, so the stream counts as
// replayed only after it was read up to its present head.
func (s *stream) skipTo(first int64) {
	s.journal.opts.Logger.Warn("the log dropped records before they were read",
		zap.String("stream", string(s.name)), zap.Int64("from", s.nextOffset), zap.Int64("first", first))
	for _, a := range s.appliers {
		if g, ok := a.(GapObserver); ok {
			g.HandleGap(s.nextOffset, first)
		}
	}
	s.nextOffset = first
	s.mu.Lock()
	s.replayed = false
	s.initialHead = -1
	s.mu.Unlock()
}

// applyRecord passes a record to the appliers, unless a record with the same ID was read
// before, and completes the Append calls that wait for it.
func (s *stream) applyRecord(r logservice.Record) {
	s.nextOffset = r.Offset + 1
	var decoded Record
	if err := json.Unmarshal(r.Data, &decoded); err != nil || decoded.ID == "" {
		s.journal.opts.Logger.Error("log record cannot be decoded",
			zap.String("stream", string(s.name)), zap.Int64("offset", r.Offset), zap.Error(err))
		return
	}
	s.mu.Lock()
	isNew := s.seen.add(decoded.ID, r.Offset)
	s.mu.Unlock()
	if !isNew {
		return
	}
	for _, a := range s.appliers {
		a.Apply(r.Offset, decoded)
	}
	s.complete(decoded.ID, r.Offset)
}

func (s *stream) finishRead(sent time.Time, head int64, atHead bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.initialHead < 0 {
		s.initialHead = head
	}
	if s.nextOffset >= s.initialHead {
		s.replayed = true
	}
	if atHead {
		s.lastHeadRead = sent
		s.signalChange()
	}
}
