package statetest

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

var errNoAnswer = errors.New("no answer")

// fakeLog is a log service in memory with faults.
type fakeLog struct {
	mu      sync.Mutex
	rng     *rand.Rand
	records map[string][][]byte
	times   map[string][]time.Time
	first   map[string]int64
	changed chan struct{}
	// down answers every call with an error; silent lets every call hang.
	down, silent bool
	cut          map[model.HostID]bool // hosts without a way to the log
	latency      time.Duration
	// lost is the share of appends that take effect without an answer, late the
	// share that takes effect a second after its error, refused that of 503.
	lost, late, refused float64
	appends             int
	lateRecords         int
	lastAppend          time.Time
	maxBytes            int
}

func newFakeLog(seed uint64) *fakeLog {
	return &fakeLog{
		rng: rand.New(rand.NewPCG(seed, 1)), records: make(map[string][][]byte),
		times: make(map[string][]time.Time), first: make(map[string]int64), changed: make(chan struct{}),
		cut: make(map[model.HostID]bool), latency: time.Millisecond,
	}
}

// set changes faults under the lock.
func (l *fakeLog) set(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	close(l.changed)
	l.changed = make(chan struct{})
}

// hostLog is the log as one host sees it.
type hostLog struct {
	*fakeLog
	host model.HostID
}

// fault delays the call and returns the error that it ends with before any effect.
func (l hostLog) fault(ctx context.Context) error {
	l.mu.Lock()
	latency, down, silent := l.latency, l.down, l.silent || l.cut[l.host]
	l.mu.Unlock()
	if silent {
		<-ctx.Done()
		return errNoAnswer
	}
	select {
	case <-ctx.Done():
		return errNoAnswer
	case <-time.After(latency):
	}
	if down {
		return fmt.Errorf("503: %w", logservice.ErrNotApplied)
	}
	return nil
}

func (l hostLog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	if err := l.fault(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	p := l.rng.Float64()
	l.appends++
	l.lastAppend = time.Now()
	size := 0
	for _, r := range records {
		size += len(r)
	}
	l.maxBytes = max(l.maxBytes, size)
	l.mu.Unlock()
	switch {
	case p < l.refused:
		return 0, logservice.ErrNotApplied
	case p < l.refused+l.lost:
		l.write(stream, records)
		return 0, errNoAnswer
	case p < l.refused+l.lost+l.late:
		l.set(func() { l.lateRecords += len(records) })
		time.AfterFunc(time.Second, func() { l.write(stream, records) })
		return 0, errNoAnswer
	}
	return l.write(stream, records), nil
}

func (l *fakeLog) write(stream string, records [][]byte) int64 {
	var at int64
	l.set(func() {
		at = int64(len(l.records[stream]))
		l.records[stream] = append(l.records[stream], records...)
		for range records {
			l.times[stream] = append(l.times[stream], time.Now())
		}
	})
	return at
}

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
			return b, errNoAnswer
		}
	}
}

func (l *fakeLog) batch(stream string, from int64, limit int) (logservice.Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.records[stream]
	for l.first[stream] < int64(len(all)) && time.Since(l.times[stream][l.first[stream]]) > testRetention {
		l.first[stream]++
	}
	b := logservice.Batch{First: l.first[stream], Head: int64(len(all))}
	for o := max(from, b.First); o < b.Head && len(b.Records) < limit; o++ {
		b.Records = append(b.Records, logservice.Record{Offset: o, Data: all[o]})
	}
	return b, l.changed
}
