package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/judge"
	"github.com/daisyfold/daisyfold/internal/model"
)

// Times of the demo's faults since the start of the workload, and the time limit of the
// whole demo including the start of the processes.
const (
	demoKillAt    = 4 * time.Second
	demoStopAt    = 8 * time.Second
	demoZoneOutAt = 12 * time.Second
	demoZoneInAt  = 18 * time.Second
	demoTimeout   = 50 * time.Second
)

// demoWorkloadSize is the size of the demo's workload.
var demoWorkloadSize = WorkloadSize{
	Jobs:                  240,
	ImpossibleJobs:        12,
	CancelledJobs:         16,
	Requests:              2000,
	NonRepeatableRequests: 500,
	Duration:              22 * time.Second,
	MinRunMS:              300,
	MaxRunMS:              3000,
}

// Options are the flags of demo, scenarios and footprint.
type Options struct {
	Seed        uint64
	BinDir      string // directory of the binaries
	ExamplesDir string
	Example     string // name of the example, see ExampleProfile
	// KeepDir is the directory for settings and logs; if empty, they go to a temporary
	// directory, which is removed unless the run failed.
	KeepDir string
	Stdout  io.Writer
	Stderr  io.Writer
}

// createWorkDir returns the directory for settings and logs, and a function to call when the
// run has ended.
func (o Options) createWorkDir() (string, func(failed bool), error) {
	if o.KeepDir != "" {
		err := os.MkdirAll(o.KeepDir, 0o755)
		return o.KeepDir, func(bool) {}, trace.ConvertSystemError(err)
	}
	dir, err := os.MkdirTemp("", "daisyfold-load-")
	if err != nil {
		return "", nil, trace.ConvertSystemError(err)
	}
	cleanUp := func(failed bool) {
		if failed {
			_, _ = fmt.Fprintln(o.Stderr, "settings and logs are in", dir)
			return
		}
		_ = os.RemoveAll(dir)
	}
	return dir, cleanUp, nil
}

// Demo runs the demo and prints the report of the judge as its last line. It reports whether
// no invariant was violated.
func Demo(ctx context.Context, o Options) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	dir, cleanUp, err := o.createWorkDir()
	if err != nil {
		return false, trace.Wrap(err)
	}
	report, err := runDemo(ctx, o, dir)
	cleanUp(err != nil || !report.Clean())
	if err != nil {
		return false, trace.Wrap(err)
	}
	for _, violation := range report.Violations {
		_, _ = fmt.Fprintln(o.Stderr, violation)
	}
	_, err = fmt.Fprintln(o.Stdout, "demo:", report.String())
	return report.Clean(), trace.Wrap(err)
}

// runDemo starts a cluster, runs the workload and the faults, and judges the result.
func runDemo(ctx context.Context, o Options, dir string) (judge.Report, error) {
	p, err := ExampleProfile(o.ExamplesDir, o.Example)
	if err != nil {
		return judge.Report{}, trace.Wrap(err)
	}
	begin := time.Now()
	cluster, err := StartCluster(ctx, ClusterOptions{BinDir: o.BinDir, WorkDir: dir, DeploymentFile: p.DeploymentFile, Seed: o.Seed})
	if err != nil {
		return judge.Report{}, trace.Wrap(err)
	}
	defer cluster.Stop()
	caller := newAPICaller(cluster)
	if err := cluster.publishExample(ctx, caller, p); err != nil {
		return judge.Report{}, trace.Wrap(err)
	}
	logProgress(o, begin, "%d daemons are ready", len(cluster.hosts))
	r := newRecorder()
	faults := &demoFaultSchedule{options: o, begin: begin, cluster: cluster, caller: caller, recorder: r, profile: p}
	var wg sync.WaitGroup
	wg.Go(func() { runWorkload(ctx, caller, NewWorkload(p, demoWorkloadSize, "demo", o.Seed), r) })
	wg.Go(func() { faults.run(ctx) })
	wg.Wait()
	logProgress(o, begin, "all jobs and requests have an outcome")
	r.writeErrorCounts(o.Stderr)
	if faults.err != nil {
		return judge.Report{}, trace.Wrap(faults.err)
	}
	if list := cluster.unexpectedExits(faults.endedHosts); len(list) > 0 {
		return judge.Report{}, trace.Errorf("daemons exited unexpectedly: %v", list)
	}
	return cluster.judgeRun(r)
}

