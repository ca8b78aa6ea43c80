package replica

import (
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/manifest"
	"github.com/daisyfold/daisyfold/internal/engine/store"
)

// OperatorChange is a decoded record of the operators' topic. The fields of one kind of
// record are set.
type OperatorChange struct {
	// Manifest is a new version of the manifest.
	Manifest *manifest.Manifest
	// Zone is a zone that is taken out of service, if ZoneOut is set, or put back into
	// service.
	Zone    string
	ZoneOut bool
	// WaveKey is the key of a request for an upkeep wave. Wave is nil if the request was
	// withdrawn.
	WaveKey string
	Wave    *Wave
}

// Wave is a request for the upkeep of machines.
type Wave struct {
	Number    int64
	Machines  []string
	TimeLimit time.Duration `json:"Within"` // from the request to the end of the wave
	MaxDown   int           `json:"Cap"`    // number of machines that may be down at the same time
}

// DecodeOperator decodes a record of the operators' topic. It returns an empty change for
// kinds of records that the engine does not use.
type DecodeOperator func(store.Record) (OperatorChange, error)

// Operator is the copy of the operators' topic.
type Operator struct {
	mu        sync.Mutex
	decode    DecodeOperator
	manifest  *manifest.Manifest
	zonesOut  map[string]bool // zones that are out of service
	waves     map[string]Wave // by key
	notify    chan struct{}
	staleness func() (time.Duration, bool)
	rejected  *Rejections
	log       *zap.Logger
}

// NewOperator returns an empty copy.
func NewOperator(decode DecodeOperator, rejected *Rejections, log *zap.Logger) *Operator {
	return &Operator{decode: decode, rejected: rejected, zonesOut: map[string]bool{}, waves: map[string]Wave{}, notify: make(chan struct{}, 1), log: log}
}

// SetFollower sets the follower that fills the copy. It must be called before View.
func (o *Operator) SetFollower(f *Follower) { o.staleness = f.Staleness }

// View is the manifest in force with its staleness.
type View struct {
	Manifest *manifest.Manifest // nil until the first one was read
	// Staleness is how long ago the manifest was last known to be the newest one.
	Staleness      time.Duration
	StalenessKnown bool // Staleness is known
}

// View returns the manifest in force and its staleness.
func (o *Operator) View() View {
	age, ok := o.staleness()
	o.mu.Lock()
	defer o.mu.Unlock()
	return View{Manifest: o.manifest, Staleness: age, StalenessKnown: ok}
}

// ZonesOut returns the zones that are out of service, where no task may start.
func (o *Operator) ZonesOut() map[string]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[string]bool, len(o.zonesOut))
	for z := range o.zonesOut {
		out[z] = true
	}
	return out
}

// Waves returns the requested upkeep waves by key.
func (o *Operator) Waves() map[string]Wave {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.waves)
}

// Changed returns a channel that receives a value after records were applied.
func (o *Operator) Changed() <-chan struct{} { return o.notify }

// Reset implements Sink. A wave whose newest record cannot be decoded stays as it was.
func (o *Operator) Reset(records []store.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	former := maps.Clone(o.waves)
	clear(o.zonesOut)
	clear(o.waves)
	for _, r := range records {
		if wave, known := former[r.Key]; !o.applyRecord(r) && known {
			o.waves[r.Key] = wave
		}
	}
	o.notifyChange()
}

// Apply implements Sink. A record that cannot be decoded changes nothing.
func (o *Operator) Apply(records []store.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range records {
		o.applyRecord(r)
	}
	o.notifyChange()
}

func (o *Operator) notifyChange() {
	select {
	case o.notify <- struct{}{}:
	default:
	}
}

// applyRecord applies a record and reports whether it can be decoded.
func (o *Operator) applyRecord(r store.Record) bool {
	change, err := o.decode(r)
	if err != nil {
		o.rejected.Reject(r, err)
		return false
	}
	o.rejected.Accept(r.Key)
	o.applyChange(change)
	return true
}

func (o *Operator) applyChange(c OperatorChange) {
	if m := c.Manifest; m != nil && (o.manifest == nil || m.Version > o.manifest.Version) {
		o.log.Info("manifest in force", zap.Int64("version", m.Version), zap.Int("queues", len(m.Queues)))
		for _, f := range m.Findings() {
			o.log.Warn("manifest contradicts itself", zap.Int64("version", m.Version), zap.String("finding", f))
		}
		o.manifest = m
	}
	if c.WaveKey != "" {
		delete(o.waves, c.WaveKey)
		if c.Wave != nil {
			o.waves[c.WaveKey] = *c.Wave
		}
	}
	if c.Zone == "" || o.zonesOut[c.Zone] == c.ZoneOut {
		return
	}
	o.log.Info("zone changed", zap.String("zone", c.Zone), zap.Bool("out", c.ZoneOut))
	if c.ZoneOut {
		o.zonesOut[c.Zone] = true
	} else {
		delete(o.zonesOut, c.Zone)
	}
}
