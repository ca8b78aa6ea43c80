package load

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

const (
	// footprintWarmUp follows the start of the last task: connections, pools and the
	// heap reach their steady state.
	footprintWarmUp = 10 * time.Second
	// footprintStart bounds the time until every task runs.
	footprintStart = 20 * time.Second
	// sampleInterval is the time between two readings of the resident memory, of
	// which the highest counts.
	sampleInterval = 500 * time.Millisecond
	percent        = 100
	bytesPerKB     = 1000
	kbPerMB        = 1024
)

// The stated budget of one entry host (design page, section 2.3).
const (
	budgetRSSMB       = 32
	budgetCorePercent = 4.5
	budgetControlKBs  = 20
)

// FootprintSize is the share of the design size that one daemon sees.
type FootprintSize struct {
	Workers int // of the daemon's own shard
	Tasks   int // that run on them
	Listed  int // workers in the platform's host list
	Zones   int
	Hosts   int // entry hosts in each zone
	Jobs    int // running jobs of other shards in the jobs table
	// Organisations of the operators' text.
	Organisations int
	// ConfigPerDay and JobsPerDay are those of the whole deployment.
	ConfigPerDay, JobsPerDay int
	Window                   time.Duration
}

// Footprint measures one daemon process against the emulator and peers that this
// process plays, and reports whether it stays within the budget.
func Footprint(ctx context.Context, o Options, size FootprintSize) (bool, error) {
	dir, done, err := o.workDir()
	if err != nil {
		return false, trace.Wrap(err)
	}
	result, err := measureFootprint(ctx, o, size, dir)
	done(err != nil)
	if err != nil {
		return false, trace.Wrap(err)
	}
	_, err = fmt.Fprintln(o.Out, result)
	return result.withinBudget(), trace.Wrap(err)
}

// footprintResult is what a daemon used in the window.
type footprintResult struct {
	rssMB, corePercent, controlKBs float64
}

// String returns the last line of the command.
func (r footprintResult) String() string {
	return fmt.Sprintf("footprint: rss_mb=%.1f core_percent=%.2f control_kb_s=%.1f", r.rssMB, r.corePercent, r.controlKBs)
}

func (r footprintResult) withinBudget() bool {
	return r.rssMB <= budgetRSSMB && r.corePercent <= budgetCorePercent && r.controlKBs <= budgetControlKBs
}

func measureFootprint(ctx context.Context, o Options, size FootprintSize, dir string) (footprintResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begin := time.Now()
	s, err := startFootprint(ctx, o, size, dir)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return footprintResult{}, trace.Wrap(err)
	}
	progress(o, begin, "the daemon is ready")
	if err := s.submit(ctx); err != nil {
		return footprintResult{}, trace.Wrap(err)
	}
	reach, stop := context.WithTimeout(ctx, footprintStart)
	defer stop()
	if err := s.awaitTasks(reach); err != nil {
		return footprintResult{}, trace.Wrap(err)
	}
	progress(o, begin, "%d tasks run on %d workers", size.Tasks, size.Workers)
	go s.playOthers(ctx)
	pause(ctx, footprintWarmUp)
	result, err := s.window(ctx)
	if err != nil {
		return footprintResult{}, trace.Wrap(err)
	}
	progress(o, begin, "the window ended; the log has configuration version %d", s.others.version)
	return result, trace.Wrap(s.checkReached(ctx))
}

// window measures from now on for the window's length.
func (s *footprintSetup) window(ctx context.Context) (footprintResult, error) {
	pid := s.daemon().cmd.Process.Pid
	linksBefore, err := s.linkBytes(ctx)
	if err != nil {
		return footprintResult{}, trace.Wrap(err)
	}
	before, err := processUse(pid)
	if err != nil {
		return footprintResult{}, trace.Wrap(err)
	}
	start := time.Now()
	// A list change is too rare for the window, so that one is part of it.
	if err := s.changeList(ctx, true); err != nil {
		return footprintResult{}, trace.Wrap(err)
	}
	highest := int64(0)
	var after use
	for time.Since(start) < s.size.Window && ctx.Err() == nil {
		pause(ctx, sampleInterval)
		after, err = processUse(pid)
		if err != nil {
			return footprintResult{}, trace.Wrap(err)
		}
		highest = max(highest, after.rssKB)
	}
	seconds := time.Since(start).Seconds()
	linksAfter, err := s.linkBytes(ctx)
	if err != nil {
		return footprintResult{}, trace.Wrap(err)
	}
	result := footprintResult{
		rssMB:       float64(highest) / kbPerMB,
		corePercent: float64(after.ticks-before.ticks) / ticksPerSecond / seconds * percent,
		controlKBs:  float64(after.traffic-before.traffic) / bytesPerKB / seconds,
	}
	rest := result.controlKBs
	for _, name := range linkNames {
		rate := float64(linksAfter[name]-linksBefore[name]) / bytesPerKB / seconds
		rest -= rate
		_, _ = fmt.Fprintf(s.options.Out, "control_%s\t%.2f\tKB/s\n", name, rate)
	}
	_, err = fmt.Fprintf(s.options.Out, "control_peers\t%.2f\tKB/s\n", rest)
	return result, trace.Wrap(err)
}