// publishExample waits for the daemons, publishes the configuration file of the example and
// waits until the daemons are ready.
func (c *Cluster) publishExample(ctx context.Context, caller *apiCaller, p Profile) error {
	if err := c.AwaitAPI(ctx); err != nil {
		return trace.Wrap(err)
	}
	text, err := os.ReadFile(p.ConfigFile)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	// A daemon refuses edits until it has read the log for the first time.
	err = c.await(ctx, "the first configuration", func() (bool, string) {
		err := caller.publishConfig(ctx, "example", 0, string(text))
		return err == nil, fmt.Sprint(err)
	})
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(c.AwaitReady(ctx))
}

// judgeRun reads the ledger and judges the run. It uses its own context, because that of
// the run may have ended with open jobs, which then count as lost.
func (c *Cluster) judgeRun(r *recorder) (judge.Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	l, err := c.Ledger(ctx)
	if err != nil {
		return judge.Report{}, trace.Wrap(err)
	}
	history := r.snapshot()
	if err := c.writeJSON("ledger.json", l); err != nil {
		return judge.Report{}, trace.Wrap(err)
	}
	if err := c.writeJSON("history.json", history); err != nil {
		return judge.Report{}, trace.Wrap(err)
	}
	return judge.Check(l, history), nil
}

// writeJSON writes an input of the judge to the directory of the logs.
func (c *Cluster) writeJSON(name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(filepath.Join(c.workDir, name), data, 0o600))
}

// logProgress writes a step and the time since begin to the error output.
func logProgress(o Options, begin time.Time, format string, args ...any) {
	_, _ = fmt.Fprintf(o.Stderr, "%6.1f s  %s\n", time.Since(begin).Seconds(), fmt.Sprintf(format, args...))
}

// demoFaultSchedule injects the demo's faults.
type demoFaultSchedule struct {
	options    Options
	begin      time.Time
	cluster    *Cluster
	caller     *apiCaller
	recorder   *recorder
	profile    Profile
	endedHosts map[model.HostID]bool
	err        error
}

// run kills one daemon, stops another one and takes a zone out of service and back. That
// zone is not one of the two that lost a daemon.
func (f *demoFaultSchedule) run(ctx context.Context) {
	start := time.Now()
	var candidates []*host
	for _, h := range f.cluster.hosts {
		if h.zone != f.profile.SpareZone {
			candidates = append(candidates, h)
		}
	}
	killed, stopped := candidates[0].id, candidates[hostsPerZone].id
	f.endedHosts = map[model.HostID]bool{killed: true, stopped: true}
	steps := []struct {
		at   time.Duration
		name string
		run  func() error
	}{
		{demoKillAt, "kill " + string(killed), func() error { return f.cluster.KillHost(ctx, killed) }},
		{demoStopAt, "stop " + string(stopped), func() error { return f.cluster.StopHost(ctx, stopped) }},
		{demoZoneOutAt, "zone out " + string(f.profile.SpareZone), func() error { return f.setZoneInService(ctx, false) }},
		{demoZoneInAt, "zone in " + string(f.profile.SpareZone), func() error { return f.setZoneInService(ctx, true) }},
	}
	for _, step := range steps {
		sleepContext(ctx, time.Until(start.Add(step.at)))
		begin := time.Now()
		if err := step.run(); err != nil {
			f.err = trace.Wrap(err, "%s", step.name)
			return
		}
		logProgress(f.options, f.begin, "%s (took %d ms)", step.name, time.Since(begin).Milliseconds())
	}
}

func (f *demoFaultSchedule) setZoneInService(ctx context.Context, inService bool) error {
	id := fmt.Sprintf("demo-zone-%v", inService)
	change, err := f.caller.setZoneInService(ctx, id, f.profile.SpareZone, inService)
	f.recorder.addZoneChange(change)
	return trace.Wrap(err)
}
