package load

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sync/errgroup"

	"github.com/daisyfold/daisyfold/internal/model"
)

// scenarioLimit bounds one scenario.
const scenarioLimit = 100 * time.Second

// ScenarioOptions are the flags of the scenarios.
type ScenarioOptions struct {
	Options
	Dir string // of the scripts
	// Name selects one script; empty runs all.
	Name string
	// Parallel is how many scripts run at once; each starts nine processes.
	Parallel int
}

// scenario is the state of one running script.
type scenario struct {
	options  Options
	ctx      context.Context
	cancel   context.CancelFunc
	dir      string
	profile  Profile
	cluster  *Cluster
	callers  *callers
	recorder *recorder
	// ended are the hosts whose daemon the script ended.
	ended   map[model.HostID]bool
	work    sync.WaitGroup
	batches int
	changes int // zone changes so far
	// level is the share of answered requests before the fault, 0 if not measured.
	level float64
}

// scenarioKey is the key of the scenario among a script's values.
type scenarioKey struct{}

// Scenarios runs the scripts and prints a line for each and a last line with the
// totals. It reports whether all of them passed.
func Scenarios(ctx context.Context, o ScenarioOptions) (bool, error) {
	files, err := scripts(o)
	if err != nil {
		return false, trace.Wrap(err)
	}
	var passed, failed atomic.Int64
	var group errgroup.Group
	group.SetLimit(max(1, o.Parallel))
	for _, file := range files {
		group.Go(func() error {
			if runScript(ctx, o.Options, file) {
				passed.Add(1)
			} else {
				failed.Add(1)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return false, trace.Wrap(err)
	}
	_, err = fmt.Fprintf(o.Out, "scenarios: %d ok, %d failed\n", passed.Load(), failed.Load())
	return failed.Load() == 0, trace.Wrap(err)
}

// scripts lists the selected script files.
func scripts(o ScenarioOptions) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(o.Dir, "*.txtar"))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if o.Name != "" {
		files = slices.DeleteFunc(files, func(f string) bool { return scriptName(f) != o.Name })
	}
	if len(files) == 0 {
		return nil, trace.NotFound("no scenario %q in %s", o.Name, o.Dir)
	}
	slices.Sort(files)
	return files, nil
}

func scriptName(file string) string {
	return strings.TrimSuffix(filepath.Base(file), ".txtar")
}

// runScript runs one script and prints its result.
func runScript(ctx context.Context, o Options, file string) bool {
	ctx, cancel := context.WithTimeout(ctx, scenarioLimit)
	defer cancel()
	begin := time.Now()
	t := &scriptT{errors: o.Errors}
	testscript.RunT(t, testscript.Params{
		Files: []string{file},
		Setup: func(env *testscript.Env) error { return setupScript(ctx, o, env, scriptName(file)) },
		Cmds:  scenarioCommands(),
	})
	result := "ok"
	if t.failed {
		result = "FAIL"
	}
	_, _ = fmt.Fprintf(o.Out, "scenario %s %s\n", scriptName(file), result)
	_, _ = fmt.Fprintf(o.Errors, "%s took %.1f s with seed %d\n",
		scriptName(file), time.Since(begin).Seconds(), o.Seed)
	return !t.failed
}

// setupScript gives a script its state. Settings and logs go to the kept
// directory if there is one, otherwise to a directory that a failed run leaves.
func setupScript(ctx context.Context, o Options, env *testscript.Env, name string) error {
	if o.KeepDir != "" {
		o.KeepDir = filepath.Join(o.KeepDir, name)
	}
	dir, done, err := o.workDir()
	if err != nil {
		return trace.Wrap(err)
	}
	s := &scenario{options: o, dir: dir, recorder: newRecorder(), ended: map[model.HostID]bool{}}
	s.ctx, s.cancel = context.WithCancel(ctx)
	env.Values[scenarioKey{}] = s
	t, _ := env.T().(*scriptT)
	env.Defer(func() {
		s.close()
		done(t != nil && t.hasFailed())
	})
	return nil
}

// close ends the script's workload and processes.
func (s *scenario) close() {
	s.cancel()
	s.work.Wait()
	if s.cluster != nil {
		s.cluster.Stop()
	}
}

// scriptT implements testscript.T outside go test.
type scriptT struct {
	errors io.Writer

	mu     sync.Mutex
	failed bool
}

func (t *scriptT) hasFailed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failed
}

