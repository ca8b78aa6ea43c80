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

// Manager owns the shards that membership assigns to this host.
type Manager struct {
	opts Options
	ctx  context.Context

	mu sync.Mutex
	// own are the shards of the own zone in the host list split.
	split   *hostlist.List
	own     []partition.Shard
	shards  map[model.ShardID]*Shard
	stopped bool
}

// NewManager returns a manager; Run starts it.
func NewManager(o Options) *Manager {
	if o.Metrics == nil {
		o.Metrics = NewMetrics(gometrics.NewRegistry())
	}
	return &Manager{opts: o, shards: map[model.ShardID]*Shard{}}
}

// Run follows the members, the host list, the configuration and the jobs until the
// context ends.
func (m *Manager) Run(ctx context.Context) {
	m.ctx = ctx
	b := m.opts.Board
	var wg sync.WaitGroup
	follow := func(n *blackboard.Notifier, f func()) {
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
	follow(&b.Members.Notifier, m.assign)
	follow(&b.Hosts.Notifier, m.assign)
	follow(&b.Config.Notifier, m.triggerAll)
	follow(&m.opts.Jobs.Notifier, m.triggerAll)
	wg.Wait()
}

// assign starts and stops shards so that they match membership.
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
	if m.split != list {
		m.split, m.own = list, partition.SplitZone(m.opts.Zone, list.Workers)
	}
	for _, p := range m.own {
		m.assignOne(p)
	}
}

func (m *Manager) assignOne(p partition.Shard) {
	owner, ok := m.opts.Owner(p.ID)
	mine := ok && owner == m.opts.Host
	s := m.shards[p.ID]
	switch {
	case mine && s == nil:
		m.shards[p.ID] = start(m.ctx, m.opts, p)
	case mine:
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

// Stop hands all shards over: operations end and the worker leases are released.
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
