package jobs

import (
	"sync"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/partition"
	"github.com/daisyfold/daisyfold/internal/planner"
	"github.com/daisyfold/daisyfold/internal/platform/hostlist"
)

// limits answers which shards can ever run a job. Reading the capacities of 7,500
// workers takes milliseconds, so the result is kept until the host list changes.
type limits struct {
	mu     sync.Mutex
	list   *hostlist.List
	all    *planner.Limits
	shards []shardLimits
}

type shardLimits struct {
	shard  partition.Shard
	limits *planner.Limits
}

// load reads a host list unless it is the one already read. The lock is held.
func (l *limits) load(list *hostlist.List) {
	if l.list == list {
		return
	}
	l.list = list
	l.all = nil
	l.shards = nil
	for _, sh := range partition.Split(list.Workers) {
		l.shards = append(l.shards, shardLimits{shard: sh, limits: planner.NewLimits(sh.Workers)})
	}
}

// check returns the limit that keeps a job from ever running, or nil.
func (l *limits) check(spec *model.JobSpec, list *hostlist.List) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load(list)
	for i := range l.shards {
		s := &l.shards[i]
		if s.admits(spec) {
			return nil
		}
	}
	// The limits of all workers at once take a megabyte and name the cause of a
	// refusal; they are read only for one.
	if l.all == nil {
		l.all = planner.NewLimits(list.Workers)
	}
	return l.all.Check(spec)
}

// admits reports whether the shard can run a job.
func (s *shardLimits) admits(spec *model.JobSpec) bool {
	inZone := spec.Zone == "" || spec.Zone == s.shard.ID.Zone
	return inZone && s.limits.Check(spec) == nil
}

// feasible returns the shards that can run a job.
func (l *limits) feasible(spec *model.JobSpec, list *hostlist.List) []partition.Shard {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load(list)
	var out []partition.Shard
	for i := range l.shards {
		s := &l.shards[i]
		if s.admits(spec) {
			out = append(out, s.shard)
		}
	}
	return out
}
