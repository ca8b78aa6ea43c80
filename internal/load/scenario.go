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

// scenarioTimeout bounds the time of one script.
const scenarioTimeout = 100 * time.Second

// ScenarioOptions are the flags of the scenarios command.
type ScenarioOptions struct {
	Options
	ScriptDir string
	// Name selects one script; empty runs all.
	Name string
	// Parallel is the number of scripts that run at once; each starts nine processes.
	Parallel int
}

// scenario is the state of a running script.
type scenario struct {
	options  Options
	ctx      context.Context
	cancel   context.CancelFunc
	workDir  string
	profile  Profile
	cluster  *Cluster
	caller   *apiCaller
	recorder *recorder
	// endedHosts is the hosts whose daemons the script has ended.
	endedHosts      map[model.HostID]bool
	workloads       sync.WaitGroup
	workloadCount   int
	zoneChangeCount int
	// baselineAnsweredShare is the share of answered requests before the fault, 0 if not
	// measured yet.
	baselineAnsweredShare float64
}

// scenarioKey is the key of the scenario in the values of a script environment.
type scenarioKey struct{}

// Scenarios runs the scripts, prints a line for each and the totals as the last line. It
// reports whether all scripts passed.
func Scenarios(ctx context.Context, o ScenarioOptions) (bool, error) {
	files, err := scriptFiles(o)
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
	_, err = fmt.Fprintf(o.Stdout, "scenarios: %d ok, %d failed\n", passed.Load(), failed.Load())
	return failed.Load() == 0, trace.Wrap(err)
}

// scriptFiles returns the paths of the selected scripts.
func scriptFiles(o ScenarioOptions) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(o.ScriptDir, "*.txtar"))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if o.Name != "" {
		files = slices.DeleteFunc(files, func(f string) bool { return scriptName(f) != o.Name })
	}
	if len(files) == 0 {
		return nil, trace.NotFound("no scenario %q in %s", o.Name, o.ScriptDir)
	}
	slices.Sort(files)
	return files, nil
}

// scriptName returns the name of a script, which is its file name without extension.
func scriptName(file string) string {
	return strings.TrimSuffix(filepath.Base(file), ".txtar")
}

// runScript runs a script, prints its result and reports whether it passed.
func runScript(ctx context.Context, o Options, file string) bool {
	ctx, cancel := context.WithTimeout(ctx, scenarioTimeout)
	defer cancel()
	begin := time.Now()
	t := &scriptT{stderr: o.Stderr}
	testscript.RunT(t, testscript.Params{
		Files: []string{file},
		Setup: func(env *testscript.Env) error { return setupScript(ctx, o, env, scriptName(file)) },
		Cmds:  scenarioCommands(),
	})
	result := "ok"
	if t.failed {
		result = "FAIL"
	}
	_, _ = fmt.Fprintf(o.Stdout, "scenario %s %s\n", scriptName(file), result)
	_, _ = fmt.Fprintf(o.Stderr, "%s took %.1f s with seed %d\n",
		scriptName(file), time.Since(begin).Seconds(), o.Seed)
	return !t.failed
}

// setupScript creates the scenario of a script. Settings and logs go to a subdirectory of
// KeepDir, or else to a temporary directory that is kept if the script fails.
func setupScript(ctx context.Context, o Options, env *testscript.Env, name string) error {
	if o.KeepDir != "" {
		o.KeepDir = filepath.Join(o.KeepDir, name)
	}
	dir, cleanUp, err := o.createWorkDir()
	if err != nil {
		return trace.Wrap(err)
	}
	s := &scenario{options: o, workDir: dir, recorder: newRecorder(), endedHosts: map[model.HostID]bool{}}
	s.ctx, s.cancel = context.WithCancel(ctx)
	env.Values[scenarioKey{}] = s
	t, _ := env.T().(*scriptT)
	env.Defer(func() {
		s.close()
		cleanUp(t != nil && t.hasFailed())
	})
	return nil
}