// Skip implements testscript.T. A skipped scenario counts as failed, because no
// scenario may be left out unseen.
func (t *scriptT) Skip(args ...any) { t.Fatal(args...) }

// Fatal implements testscript.T.
func (t *scriptT) Fatal(args ...any) {
	t.Log(args...)
	t.FailNow()
}

// Parallel implements testscript.T. Each script has a scriptT of its own, so there
// is nothing to run beside it.
func (t *scriptT) Parallel() {}

// Log implements testscript.T.
func (t *scriptT) Log(args ...any) { _, _ = fmt.Fprintln(t.errors, args...) }

// FailNow implements testscript.T.
func (t *scriptT) FailNow() {
	t.mu.Lock()
	t.failed = true
	t.mu.Unlock()
	runtime.Goexit()
}

// Run implements testscript.T. The function has a goroutine of its own, which
// FailNow ends.
func (t *scriptT) Run(_ string, f func(testscript.T)) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f(t)
	}()
	<-done
}

// Verbose implements testscript.T.
func (t *scriptT) Verbose() bool { return false }

// deploy starts a cluster with proxies in all links and puts the example text in
// force. A retention of 0 is the example's.
func (s *scenario) deploy(example string, retention time.Duration) error {
	p, err := ExampleProfile(s.options.Examples, example)
	if err != nil {
		return trace.Wrap(err)
	}
	s.profile = p
	s.cluster, err = StartCluster(s.ctx, ClusterOptions{
		Bin:        s.options.Bin,
		Dir:        s.dir,
		Deployment: p.Deployment,
		Seed:       s.options.Seed,
		Proxies:    true,
		Retention:  retention,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	s.callers = newCallers(s.cluster)
	return trace.Wrap(s.cluster.configure(s.ctx, s.callers, p))
}

// start plays a workload in the background.
func (s *scenario) start(size Size) {
	s.batches++
	tag := fmt.Sprintf("b%d", s.batches)
	w := NewWorkload(s.profile, size, tag, s.options.Seed+uint64(s.batches))
	s.work.Go(func() { drive(s.ctx, s.callers, w, s.recorder) })
}

// settled waits until the workload is settled.
func (s *scenario) settled(limit time.Duration) error {
	done := make(chan struct{})
	go func() {
		s.work.Wait()
		close(done)
	}()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
		return nil
	case <-timer.C:
	case <-s.ctx.Done():
	}
	// The judge shows what is open: it counts as lost.
	s.cancel()
	<-done
	return nil
}

// judge fails when a promise was broken or a daemon ended by itself.
func (s *scenario) judge(log io.Writer) error {
	if list := s.cluster.crashed(s.ended); len(list) > 0 {
		return trace.Errorf("daemons ended by themselves: %v", list)
	}
	v, err := s.cluster.judge(s.recorder)
	if err != nil {
		return trace.Wrap(err)
	}
	s.recorder.writeCauses(log)
	_, _ = fmt.Fprintln(log, v.String())
	for _, finding := range v.Violations {
		_, _ = fmt.Fprintln(log, finding)
	}
	if !v.Clean() {
		return trace.Errorf("%d promises were broken", len(v.Violations))
	}
	return nil
}

// readText returns the example's text.
func (s *scenario) readText() (string, error) {
	text, err := os.ReadFile(s.profile.Text)
	return string(text), trace.ConvertSystemError(err)
}
