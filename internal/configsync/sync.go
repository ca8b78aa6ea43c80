// Package configsync maintains the configuration in force. It computes the configuration
// from the records of the config stream (design D5), exchanges newer versions with peers,
// publishes operators' edits, and stores zone changes that cannot be appended while the log
// is down (design D4).
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
	// Parse parses a configuration text. If the error is a finding.List, the findings are
	// returned to the operator.
	Parse func([]byte) (*config.Config, error)
	// EditZone returns the text with the zone in or out of service.
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

// Sync maintains the configuration of one daemon. It applies the config stream and is the
// observer of membership.
type Sync struct {
	opts Options

	mu           sync.Mutex
	state        *configState
	knownVersion int64                  // highest version that is known to exist
	peersAhead   map[model.HostID]int64 // versions of peers that have a newer version than this host
	fetched      *fetchedSnapshot
	// unparsableVersion is the highest version whose text did not parse on this host.
	unparsableVersion int64
	pending           pendingChanges
	lastSnapshotAt    time.Time     // when the last snapshot in the log was applied
	changed           chan struct{} // closed and replaced by notifyChanged
}

// New returns a Sync. Before the journal and membership run, the caller must register it as
// the applier of the config stream, as a snapshotter and as the observer of membership.
func New(opts Options) *Sync {
	opts.setDefaults()
	s := &Sync{
		opts: opts, state: newConfigState(), peersAhead: make(map[model.HostID]int64),
		changed: make(chan struct{}),
	}
	s.pending.byID = make(map[string]*pendingChange)
	s.pending.droppedIDs = make(map[string]bool)
	return s
}

// Run fetches newer versions from peers and appends pending zone changes until ctx is done.
func (s *Sync) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { s.fetchLoop(ctx); return nil })
	g.Go(func() error { s.pendingLoop(ctx); return nil })
	return trace.Wrap(g.Wait())
}

// notifyChanged wakes the fetch loop. The lock must be held.
func (s *Sync) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Apply implements journal.Applier.
func (s *Sync) Apply(offset int64, r journal.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.apply(offset, r)
	if r.Kind == journal.KindConfigSnapshot && s.state.synced {
		s.lastSnapshotAt = s.opts.Now()
	}
	s.installState()
}

// HandleGap implements journal.GapObserver.
func (s *Sync) HandleGap(_, first int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.handleGap(first)
	s.notifyChanged()
}

// installState puts the version of the state in force if it is newer. The lock must be held.
func (s *Sync) installState() {
	if s.state.synced && s.state.version > 0 {
		s.installText(s.state.version, s.state.text, s.state.throughOffset)
		s.removeAccepted(s.state.acceptedEdits)
	}
	s.notifyChanged()
}

// installText parses a text and puts it in force if it is newer than the version in force.
// If the text does not parse, the older version stays in force, and starts on this host stop
// because a newer version is known. The lock must be held.
func (s *Sync) installText(version int64, text []byte, throughOffset int64) {
	s.knownVersion = max(s.knownVersion, version)
	if version <= s.versionInForce() || version <= s.unparsableVersion {
		return
	}
	parsed, err := s.opts.Parse(text)
	if err != nil {
		s.unparsableVersion = version
		s.opts.Logger.Error("a configuration version that was accepted elsewhere does not parse on this host",
			zap.Int64("version", version), zap.Error(err))
		s.addEvent("configuration version %d does not parse on this host: %v", version, err)
		return
	}
	s.opts.Board.Config.Put(&blackboard.Configuration{
		Version: version, Text: text, Parsed: parsed, ThroughOffset: throughOffset,
	})
	s.opts.Logger.Info("a new configuration version is in force", zap.Int64("version", version))
}

// versionInForce returns the version in force, or 0 if there is none.
func (s *Sync) versionInForce() int64 {
	if c := s.opts.Board.Config.Get(); c != nil {
		return c.Version
	}
	return 0
}

// KnownVersion returns the highest version that this host knows to exist.
func (s *Sync) KnownVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.knownVersion
}

// ConfigVersion implements membership.Observer.
func (s *Sync) ConfigVersion() int64 { return s.versionInForce() }

// LogState implements membership.Observer. While records are missing on this host, a read
// of the log is no evidence, so LastHeadRead is zero.
func (s *Sync) LogState() journal.State {
	state := s.opts.Journal.State()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.state.synced {
		state.LastHeadRead = time.Time{}
	}
	return state
}

// ready reports whether this host has the complete state and can evaluate edits.
func (s *Sync) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.synced && s.opts.Journal.Replayed(journal.StreamConfig)
}
