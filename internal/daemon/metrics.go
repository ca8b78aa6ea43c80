package daemon

import (
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/calls"
	"github.com/daisyfold/daisyfold/internal/metrics"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/targetlink"
)

// countMaxAge is how long a count of the jobs serves. A count visits every job, so
// one serves all gauges of a scrape.
const countMaxAge = time.Second

// jobCounts keeps the last count of jobs by state.
type jobCounts struct {
	mu    sync.Mutex
	at    time.Time
	count map[model.JobState]int
}

func (c *jobCounts) get(d *Daemon, state model.JobState) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := d.Now(); c.count == nil || now.Sub(c.at) > countMaxAge {
		c.at, c.count = now, d.table.CountByState()
	}
	return int64(c.count[state])
}

// registerMetrics adds what the parts know to the registry.
func (d *Daemon) registerMetrics() {
	d.registerState()
	d.registerLog()
	d.registerCalls()
	d.registerTargets()
}

func (d *Daemon) gauge(name string, read func() int64) { metrics.Gauge(d.Registry, name, read) }

func (d *Daemon) counter(name string, read func() int64) { metrics.Counter(d.Registry, name, read) }

func (d *Daemon) registerState() {
	d.gauge("members.known", func() int64 { return int64(len(d.board.Members.List())) })
	d.gauge("members.alive", func() int64 { return int64(d.aliveHosts()) })
	d.gauge("config.version", d.sync.ConfigVersion)
	d.gauge("shards.owned", func() int64 { return int64(len(d.shards.Owned())) })
	d.gauge("evidence.ok", func() int64 {
		ok, _ := d.checker.Check(d.Settings.Zone)
		return metrics.Flag(ok)
	})
	counts := &jobCounts{}
	for _, state := range []model.JobState{
		model.JobWaiting, model.JobStarting, model.JobRunning,
		model.JobFinished, model.JobFailed, model.JobCancelled,
	} {
		d.gauge("jobs."+string(state), func() int64 { return counts.get(d, state) })
	}
}

func (d *Daemon) registerLog() {
	d.gauge("log.reachable", func() int64 { return metrics.Flag(d.journal.State().Reachable) })
	d.gauge("log.queue", func() int64 { return int64(d.journal.PendingCount()) })
	d.gauge("log.copies", func() int64 { return int64(d.journal.Copies().Len()) })
	d.counter("log.appends", func() int64 { return d.journal.Stats().Appends })
	d.counter("log.append_failures", func() int64 { return d.journal.Stats().Failed })
}

func (d *Daemon) registerCalls() {
	d.gauge("calls.active", func() int64 { return int64(d.calls.Stats().Active) })
	for name, read := range map[string]func(calls.Stats) int64{
		"requests":     func(s calls.Stats) int64 { return s.Requests },
		"answered":     func(s calls.Stats) int64 { return s.Answered },
		"not_run":      func(s calls.Stats) int64 { return s.NotRun },
		"ran":          func(s calls.Stats) int64 { return s.Ran },
		"unknown":      func(s calls.Stats) int64 { return s.Unknown },
		"shed":         func(s calls.Stats) int64 { return s.Shed },
		"attempts":     func(s calls.Stats) int64 { return s.Attempts },
		"retries":      func(s calls.Stats) int64 { return s.Retries },
		"lost_records": func(s calls.Stats) int64 { return s.LostRecords },
	} {
		d.counter("calls."+name, func() int64 { return read(d.calls.Stats()) })
	}
}

func (d *Daemon) registerTargets() {
	d.gauge("targets.listed", func() int64 { return int64(d.calls.TargetCounts().Listed) })
	d.gauge("targets.leaving", func() int64 { return int64(d.calls.TargetCounts().Leaving) })
	d.gauge("targets.open_breakers", func() int64 { return int64(d.calls.TargetCounts().BreakerOpen) })
	d.counter("targets.calls", func() int64 { return d.targetStats().Calls })
	d.counter("targets.crossed", func() int64 { return d.targetStats().Mismatched })
	d.counter("targets.broken", func() int64 { return d.targetStats().NoResponse })
}

// targetStats returns the counters of the client to targets, zero for one that counts
// nothing.
func (d *Daemon) targetStats() targetlink.Stats {
	c, ok := d.Outside.Targets.(interface{ Stats() targetlink.Stats })
	if !ok {
		return targetlink.Stats{}
	}
	return c.Stats()
}
