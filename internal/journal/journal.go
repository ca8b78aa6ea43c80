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

// ErrNotRecorded says that a record is not in the log and will never be sent.
var ErrNotRecorded = errors.New("record is not in the log and will not be sent")

// ErrOpen says that a record was sent and that its fate is not known; it may
// appear in the log later.
var ErrOpen = errors.New("record was sent and may appear in the log")

// MaxAppendBytes bounds the record bytes of one append.
const MaxAppendBytes = 256 << 10

// Options configures a LogJournal. Log and AppendsPerSecond are required.
type Options struct {
	Log  logservice.Log
	Host model.HostID
	// Now returns the time with its monotonic reading; time.Now if nil.
	Now func() time.Time
	// Rand returns a number in [0, 1); math/rand if nil.
	Rand func() float64
	// AppendsPerSecond is this host's current share of the append rate.
	AppendsPerSecond func() float64
	// Retention is how long the log keeps records; 0 disables the periodic calls of
	// the snapshotters.
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

// LogJournal implements Journal on the log service.
type LogJournal struct {
	opts         Options
	health       health
	budget       *budget
	copies       *CopyStore
	snapshotters []Snapshotter

	appends, failed atomic.Int64

	mu      sync.Mutex
	streams map[Stream]*stream
	stopped bool
}

var _ Journal = (*LogJournal)(nil)

// New returns a journal that reads and appends once Run is called.
func New(opts Options) *LogJournal {
	opts.setDefaults()
	j := &LogJournal{opts: opts, streams: make(map[Stream]*stream)}
	j.health.now = opts.Now
	j.budget = newBudget(opts.AppendsPerSecond)
	j.copies = newCopyStore(j)
	return j
}

// Register adds an applier of a stream. It must be called before Run.
func (j *LogJournal) Register(name Stream, a Applier) {
	s := j.stream(name)
	s.appliers = append(s.appliers, a)
}

// RegisterSnapshotter adds an owner of records that must outlive retention. It must
// be called before Run.
func (j *LogJournal) RegisterSnapshotter(s Snapshotter) {
	j.snapshotters = append(j.snapshotters, s)
}

// AppendLater queues records in order without waiting, for records that took effect
// during an outage of the log. It reports whether all were queued.
func (j *LogJournal) AppendAsync(records []StreamRecord) bool {
	for _, r := range records {
		s := j.lookup(r.Stream)
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

func (j *LogJournal) stream(name Stream) *stream {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.streams[name]
	if s == nil {
		s = newStream(j, name)
		j.streams[name] = s
	}
	return s
}

func (j *LogJournal) lookup(name Stream) *stream {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.streams[name]
}

// Run reads and appends until ctx ends. Records that wait then are failed.
func (j *LogJournal) Run(ctx context.Context) error {
	j.chooseHealthStream()
	g, ctx := errgroup.WithContext(ctx)
	for _, s := range j.registered() {
		g.Go(func() error { s.readLoop(ctx); return nil })
		g.Go(func() error { s.appendLoop(ctx); return nil })
	}
	g.Go(func() error { j.copies.run(ctx); return nil })
	g.Go(func() error { j.snapshotLoop(ctx); return nil })
	err := g.Wait()
	j.stop()
	return trace.Wrap(err)
}

func (j *LogJournal) registered() []*stream {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []*stream
	for _, s := range j.streams {
		out = append(out, s)
	}
	return out
}

// chooseHealthStream lets one stream judge whether the log is reachable: the config
// stream, which is polled most often, or any stream if it is not registered.
func (j *LogJournal) chooseHealthStream() {
	if s := j.lookup(StreamConfig); s != nil {
		s.judgesHealth = true
		return
	}
	for _, s := range j.registered() {
		s.judgesHealth = true
		return
	}
}

func (j *LogJournal) stop() {
	j.mu.Lock()
	j.stopped = true
	j.mu.Unlock()
	for _, s := range j.registered() {
		s.stop()
	}
}

// Append implements Journal.
func (j *LogJournal) Append(ctx context.Context, name Stream, r Record) (int64, error) {
	s := j.lookup(name)
	if s == nil {
		return 0, trace.Wrap(ErrNotRecorded, "stream %s is not registered", name)
	}
	return s.append(ctx, r)
}

// Seen returns the offset of a record that was read from the log recently.
func (j *LogJournal) Seen(name Stream, id string) (int64, bool) {
	s := j.lookup(name)
	if s == nil {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen.find(id)
}

// Stats counts the appends since the journal was made.
type Stats struct {
	Appends int64 // sent to the log service
	Failed  int64 // failed, or their answer was lost
}

// Stats returns the counters.
func (j *LogJournal) Stats() Stats {
	return Stats{Appends: j.appends.Load(), Failed: j.failed.Load()}
}

// Waiting returns the number of records that were not read back yet.
func (j *LogJournal) Waiting() int {
	n := 0
	for _, s := range j.registered() {
		s.mu.Lock()
		n += len(s.entries)
		s.mu.Unlock()
	}
	return n
}

// State implements Journal.
func (j *LogJournal) State() State { return j.health.state() }

// Replayed implements Journal.
func (j *LogJournal) Replayed(name Stream) bool {
	s := j.lookup(name)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replayed
}

// Flush waits until no record of any stream waits or is being sent.
func (j *LogJournal) Flush(ctx context.Context) error {
	for _, s := range j.registered() {
		if err := s.flush(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// sleep waits for d and reports whether ctx is still live.
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
