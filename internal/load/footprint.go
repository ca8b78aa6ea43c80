package load

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

const (
	// footprintWarmUp is the time after the start of the last task in which connections,
	// pools and the heap reach their steady state.
	footprintWarmUp = 10 * time.Second
	// footprintStartTimeout bounds the time until all tasks run.
	footprintStartTimeout = 20 * time.Second
	// sampleInterval is the time between two readings of the resident memory, whose maximum
	// is reported.
	sampleInterval = 500 * time.Millisecond

	// Unit conversions. A KB of a rate is 1000 bytes; a KB or MB of memory is 1024 bytes or
	// 1024 KB, as in /proc.
	percent    = 100
	bytesPerKB = 1000
	kbPerMB    = 1024
)

// The resource budget of one entry host (docs/design.md, section 2.3).
const (
	budgetRSSMB       = 32
	budgetCorePercent = 4.5
	budgetControlKBs  = 20 // KB per second
)

// FootprintSize is the part of a deployment of the design size that one daemon sees.
type FootprintSize struct {
	Workers         int // in the daemon's shard
	Tasks           int // running on these workers
	HostListWorkers int // in the platform's host list
	Zones           int
	HostsPerZone    int
	OtherShardJobs  int // running jobs of other shards in the jobs table
	// Organisations is the number of organisations in the configuration.
	Organisations int
	// ConfigPerDay and JobsPerDay are the rates of the whole deployment.
	ConfigPerDay, JobsPerDay int
	Window                   time.Duration
}

// Footprint measures the resource use of one daemon process, with the emulator as platform
// and with peers that run in the calling process. It reports whether the daemon stays within
// the budget.
func Footprint(ctx context.Context, o Options, size FootprintSize) (bool, error) {
	dir, cleanUp, err := o.createWorkDir()
	if err != nil {
		return false, trace.Wrap(err)
	}
	result, err := measureFootprint(ctx, o, size, dir)
	cleanUp(err != nil)
	if err != nil {
		return false, trace.Wrap(err)
	}
	_, err = fmt.Fprintln(o.Stdout, result)
	return result.withinBudget(), trace.Wrap(err)
}

// footprintResult is the resource use of the daemon in the measurement window.
type footprintResult struct {
	rssMB, corePercent, controlKBs float64
}

// String returns the last output line of the footprint command.
func (r footprintResult) String() string {
	return fmt.Sprintf("footprint: rss_mb=%.1f core_percent=%.2f control_kb_s=%.1f", r.rssMB, r.corePercent, r.controlKBs)
}

func (r footprintResult) withinBudget() bool {
	return r.rssMB <= budgetRSSMB && r.corePercent <= budgetCorePercent && r.controlKBs <= budgetControlKBs
}

// measureFootprint starts the deployment, waits until all tasks run and measures the daemon.
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
	logProgress(o, begin, "the daemon is ready")
	s.otherHosts.printRecordSizes(o.Stdout)
	if err := s.submitJobs(ctx); err != nil {
		return footprintResult{}, trace.Wrap(err)
	}
	startCtx, cancelStart := context.WithTimeout(ctx, footprintStartTimeout)
	defer cancelStart()
	if err := s.awaitTasks(startCtx); err != nil {
		return footprintResult{}, trace.Wrap(err)
	}
	logProgress(o, begin, "%d tasks run on %d workers", size.Tasks, size.Workers)
	go s.runOtherHosts(ctx)
	sleepContext(ctx, footprintWarmUp)
	result, err := s.measureWindow(ctx)
	if err != nil {
		return footprintResult{}, trace.Wrap(err)
	}
	logProgress(o, begin, "the measurement ended; the log has configuration version %d", s.otherHosts.configVersion)
	return result, trace.Wrap(s.checkTasksRunning(ctx))
}

// measureWindow measures the daemon from now on for the length of the window.
func (s *footprintSetup) measureWindow(ctx context.Context) (footprintResult, error) {
	pid := s.daemon().cmd.Process.Pid
	linksBefore, err := s.linkBytes(ctx)
	if err != nil {
		return footprintResult{}, trace.Wrap(err)
	}
	before, err := readProcessUsage(pid)
	if err != nil {
		return footprintResult{}, trace.Wrap(err)
	}
	start := time.Now()
	// Host list changes are too rare to occur in the window, so one is made here.
	if err := s.setLastHostLeaving(ctx, true); err != nil {
		return footprintResult{}, trace.Wrap(err)
	}
	peakRSSKB := int64(0)
	var after processUsage
	for time.Since(start) < s.size.Window && ctx.Err() == nil {
		sleepContext(ctx, sampleInterval)
		after, err = readProcessUsage(pid)
		if err != nil {
			return footprintResult{}, trace.Wrap(err)
		}
		peakRSSKB = max(peakRSSKB, after.rssKB)
	}
	seconds := time.Since(start).Seconds()
	linksAfter, err := s.linkBytes(ctx)
	if err != nil {
		return footprintResult{}, trace.Wrap(err)
	}
	result := footprintResult{
		rssMB:       float64(peakRSSKB) / kbPerMB,
		corePercent: float64(after.cpuTicks-before.cpuTicks) / ticksPerSecond / seconds * percent,
	}
	for _, name := range linkNames {
		rate := float64(linksAfter[name]-linksBefore[name]) / bytesPerKB / seconds
		result.controlKBs += rate
		_, _ = fmt.Fprintf(s.options.Stdout, "control_%s\t%.2f\tKB/s\n", name, rate)
	}
	// These are all read and write calls of the process, including poller wake-ups and log
	// output. They are an upper bound that shows whether the sum lacks a link.
	ioRate := float64(after.ioBytes-before.ioBytes) / bytesPerKB / seconds
	_, err = fmt.Fprintf(s.options.Stdout,
		"read_and_write_calls\t%.2f\tKB/s\nrss_of_program_file\t%.1f\tMB\nrss_at_end\t%.1f\tMB\n",
		ioRate, float64(after.fileRSSKB)/kbPerMB, float64(after.rssKB)/kbPerMB)
	return result, trace.Wrap(err)
}
