package shard

import (
	"context"
	"sync"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/partition"
	"github.com/daisyfold/daisyfold/internal/platform/hostlist"
)

// Manager runs the shards that membership assigns to this host.
type Manager struct {
	opts Options
	ctx  context.Context

	mu sync.Mutex
	// zoneShards are the shards of this host's zone according to the host list splitFrom.
	splitFrom  *hostlist.List
	zoneShards []partition.Shard
	shards     map[model.ShardID]*Shard
	stopped    bool
}

// NewManager returns a Manager. It starts shards while Run is running.
func NewManager(o Options) *Manager {
	if o.Metrics == nil {
		o.Metrics = NewMetrics(gometrics.NewRegistry())
	}
	return &Manager{opts: o, shards: map[model.ShardID]*Shard{}}
}

// Run reacts to changes of the members, the host list, the configuration and the jobs until
// ctx is done.
func (m *Manager) Run(ctx context.Context) {
	m.ctx = ctx
	b := m.opts.Board
	var wg sync.WaitGroup
	watch := func(n *blackboard.Notifier, f func()) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				ch := n.Changed()
				f()
				select {
				case <-ctx.Done():
				case <-ch:
				}
			}
		}()
	}
	watch(&b.Members.Notifier, m.assign)
	watch(&b.Hosts.Notifier, m.assign)
	watch(&b.Config.Notifier, m.triggerAll)
	watch(&m.opts.Jobs.Notifier, m.triggerAll)
	wg.Wait()
}

// assign starts and stops shards according to membership and the host list.
func (m *Manager) assign() {
	list := m.opts.Board.Hosts.Get()
	if list == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	if m.splitFrom != list {
		m.splitFrom, m.zoneShards = list, partition.SplitZone(m.opts.Zone, list.Workers)
	}
	for _, p := range m.zoneShards {
		m.assignShard(p)
	}
}

func (m *Manager) assignShard(p partition.Shard) {
	owner, ok := m.opts.Owner(p.ID)
	owned := ok && owner == m.opts.Host
	s := m.shards[p.ID]
	switch {
	case owned && s == nil:
		m.shards[p.ID] = startShard(m.ctx, m.opts, p)
	case owned:
		s.setWorkers(p.Workers)
	case s != nil:
		delete(m.shards, p.ID)
		go s.stop(m.ctx)
	}
}

func (m *Manager) triggerAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.shards {
		s.trigger()
	}
}

// Stop hands over all shards: it waits for running operations and releases the workers'
// leases.
func (m *Manager) Stop(ctx context.Context) {
	m.mu.Lock()
	m.stopped = true
	shards := m.shards
	m.shards = map[model.ShardID]*Shard{}
	m.mu.Unlock()
	var wg sync.WaitGroup
	for _, s := range shards {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.stop(ctx)
		}()
	}
	wg.Wait()
}

// Owned returns the shards that this host plans.
func (m *Manager) Owned() []model.ShardID {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]model.ShardID, 0, len(m.shards))
	for id := range m.shards {
		out = append(out, id)
	}
	return out
}
