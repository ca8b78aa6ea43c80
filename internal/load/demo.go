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

// The demo's times since the callers started. The whole demo takes less than
// demoLimit, processes included.
const (
	demoKill    = 4 * time.Second
	demoStop    = 8 * time.Second
	demoZoneOut = 12 * time.Second
	demoZoneIn  = 18 * time.Second
	demoLimit   = 50 * time.Second
)

// demoSize is the demo's workload.
var demoSize = Size{
	Jobs:       240,
	Impossible: 12,
	Cancelled:  16,
	Requests:   2000,
	Once:       500,
	Over:       22 * time.Second,
	MinRunMS:   300,
	MaxRunMS:   3000,
}

// Options are the flags that demo, scenarios and footprint share.
type Options struct {
	Seed     uint64
	Bin      string
	Examples string
	Example  string
	// KeepDir receives settings and logs; empty means a temporary directory that
	// is removed unless the run failed.
	KeepDir string
	Out     io.Writer
	Errors  io.Writer
}

// workDir returns the directory for settings and logs, and what to do at the end.
func (o Options) workDir() (string, func(failed bool), error) {
	if o.KeepDir != "" {
		err := os.MkdirAll(o.KeepDir, 0o755)
		return o.KeepDir, func(bool) {}, trace.ConvertSystemError(err)
	}
	dir, err := os.MkdirTemp("", "daisyfold-load-")
	if err != nil {
		return "", nil, trace.ConvertSystemError(err)
	}
	done := func(failed bool) {
		if failed {
			_, _ = fmt.Fprintln(o.Errors, "settings and logs are in", dir)
			return
		}
		_ = os.RemoveAll(dir)
	}
	return dir, done, nil
}

// Demo runs the demo and prints its last line. It reports whether every promise
// was kept.
func Demo(ctx context.Context, o Options) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	dir, done, err := o.workDir()
	if err != nil {
		return false, trace.Wrap(err)
	}
	v, err := runDemo(ctx, o, dir)
	done(err != nil || !v.Clean())
	if err != nil {
		return false, trace.Wrap(err)
	}
	for _, finding := range v.Violations {
		_, _ = fmt.Fprintln(o.Errors, finding)
	}
	_, err = fmt.Fprintln(o.Out, "demo:", v.String())
	return v.Clean(), trace.Wrap(err)
}

func runDemo(ctx context.Context, o Options, dir string) (judge.Report, error) {
	p, err := ExampleProfile(o.Examples, o.Example)
	if err != nil {
		return judge.Report{}, trace.Wrap(err)
	}
	begin := time.Now()
	cluster, err := StartCluster(ctx, ClusterOptions{Bin: o.Bin, Dir: dir, Deployment: p.Deployment, Seed: o.Seed})
	if err != nil {
		return judge.Report{}, trace.Wrap(err)
	}
	defer cluster.Stop()
	c := newCallers(cluster)
	if err := cluster.configure(ctx, c, p); err != nil {
		return judge.Report{}, trace.Wrap(err)
	}
	progress(o, begin, "%d daemons are ready", len(cluster.hosts))
	r := newRecorder()
	faults := &demoFaults{options: o, begin: begin, cluster: cluster, callers: c, recorder: r, profile: p}
	var both sync.WaitGroup
	both.Go(func() { drive(ctx, c, NewWorkload(p, demoSize, "demo", o.Seed), r) })
	both.Go(func() { faults.play(ctx) })
	both.Wait()
	progress(o, begin, "all jobs and requests are settled")
	r.writeCauses(o.Errors)
	if faults.err != nil {
		return judge.Report{}, trace.Wrap(faults.err)
	}
	if list := cluster.crashed(faults.ended); len(list) > 0 {
		return judge.Report{}, trace.Errorf("daemons ended by themselves: %v", list)
	}
	return cluster.judge(r)
}

// configure waits for the daemons and puts the example text in force.
func (c *Cluster) configure(ctx context.Context, callers *callers, p Profile) error {
	if err := c.AwaitAPI(ctx); err != nil {
		return trace.Wrap(err)
	}
	text, err := os.ReadFile(p.Text)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	// A daemon refuses edits until it has read the log for the first time.
	err = c.await(ctx, "the first configuration", func() (bool, string) {
		err := callers.publish(ctx, "example", 0, string(text))
		return err == nil, fmt.Sprint(err)
	})
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(c.AwaitReady(ctx))
}

// judge reads the ledger and judges. It has a context of its own, because the
// run's may have ended with jobs still open; these then count as lost.
func (c *Cluster) judge(r *recorder) (judge.Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), controlLimit)
	defer cancel()
	l, err := c.Ledger(ctx)
	if err != nil {
		return judge.Report{}, trace.Wrap(err)
	}
	history := r.snapshot()
	if err := c.keep("ledger.json", l); err != nil {
		return judge.Report{}, trace.Wrap(err)
	}
	if err := c.keep("history.json", history); err != nil {
		return judge.Report{}, trace.Wrap(err)
	}
	return judge.Check(l, history), nil
}

// keep writes what the judge read beside the daemons' logs.
func (c *Cluster) keep(name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(filepath.Join(c.dir, name), data, 0o600))
}

// progress reports a step on the error output.
func progress(o Options, begin time.Time, format string, args ...any) {
	_, _ = fmt.Fprintf(o.Errors, "%6.1f s  %s\n", time.Since(begin).Seconds(), fmt.Sprintf(format, args...))
}

// demoFaults plays the demo's faults.
type demoFaults struct {
	options  Options
	begin    time.Time
	cluster  *Cluster
	callers  *callers
	recorder *recorder
	profile  Profile
	ended    map[model.HostID]bool
	err      error
}

// play kills one daemon, stops another one and takes a zone out and in. The zone
// is not one of the two that lost a daemon.
func (f *demoFaults) play(ctx context.Context) {
	start := time.Now()
	var others []*host
	for _, h := range f.cluster.hosts {
		if h.zone != f.profile.SpareZone {
			others = append(others, h)
		}
	}
	killed, stopped := others[0].id, others[hostsPerZone].id
	f.ended = map[model.HostID]bool{killed: true, stopped: true}
	steps := []struct {
		at   time.Duration
		name string
		run  func() error
	}{
		{demoKill, "kill " + string(killed), func() error { return f.cluster.Kill(ctx, killed) }},
		{demoStop, "stop " + string(stopped), func() error { return f.cluster.StopHost(ctx, stopped) }},
		{demoZoneOut, "zone out " + string(f.profile.SpareZone), func() error { return f.zone(ctx, false) }},
		{demoZoneIn, "zone in " + string(f.profile.SpareZone), func() error { return f.zone(ctx, true) }},
	}
	for _, step := range steps {
		pause(ctx, time.Until(start.Add(step.at)))
		begin := time.Now()
		if err := step.run(); err != nil {
			f.err = trace.Wrap(err, "%s", step.name)
			return
		}
		progress(f.options, f.begin, "%s (took %d ms)", step.name, time.Since(begin).Milliseconds())
	}
}

func (f *demoFaults) zone(ctx context.Context, inService bool) error {
	id := fmt.Sprintf("demo-zone-%v", inService)
	change, err := f.callers.setZone(ctx, id, f.profile.SpareZone, inService)
	f.recorder.addZone(change)
	return trace.Wrap(err)
}