// close ends the workloads and the processes of the script.
func (s *scenario) close() {
	s.cancel()
	s.workloads.Wait()
	if s.cluster != nil {
		s.cluster.Stop()
	}
}

// scriptT implements testscript.T outside go test.
type scriptT struct {
	stderr io.Writer

	mu     sync.Mutex
	failed bool
}

func (t *scriptT) hasFailed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failed
}

// Skip implements testscript.T. It fails the script, so that no scenario is skipped
// unnoticed.
func (t *scriptT) Skip(args ...any) { t.Fatal(args...) }

// Fatal implements testscript.T.
func (t *scriptT) Fatal(args ...any) {
	t.Log(args...)
	t.FailNow()
}

// Parallel implements testscript.T. It does nothing, because each script has its own
// scriptT.
func (t *scriptT) Parallel() {}

// Log implements testscript.T.
func (t *scriptT) Log(args ...any) { _, _ = fmt.Fprintln(t.stderr, args...) }

// FailNow implements testscript.T.
func (t *scriptT) FailNow() {
	t.mu.Lock()
	t.failed = true
	t.mu.Unlock()
	runtime.Goexit()
}

// Run implements testscript.T. It calls f in a new goroutine, which FailNow can end.
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

// deploy starts a cluster with proxies in all links and publishes the configuration of the
// example. A retention of 0 keeps that of the example.
func (s *scenario) deploy(example string, retention time.Duration) error {
	p, err := ExampleProfile(s.options.ExamplesDir, example)
	if err != nil {
		return trace.Wrap(err)
	}
	s.profile = p
	s.cluster, err = StartCluster(s.ctx, ClusterOptions{
		BinDir:         s.options.BinDir,
		WorkDir:        s.workDir,
		DeploymentFile: p.DeploymentFile,
		Seed:           s.options.Seed,
		Proxies:        true,
		Retention:      retention,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	s.caller = newAPICaller(s.cluster)
	return trace.Wrap(s.cluster.publishExample(s.ctx, s.caller, p))
}

// startWorkload runs a workload in the background.
func (s *scenario) startWorkload(size WorkloadSize) {
	s.workloadCount++
	idTag := fmt.Sprintf("b%d", s.workloadCount)
	w := NewWorkload(s.profile, size, idTag, s.options.Seed+uint64(s.workloadCount))
	s.workloads.Go(func() { runWorkload(s.ctx, s.caller, w, s.recorder) })
}

// awaitSettled waits until all workloads have ended or the timeout has passed.
func (s *scenario) awaitSettled(timeout time.Duration) error {
	done := make(chan struct{})
	go func() {
		s.workloads.Wait()
		close(done)
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
		return nil
	case <-timer.C:
	case <-s.ctx.Done():
	}
	// Jobs that are still open have no final state; the judge counts them as lost.
	s.cancel()
	<-done
	return nil
}

// judgeRun returns an error if an invariant was violated or a daemon exited unexpectedly.
func (s *scenario) judgeRun(log io.Writer) error {
	if list := s.cluster.unexpectedExits(s.endedHosts); len(list) > 0 {
		return trace.Errorf("daemons exited unexpectedly: %v", list)
	}
	report, err := s.cluster.judgeRun(s.recorder)
	if err != nil {
		return trace.Wrap(err)
	}
	s.recorder.writeErrorCounts(log)
	_, _ = fmt.Fprintln(log, report.String())
	for _, violation := range report.Violations {
		_, _ = fmt.Fprintln(log, violation)
	}
	if !report.Clean() {
		return trace.Errorf("%d invariants were violated", len(report.Violations))
	}
	return nil
}

// readConfigText returns the configuration of the example.
func (s *scenario) readConfigText() (string, error) {
	text, err := os.ReadFile(s.profile.ConfigFile)
	return string(text), trace.ConvertSystemError(err)
}
