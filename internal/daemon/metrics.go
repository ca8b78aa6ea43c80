package daemon

import (
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/calls"
	"github.com/daisyfold/daisyfold/internal/metrics"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/targetlink"
)

// jobCountMaxAge is how long a count of the jobs is reused. Counting visits every job, so
// one count serves all gauges of a scrape.
const jobCountMaxAge = time.Second

// jobCountCache caches the number of jobs in each state.
type jobCountCache struct {
	mu        sync.Mutex
	countedAt time.Time
	byState   map[model.JobState]int
}

// get returns the number of jobs in a state, at most jobCountMaxAge old.
func (c *jobCountCache) get(d *Daemon, state model.JobState) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := d.Now(); c.byState == nil || now.Sub(c.countedAt) > jobCountMaxAge {
		c.countedAt, c.byState = now, d.jobTable.CountByState()
	}
	return int64(c.byState[state])
}

// registerMetrics registers the metrics that are read from the daemon's parts.
func (d *Daemon) registerMetrics() {
	d.registerStateMetrics()
	d.registerLogMetrics()
	d.registerCallMetrics()
	d.registerTargetMetrics()
}

func (d *Daemon) gauge(name string, read func() int64) { metrics.RegisterGauge(d.Registry, name, read) }

func (d *Daemon) counter(name string, read func() int64) {
	metrics.RegisterCounter(d.Registry, name, read)
}

func (d *Daemon) registerStateMetrics() {
	d.gauge("members.known", func() int64 { return int64(len(d.board.Members.List())) })
	d.gauge("members.alive", func() int64 { return int64(d.aliveHostCount()) })
	d.gauge("config.version", d.configSync.ConfigVersion)
	d.gauge("shards.owned", func() int64 { return int64(len(d.shards.Owned())) })
	d.gauge("evidence.ok", func() int64 {
		ok, _ := d.evidenceChecker.Check(d.Settings.Zone)
		return metrics.BoolValue(ok)
	})
	counts := &jobCountCache{}
	for _, state := range []model.JobState{
		model.JobWaiting, model.JobStarting, model.JobRunning,
		model.JobFinished, model.JobFailed, model.JobCancelled,
	} {
		d.gauge("jobs."+string(state), func() int64 { return counts.get(d, state) })
	}
}

func (d *Daemon) registerLogMetrics() {
	d.gauge("log.reachable", func() int64 { return metrics.BoolValue(d.journal.State().Reachable) })
	d.gauge("log.queue", func() int64 { return int64(d.journal.PendingCount()) })
	d.gauge("log.copies", func() int64 { return int64(d.journal.Copies().Len()) })
	d.counter("log.appends", func() int64 { return d.journal.Stats().Appends })
	d.counter("log.append_failures", func() int64 { return d.journal.Stats().Failed })
}

func (d *Daemon) registerCallMetrics() {
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

func (d *Daemon) registerTargetMetrics() {
	d.gauge("targets.listed", func() int64 { return int64(d.calls.TargetCounts().Listed) })
	d.gauge("targets.leaving", func() int64 { return int64(d.calls.TargetCounts().Leaving) })
	d.gauge("targets.open_breakers", func() int64 { return int64(d.calls.TargetCounts().BreakerOpen) })
	d.counter("targets.calls", func() int64 { return d.targetStats().Calls })
	d.counter("targets.crossed", func() int64 { return d.targetStats().AttemptMismatches })
	d.counter("targets.broken", func() int64 { return d.targetStats().NoResponse })
}

// targetStats returns the counters of the client that calls targets, or zeros if the
// client has no counters.
func (d *Daemon) targetStats() targetlink.Stats {
	source, ok := d.External.Targets.(interface{ Stats() targetlink.Stats })
	if !ok {
		return targetlink.Stats{}
	}
	return source.Stats()
}
