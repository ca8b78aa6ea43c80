package journal

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/logservice"
)

// ErrNotRecorded means that a record is not in the log and will never be sent.
var ErrNotRecorded = errors.New("record is not in the log and will not be sent")

// ErrOutcomeUnknown means that a record was sent and may or may not appear in the log.
var ErrOutcomeUnknown = errors.New("record was sent and may appear in the log")

// MaxAppendBytes is the maximum size of the records of one append.
const MaxAppendBytes = 256 << 10

// Options configures a LogJournal. Log is required.
type Options struct {
	Log  logservice.Log
	Host model.HostID
	// Now returns the current time with a monotonic clock reading. The default is
	// time.Now.
	Now func() time.Time
	// Rand returns a random number in [0, 1). The default is rand.Float64.
	Rand func() float64
	// AppendsPerSecond returns this host's current share of the append rate. The default
	// is a constant 1.
	AppendsPerSecond func() float64
	// Retention is how long the log keeps records. If it is 0, snapshotters are not
	// called.
	Retention time.Duration
	Logger    *zap.Logger
}

func (o *Options) setDefaults() {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Rand == nil {
		o.Rand = rand.Float64
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.AppendsPerSecond == nil {
		o.AppendsPerSecond = func() float64 { return 1 }
	}
}

// LogJournal implements Journal with the log service.
type LogJournal struct {
	opts          Options
	health        healthMonitor
	appendLimiter *appendLimiter
	copies        *CopyStore
	snapshotters  []Snapshotter

	appendCount, failedCount atomic.Int64

	mu      sync.Mutex
	streams map[Stream]*stream
	stopped bool
}

var _ Journal = (*LogJournal)(nil)

// New returns a journal. It reads and appends while Run is running.
func New(opts Options) *LogJournal {
	opts.setDefaults()
	j := &LogJournal{opts: opts, streams: make(map[Stream]*stream)}
	j.health.now = opts.Now
	j.appendLimiter = newAppendLimiter(opts.AppendsPerSecond)
	j.copies = newCopyStore(j)
	return j
}

// Register adds an applier of a stream. It must be called before Run.
func (j *LogJournal) Register(name Stream, a Applier) {
	s := j.getOrAddStream(name)
	s.appliers = append(s.appliers, a)
}

// RegisterSnapshotter adds a snapshotter. It must be called before Run.
func (j *LogJournal) RegisterSnapshotter(s Snapshotter) {
	j.snapshotters = append(j.snapshotters, s)
}

// AppendAsync queues records in order and does not wait for them to be appended. It is
// meant for records that took effect during an outage of the log. It reports whether all
// records were queued.
func (j *LogJournal) AppendAsync(records []StreamRecord) bool {
	for _, r := range records {
		s := j.findStream(r.Stream)
		if s == nil {
			return false
		}
		if _, err := s.enqueue(r.Record); err != nil {
			return false
		}
	}
	return true
}

// Copies returns the store of records copied from peers.
func (j *LogJournal) Copies() *CopyStore { return j.copies }

func (j *LogJournal) getOrAddStream(name Stream) *stream {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.streams[name]
	if s == nil {
		s = newStream(j, name)
		j.streams[name] = s
	}
	return s
}

func (j *LogJournal) findStream(name Stream) *stream {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.streams[name]
}

// Run reads and appends until ctx is done. It then fails all pending records.
func (j *LogJournal) Run(ctx context.Context) error {
	j.chooseHealthStream()
	g, ctx := errgroup.WithContext(ctx)
	for _, s := range j.allStreams() {
		g.Go(func() error { s.readLoop(ctx); return nil })
		g.Go(func() error { s.appendLoop(ctx); return nil })
	}
	g.Go(func() error { j.copies.run(ctx); return nil })
	g.Go(func() error { j.snapshotLoop(ctx); return nil })
	err := g.Wait()
	j.stop()
	return trace.Wrap(err)
}

func (j *LogJournal) allStreams() []*stream {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []*stream
	for _, s := range j.streams {
		out = append(out, s)
	}
	return out
}

// chooseHealthStream chooses the stream whose reads determine the state of the log: the
// config stream, which is polled most often, or any stream if the config stream is not
// registered.
func (j *LogJournal) chooseHealthStream() {
	if s := j.findStream(StreamConfig); s != nil {
		s.reportsHealth = true
		return
	}
	for _, s := range j.allStreams() {
		s.reportsHealth = true
		return
	}
}

func (j *LogJournal) stop() {
	j.mu.Lock()
	j.stopped = true
	j.mu.Unlock()
	for _, s := range j.allStreams() {
		s.stop()
	}
}

// Append implements Journal.
func (j *LogJournal) Append(ctx context.Context, name Stream, r Record) (int64, error) {
	s := j.findStream(name)
	if s == nil {
		return 0, trace.Wrap(ErrNotRecorded, "stream %s is not registered", name)
	}
	return s.append(ctx, r)
}

// SeenOffset returns the offset of a record that was read from the log, and false if the
// record is not among the last maxSeenIDs of the stream.
func (j *LogJournal) SeenOffset(name Stream, id string) (int64, bool) {
	s := j.findStream(name)
	if s == nil {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen.find(id)
}

// Stats counts append calls since the journal was created.
type Stats struct {
	Appends int64 // calls to the log service
	Failed  int64 // calls that failed or whose response was lost
}

// Stats returns the current counts.
func (j *LogJournal) Stats() Stats {
	return Stats{Appends: j.appendCount.Load(), Failed: j.failedCount.Load()}
}

// PendingCount returns the number of records that are queued or in flight.
func (j *LogJournal) PendingCount() int {
	n := 0
	for _, s := range j.allStreams() {
		s.mu.Lock()
		n += len(s.pending)
		s.mu.Unlock()
	}
	return n
}

// State implements Journal.
func (j *LogJournal) State() State { return j.health.state() }

// Replayed implements Journal.
func (j *LogJournal) Replayed(name Stream) bool {
	s := j.findStream(name)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replayed
}

// Flush waits until no record of any stream is queued or in flight. It returns the
// context's error if ctx is done before.
func (j *LogJournal) Flush(ctx context.Context) error {
	for _, s := range j.allStreams() {
		if err := s.flush(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// sleep waits for d. It returns false if ctx is done before.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
