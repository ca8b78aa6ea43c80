// Package configsync keeps the configuration in force: it folds the config stream
// (design D5), spreads newer versions between peers, publishes operators' edits and
// holds zone changes that could not be appended while the log is down (D4).
package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/membership"
	"github.com/daisyfold/daisyfold/internal/model"
)

// Options configures a Sync. Logger, Now and Rand may be nil.
type Options struct {
	Board   *blackboard.Board
	Journal journal.Journal
	Members *membership.Membership
	// Parse reads an operators' text. A finding.List is reported to the operator.
	Parse func([]byte) (*config.Config, error)
	// EditZone rewrites a text so that the zone is in or out of service.
	EditZone func(text []byte, zone model.Zone, inService bool) ([]byte, error)
	// Retention is how long the log keeps records.
	Retention time.Duration
	Now       func() time.Time
	Rand      func() float64
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
}

// Sync keeps one daemon's configuration. It is the applier of the config stream and
// membership's observer.
type Sync struct {
	opts Options

	mu      sync.Mutex
	fold    *fold
	known   int64 // highest version heard of
	ahead   map[model.HostID]int64
	fetched *fetchedText
	// unreadable is the highest version whose text did not parse here.
	unreadable int64
	pending    pendingChanges
	keptAt     time.Time // when the last snapshot in the log was applied
	changed    chan struct{}
}

// New returns a Sync. The caller registers it as applier of the config stream, as
// snapshotter and as membership's observer before it runs them.
func New(opts Options) *Sync {
	opts.setDefaults()
	s := &Sync{
		opts: opts, fold: newFold(), ahead: make(map[model.HostID]int64),
		changed: make(chan struct{}),
	}
	s.pending.changes = make(map[string]*pendingChange)
	s.pending.dropped = make(map[string]bool)
	return s
}

// Run fetches newer versions from peers and appends pending zone changes.
func (s *Sync) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { s.fetchLoop(ctx); return nil })
	g.Go(func() error { s.pendingLoop(ctx); return nil })
	return trace.Wrap(g.Wait())
}

// signal wakes the loops and calls that wait for a change. The lock must be held.
func (s *Sync) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Apply implements journal.Applier.
func (s *Sync) Apply(offset int64, r journal.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fold.apply(offset, r)
	if r.Kind == journal.KindConfigSnapshot && s.fold.synced {
		s.keptAt = s.opts.Now()
	}
	s.install()
}

// HandleGap implements journal.GapObserver.
func (s *Sync) HandleGap(_, first int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fold.gap(first)
	s.signal()
}

// install puts the folded version in force if it is newer. The lock must be held.
func (s *Sync) install() {
	if s.fold.synced && s.fold.version > 0 {
		s.put(s.fold.version, s.fold.text, s.fold.through)
		s.resolve(s.fold.edits)
	}
	s.signal()
}

// put parses a text and puts it in force if it is newer than what is in force. A
// text that does not parse leaves the older one in force; the version is known
// then, which stops starts on this host.
func (s *Sync) put(version int64, raw []byte, through int64) {
	s.known = max(s.known, version)
	if version <= s.inForce() || version <= s.unreadable {
		return
	}
	text, err := s.opts.Parse(raw)
	if err != nil {
		s.unreadable = version
		s.opts.Logger.Error("text in force elsewhere does not parse here",
			zap.Int64("version", version), zap.Error(err))
		s.event("version %d does not parse here: %v", version, err)
		return
	}
	s.opts.Board.Config.Put(&blackboard.Configuration{
		Version: version, Raw: raw, Parsed: text, ThroughOffset: through,
	})
	s.opts.Logger.Info("configuration in force", zap.Int64("version", version))
}

func (s *Sync) inForce() int64 {
	if c := s.opts.Board.Config.Get(); c != nil {
		return c.Version
	}
	return 0
}

// Known returns the highest version that this host has heard of.
func (s *Sync) Known() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known
}

// ConfigVersion implements membership.Observer.
func (s *Sync) ConfigVersion() int64 { return s.inForce() }

// LogState implements membership.Observer. A reading of the log proves nothing
// while records are missing here, so LastHeadRead is zero then.
func (s *Sync) LogState() journal.State {
	state := s.opts.Journal.State()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fold.synced {
		state.LastHeadRead = time.Time{}
	}
	return state
}

// ready reports whether edits can be judged here.
func (s *Sync) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.synced && s.opts.Journal.Replayed(journal.StreamConfig)
}
