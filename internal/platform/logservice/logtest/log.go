// Package logtest provides an in-memory log service with retention and with faults that
// tests control: it can be down, unresponsive or slow, lose responses and apply appends
// late.
package logtest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/logservice"
)

// ErrNoResponse is the error of a call without a response; an append may have taken
// effect.
var ErrNoResponse = errors.New("no response")

// lateAppendDelay is the time from the error of a late append to its effect.
const lateAppendDelay = time.Second

// Faults holds the faults of a Log.
type Faults struct {
	// Down makes every call fail without effect. Unresponsive makes every call block
	// until its context ends.
	Down, Unresponsive bool
	// UnreachableFrom holds the hosts whose calls block until their context ends.
	UnreachableFrom map[model.HostID]bool
	Latency         time.Duration
	// LostResponse, LateAppend and RefusedAppend are shares of all appends, from 0 to 1:
	// those that take effect without a response, those that take effect after their
	// error, and those that fail without effect.
	LostResponse, LateAppend, RefusedAppend float64
}

// Counts holds the counters of a Log.
type Counts struct {
	Appends        int
	MaxAppendBytes int       // size of the largest append
	LateRecords    int       // records of appends that take effect after their error
	LastAppend     time.Time // zero before the first append
}

// Log is an in-memory log service. Use New to create one.
type Log struct {
	retention time.Duration

	mu           sync.Mutex
	rng          *rand.Rand
	faults       Faults
	counts       Counts
	records      map[string][][]byte
	appendTimes  map[string][]time.Time
	firstOffsets map[string]int64
	changed      chan struct{}
}

// New returns an empty log that drops records older than retention. seed determines which
// appends have faults.
func New(seed uint64, retention time.Duration) *Log {
	return &Log{
		retention: retention, rng: rand.New(rand.NewPCG(seed, 1)),
		records: make(map[string][][]byte), appendTimes: make(map[string][]time.Time),
		firstOffsets: make(map[string]int64), changed: make(chan struct{}),
		faults: Faults{Latency: time.Millisecond, UnreachableFrom: make(map[model.HostID]bool)},
	}
}

// SetFaults calls change to modify the faults.
func (l *Log) SetFaults(change func(*Faults)) { l.update(func() { change(&l.faults) }) }

// ClearFaults ends all faults except Latency and those that affect a share of appends.
func (l *Log) ClearFaults() {
	l.SetFaults(func(f *Faults) {
		f.Down, f.Unresponsive, f.UnreachableFrom = false, false, make(map[model.HostID]bool)
	})
}

// Counts returns the current counters.
func (l *Log) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Len returns the number of records that were ever appended to a stream.
func (l *Log) Len(stream string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records[stream])
}

// ForHost returns the log as the host can reach it.
func (l *Log) ForHost(host model.HostID) logservice.Log { return hostLog{l, host} }

// update calls f with the mutex held and wakes waiting reads.
func (l *Log) update(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	close(l.changed)
	l.changed = make(chan struct{})
}

// hostLog is the Log for the calls of one host.
type hostLog struct {
	*Log
	host model.HostID
}

// applyFaults delays the call and returns the error with which it fails before it takes
// effect, or nil.
func (l hostLog) applyFaults(ctx context.Context) error {
	l.mu.Lock()
	latency, down, unresponsive := l.faults.Latency, l.faults.Down, l.faults.Unresponsive || l.faults.UnreachableFrom[l.host]
	l.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return ErrNoResponse
	}
	select {
	case <-ctx.Done():
		return ErrNoResponse
	case <-time.After(latency):
	}
	if down {
		return fmt.Errorf("503: %w", logservice.ErrNotApplied)
	}
	return nil
}

// Append implements logservice.Log.
func (l hostLog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	if err := l.applyFaults(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	p := l.rng.Float64()
	f := l.faults
	l.counts.Appends++
	l.counts.LastAppend = time.Now()
	size := 0
	for _, r := range records {
		size += len(r)
	}
	l.counts.MaxAppendBytes = max(l.counts.MaxAppendBytes, size)
	l.mu.Unlock()
	switch {
	case p < f.RefusedAppend:
		return 0, logservice.ErrNotApplied
	case p < f.RefusedAppend+f.LostResponse:
		l.appendRecords(stream, records)
		return 0, ErrNoResponse
	case p < f.RefusedAppend+f.LostResponse+f.LateAppend:
		l.update(func() { l.counts.LateRecords += len(records) })
		time.AfterFunc(lateAppendDelay, func() { l.appendRecords(stream, records) })
		return 0, ErrNoResponse
	}
	return l.appendRecords(stream, records), nil
}

func (l *Log) appendRecords(stream string, records [][]byte) int64 {
	var offset int64
	l.update(func() {
		offset = int64(len(l.records[stream]))
		l.records[stream] = append(l.records[stream], records...)
		for range records {
			l.appendTimes[stream] = append(l.appendTimes[stream], time.Now())
		}
	})
	return offset
}

// Read implements logservice.Log.
func (l hostLog) Read(ctx context.Context, stream string, from int64, wait time.Duration, limit int) (logservice.Batch, error) {
	if err := l.applyFaults(ctx); err != nil {
		return logservice.Batch{}, err
	}
	deadline := time.After(wait)
	for {
		b, changed := l.readBatch(stream, from, limit)
		if len(b.Records) > 0 {
			return b, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return b, l.applyFaults(ctx)
		case <-ctx.Done():
			return b, ErrNoResponse
		}
	}
}

func (l *Log) readBatch(stream string, from int64, limit int) (logservice.Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.records[stream]
	for l.firstOffsets[stream] < int64(len(all)) && time.Since(l.appendTimes[stream][l.firstOffsets[stream]]) > l.retention {
		l.firstOffsets[stream]++
	}
	b := logservice.Batch{First: l.firstOffsets[stream], Head: int64(len(all))}
	for o := max(from, b.First); o < b.Head && len(b.Records) < limit; o++ {
		b.Records = append(b.Records, logservice.Record{Offset: o, Data: all[o]})
	}
	return b, l.changed
}
