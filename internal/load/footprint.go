package load

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/model"
)

const (
	// footprintSettle lets the jobs start before the window, which then holds the
	// steady state of renewals, heartbeats and reads.
	footprintSettle = 8 * time.Second
	footprintWindow = 30 * time.Second
	// ticksPerSecond is the unit of the CPU times in /proc/PID/stat on Linux.
	ticksPerSecond = 100
	// designWorkers is the largest shard, the most that one daemon renews.
	designWorkers = model.MaxShardWorkers
	footprintJobs = 120
	percent       = 100
)

// use is what a daemon used up to a moment.
type use struct {
	ticks   int64 // CPU time
	rssKB   int64
	traffic int64 // bytes of all control links, both ways
}

// Footprint measures the daemons' CPU, memory and control traffic with running
// jobs and no requests: with the example's workers, and with 300 in each zone. It
// prints one tab-separated line for each figure, of the daemon that uses most.
func Footprint(ctx context.Context, o Options) (bool, error) {
	for _, workers := range []int{0, designWorkers} {
		if err := footprint(ctx, o, workers); err != nil {
			return false, trace.Wrap(err)
		}
	}
	return true, nil
}

// footprint measures one size; 0 workers stands for the example's own number.
func footprint(ctx context.Context, o Options, workers int) error {
	dir, done, err := o.workDir()
	if err != nil {
		return trace.Wrap(err)
	}
	err = measure(ctx, o, dir, workers)
	done(err != nil)
	return trace.Wrap(err)
}

func measure(ctx context.Context, o Options, dir string, workers int) error {
	p, err := ExampleProfile(o.Examples, o.Example)
	if err != nil {
		return trace.Wrap(err)
	}
	cluster, err := StartCluster(ctx, ClusterOptions{
		Bin: o.Bin, Dir: dir, Deployment: p.Deployment, Seed: o.Seed, Proxies: true, WorkersPerZone: workers,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	defer cluster.Stop()
	c := newCallers(cluster)
	if err := cluster.configure(ctx, c, p); err != nil {
		return trace.Wrap(err)
	}
	work, stop := context.WithCancel(ctx)
	size := Size{Jobs: footprintJobs, Over: time.Second, MinRunMS: 600_000, MaxRunMS: 600_000}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		drive(work, c, NewWorkload(p, size, "footprint", o.Seed), newRecorder())
	}()
	pause(ctx, footprintSettle)
	before, err := cluster.use()
	if err != nil {
		stop()
		return trace.Wrap(err)
	}
	pause(ctx, footprintWindow)
	after, err := cluster.use()
	stop()
	<-finished
	if err != nil {
		return trace.Wrap(err)
	}
	return printFootprint(o, workers, before, after)
}

// use returns what each running daemon used so far.
func (c *Cluster) use() (map[model.HostID]use, error) {
	all := map[model.HostID]use{}
	for _, h := range c.hosts {
		one, err := processUse(h.current().cmd.Process.Pid)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		one.traffic = c.links.traffic(string(h.id))
		all[h.id] = one
	}
	return all, nil
}

// processUse reads the CPU time and the resident memory of a process.
func processUse(pid int) (use, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return use{}, trace.ConvertSystemError(err)
	}
	// The fields after the name in parentheses: state is field 3, user and system
	// time are fields 14 and 15, the resident pages field 24.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	var numbers [3]int64
	for i, field := range []int{14, 15, 24} {
		numbers[i], err = strconv.ParseInt(fields[field-3], 10, 64)
		if err != nil {
			return use{}, trace.Wrap(err)
		}
	}
	return use{ticks: numbers[0] + numbers[1], rssKB: numbers[2] * int64(os.Getpagesize()) / 1024}, nil
}

// printFootprint prints the highest figure of any daemon.
func printFootprint(o Options, workers int, before, after map[model.HostID]use) error {
	var cpu, rss, traffic float64
	seconds := footprintWindow.Seconds()
	for id, b := range before {
		a := after[id]
		cpu = max(cpu, float64(a.ticks-b.ticks)/ticksPerSecond/seconds*percent)
		rss = max(rss, float64(a.rssKB)/1024)
		traffic = max(traffic, float64(a.traffic-b.traffic)/1000/seconds)
	}
	size := "today"
	if workers > 0 {
		size = fmt.Sprintf("%d_workers", workers)
	}
	_, err := fmt.Fprintf(o.Out, "cpu_%s\t%.2f\t%% of a core\nmemory_%s\t%.1f\tMB\ncontrol_traffic_%s\t%.1f\tKB/s\n",
		size, cpu, size, rss, size, traffic)
	return trace.Wrap(err)
}
