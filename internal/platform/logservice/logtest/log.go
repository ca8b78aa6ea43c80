// Package logtest is a log service in memory with faults that tests control: down,
// silent, slow, lost answers, late effects and retention.
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

// ErrNoAnswer ends a call whose answer never came; an append may have taken effect.
var ErrNoAnswer = errors.New("no answer")

// lateAfter is how long after its error a late append takes effect.
const lateAfter = time.Second

// Faults are the faults of a Log. Shares are of all appends, between 0 and 1.
type Faults struct {
	// Down answers every call with an error; Silent lets every call hang.
	Down, Silent bool
	// Cut are the hosts whose calls hang.
	Cut     map[model.HostID]bool
	Latency time.Duration
	// Lost is the share of appends that take effect without an answer, Late the
	// share that takes effect after its error, Refused that of 503.
	Lost, Late, Refused float64
}

// Counts are what a Log was asked to do.
type Counts struct {
	Appends     int
	MaxBytes    int // of one append
	LateRecords int
	LastAppend  time.Time
}

// Log is the log service. The zero value is not ready; use New.
type Log struct {
	retention time.Duration

	mu      sync.Mutex
	rng     *rand.Rand
	faults  Faults
	counts  Counts
	records map[string][][]byte
	times   map[string][]time.Time
	first   map[string]int64
	changed chan struct{}
}

// New returns an empty log that drops records after the retention.
func New(seed uint64, retention time.Duration) *Log {
	return &Log{
		retention: retention, rng: rand.New(rand.NewPCG(seed, 1)),
		records: make(map[string][][]byte), times: make(map[string][]time.Time),
		first: make(map[string]int64), changed: make(chan struct{}),
		faults: Faults{Latency: time.Millisecond, Cut: make(map[model.HostID]bool)},
	}
}

// Set changes the faults.
func (l *Log) Set(change func(*Faults)) { l.update(func() { change(&l.faults) }) }

// Heal ends all faults but latency and the shares of appends.
func (l *Log) Heal() {
	l.Set(func(f *Faults) {
		f.Down, f.Silent, f.Cut = false, false, make(map[model.HostID]bool)
	})
}

// Counts returns what happened so far.
func (l *Log) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Len returns the number of records that were ever written to a stream.
func (l *Log) Len(stream string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records[stream])
}

// For returns the log as one host sees it.
func (l *Log) For(host model.HostID) logservice.Log { return hostLog{l, host} }

func (l *Log) update(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	close(l.changed)
	l.changed = make(chan struct{})
}

type hostLog struct {
	*Log
	host model.HostID
}

// fault delays the call and returns the error that it ends with before any effect.
func (l hostLog) fault(ctx context.Context) error {
	l.mu.Lock()
	latency, down, silent := l.faults.Latency, l.faults.Down, l.faults.Silent || l.faults.Cut[l.host]
	l.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ErrNoAnswer
	}
	select {
	case <-ctx.Done():
		return ErrNoAnswer
	case <-time.After(latency):
	}
	if down {
		return fmt.Errorf("503: %w", logservice.ErrNotApplied)
	}
	return nil
}

// Append implements logservice.Log.
func (l hostLog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	if err := l.fault(ctx); err != nil {
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
	l.counts.MaxBytes = max(l.counts.MaxBytes, size)
	l.mu.Unlock()
	switch {
	case p < f.Refused:
		return 0, logservice.ErrNotApplied
	case p < f.Refused+f.Lost:
		l.write(stream, records)
		return 0, ErrNoAnswer
	case p < f.Refused+f.Lost+f.Late:
		l.update(func() { l.counts.LateRecords += len(records) })
		time.AfterFunc(lateAfter, func() { l.write(stream, records) })
		return 0, ErrNoAnswer
	}
	return l.write(stream, records), nil
}

func (l *Log) write(stream string, records [][]byte) int64 {
	var at int64
	l.update(func() {
		at = int64(len(l.records[stream]))
		l.records[stream] = append(l.records[stream], records...)
		for range records {
			l.times[stream] = append(l.times[stream], time.Now())
		}
	})
	return at
}

// Read implements logservice.Log.
func (l hostLog) Read(ctx context.Context, stream string, from int64, wait time.Duration, limit int) (logservice.Batch, error) {
	if err := l.fault(ctx); err != nil {
		return logservice.Batch{}, err
	}
	deadline := time.After(wait)
	for {
		b, changed := l.batch(stream, from, limit)
		if len(b.Records) > 0 {
			return b, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return b, l.fault(ctx)
		case <-ctx.Done():
			return b, ErrNoAnswer
		}
	}
}

func (l *Log) batch(stream string, from int64, limit int) (logservice.Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.records[stream]
	for l.first[stream] < int64(len(all)) && time.Since(l.times[stream][l.first[stream]]) > l.retention {
		l.first[stream]++
	}
	b := logservice.Batch{First: l.first[stream], Head: int64(len(all))}
	for o := max(from, b.First); o < b.Head && len(b.Records) < limit; o++ {
		b.Records = append(b.Records, logservice.Record{Offset: o, Data: all[o]})
	}
	return b, l.changed
}
