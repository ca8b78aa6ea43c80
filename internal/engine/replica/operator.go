package replica

import (
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/manifest"
	"github.com/daisyfold/daisyfold/internal/engine/store"
)

// OperatorChange is one decoded record of the operator.
type OperatorChange struct {
	// Manifest is set when the record is one.
	Manifest *manifest.Manifest
	// Zone is set when the record takes a zone out of use or back.
	Zone string
	Out  bool
	// WaveKey is set when the record asks for a wave of upkeep; Wave is nil when the
	// record was taken back.
	WaveKey string
	Wave    *Wave
}

// Wave asks for the upkeep of machines.
type Wave struct {
	Number   int64
	Machines []string
	Within   time.Duration // of the time when it was asked for
	Cap      int           // machines that may be down at once
}

// DecodeOperator reads a record of the operator. It returns an empty change for kinds
// that the engine does not use.
type DecodeOperator func(store.Record) (OperatorChange, error)

// Operator is the copy of what the operator wrote.
type Operator struct {
	mu       sync.Mutex
	decode   DecodeOperator
	manifest *manifest.Manifest
	out      map[string]bool
	waves    map[string]Wave
	notify   chan struct{}
	proof    func() (time.Duration, bool)
	log      *zap.Logger
}

// NewOperator returns an empty copy.
func NewOperator(decode DecodeOperator, log *zap.Logger) *Operator {
	return &Operator{decode: decode, out: map[string]bool{}, waves: map[string]Wave{}, notify: make(chan struct{}, 1), log: log}
}

// ProvedBy names the follower that fills the copy.
func (o *Operator) ProvedBy(f *Follower) { o.proof = f.Proof }

// View is the operator's will as this host knows it.
type View struct {
	Manifest *manifest.Manifest // nil before the first one was read
	// Age is how long ago the view is known to have been the newest.
	Age    time.Duration
	Proved bool
}

// View returns the manifest in force with the age of its proof.
func (o *Operator) View() View {
	age, ok := o.proof()
	o.mu.Lock()
	defer o.mu.Unlock()
	return View{Manifest: o.manifest, Age: age, Proved: ok}
}

// ZonesOut returns the zones whose workers get nothing new.
func (o *Operator) ZonesOut() map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[string]bool, len(o.out))
	for z := range o.out {
		out[z] = true
	}
	return out
}

// Waves returns the waves of upkeep that are asked for, by key.
func (o *Operator) Waves() map[string]Wave {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.waves)
}

// Changed receives after a change.
func (o *Operator) Changed() <-chan struct{} { return o.notify }

// Reset implements Sink.
func (o *Operator) Reset(records []store.Record) {
	o.mu.Lock()
	clear(o.out)
	clear(o.waves)
	o.mu.Unlock()
	o.Apply(records)
}

// Apply implements Sink.
func (o *Operator) Apply(records []store.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range records {
		change, err := o.decode(r)
		if err != nil {
			o.log.Error("an operator's record cannot be read; nothing changes", zap.String("key", r.Key), zap.Error(err))
			continue
		}
		o.applyOne(change)
	}
	select {
	case o.notify <- struct{}{}:
	default:
	}
}

func (o *Operator) applyOne(c OperatorChange) {
	if m := c.Manifest; m != nil && (o.manifest == nil || m.Version > o.manifest.Version) {
		o.log.Info("manifest in force", zap.Int64("version", m.Version), zap.Int("queues", len(m.Queues)))
		o.manifest = m
	}
	if c.WaveKey != "" {
		delete(o.waves, c.WaveKey)
		if c.Wave != nil {
			o.waves[c.WaveKey] = *c.Wave
		}
	}
	if c.Zone == "" || o.out[c.Zone] == c.Out {
		return
	}
	o.log.Info("zone changed", zap.String("zone", c.Zone), zap.Bool("out", c.Out))
	if c.Out {
		o.out[c.Zone] = true
	} else {
		delete(o.out, c.Zone)
	}
}
