package load

import (
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/daisyfold/daisyfold/internal/emulator"
	"github.com/daisyfold/daisyfold/internal/faultproxy"
	"github.com/daisyfold/daisyfold/internal/ledger"
	"github.com/daisyfold/daisyfold/internal/model"
)

// command is a script command.
type command func(s *scenario, ts *testscript.TestScript, args []string) error

// scenarioCommands returns the script commands that are added to those of testscript. The
// commands for hosts are named kill-host and stop-host because testscript has its own kill
// and stop.
func scenarioCommands() map[string]func(*testscript.TestScript, bool, []string) {
	commands := map[string]command{
		"deploy":      cmdDeploy,
		"kill-host":   hostCommand(func(s *scenario, id model.HostID) error { return s.cluster.KillHost(s.ctx, id) }, true),
		"stop-host":   hostCommand(func(s *scenario, id model.HostID) error { return s.cluster.StopHost(s.ctx, id) }, true),
		"start-host":  hostCommand(func(s *scenario, id model.HostID) error { return s.cluster.StartHost(s.ctx, id) }, false),
		"pause-host":  hostCommand(signalHost(syscall.SIGSTOP), false),
		"resume-host": hostCommand(signalHost(syscall.SIGCONT), false),
		"cut":         linkCommand(func(p *faultproxy.Proxy, _ bool) { p.Cut() }),
		"freeze":      linkCommand(func(p *faultproxy.Proxy, _ bool) { p.Freeze() }),
		"reset":       linkCommand(func(p *faultproxy.Proxy, _ bool) { p.Reset() }),
		"one-way":     linkCommand(dropForward),
		"delay":       cmdDelay,
		"heal":        cmdHeal,
		"log":         cmdLog,
		"workers":     cmdWorkers,
		"targets":     cmdTargets,
		"submit":      cmdSubmit,
		"requests":    cmdRequests,
		"service":     cmdService,
		"zone":        cmdZone,
		"race":        cmdRace,
		"await":       cmdAwait,
		"hold":        cmdHold,
		"judge":       func(s *scenario, ts *testscript.TestScript, _ []string) error { return s.judgeRun(logWriter{ts}) },
	}
	wrapped := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range commands {
		wrapped[name] = func(ts *testscript.TestScript, neg bool, args []string) { runCommand(ts, run, neg, args) }
	}
	return wrapped
}

// runCommand runs a command and fails the script if the command returns an error, or, for
// a negated command, if it returns none.
func runCommand(ts *testscript.TestScript, run command, negated bool, args []string) {
	s, ok := ts.Value(scenarioKey{}).(*scenario)
	if !ok {
		ts.Fatalf("the script environment has no scenario")
	}
	begin := time.Now()
	err := run(s, ts, args)
	ts.Logf("(took %.1f s)", time.Since(begin).Seconds())
	switch {
	case err != nil && negated:
		ts.Logf("failed as expected: %v", err)
	case err != nil:
		ts.Fatalf("%v", trace.UserMessage(err))
	case negated:
		ts.Fatalf("the command succeeded, but an error was expected")
	}
}

// logWriter writes to the log of a script.
type logWriter struct{ ts *testscript.TestScript }

// Write implements io.Writer.
func (w logWriter) Write(p []byte) (int, error) {
	w.ts.Logf("%s", p)
	return len(p), nil
}

// splitArgs separates positional arguments from name=value arguments.
func splitArgs(args []string) ([]string, map[string]string) {
	var positional []string
	named := map[string]string{}
	for _, arg := range args {
		name, value, found := strings.Cut(arg, "=")
		if found {
			named[name] = value
			continue
		}
		positional = append(positional, arg)
	}
	return positional, named
}

// usage returns an error with the usage text of a command.
func usage(text string) error { return trace.BadParameter("usage: %s", text) }

// cmdDeploy starts a cluster: deploy EXAMPLE [retention=20s].
func cmdDeploy(s *scenario, _ *testscript.TestScript, args []string) error {
	positional, named := splitArgs(args)
	if len(positional) != 1 {
		return usage("deploy EXAMPLE [retention=20s]")
	}
	var retention time.Duration
	if value := named["retention"]; value != "" {
		var err error
		if retention, err = time.ParseDuration(value); err != nil {
			return trace.BadParameter("retention: %v", err)
		}
	}
	return s.deploy(positional[0], retention)
}

// hostCommand returns a command that applies action to hosts, or to all hosts of zones, one
// after another. endsDaemon states that the daemons are expected to exit.
func hostCommand(action func(*scenario, model.HostID) error, endsDaemon bool) command {
	return func(s *scenario, _ *testscript.TestScript, args []string) error {
		if len(args) == 0 {
			return usage("COMMAND HOST|ZONE...")
		}
		for _, id := range s.resolveHosts(args) {
			s.endedHosts[id] = endsDaemon
			if err := action(s, id); err != nil {
				return trace.Wrap(err)
			}
		}
		return nil
	}
}

// signalHost returns a host action that sends a signal to the daemon.
func signalHost(signal syscall.Signal) func(*scenario, model.HostID) error {
	return func(s *scenario, id model.HostID) error { return s.cluster.SignalHost(id, signal) }
}

// resolveHosts returns the hosts that the names refer to, by host ID or by zone. An unknown
// name is returned as a host ID, so that using it fails.
func (s *scenario) resolveHosts(names []string) []model.HostID {
	var list []model.HostID
	for _, name := range names {
		found := false
		for _, h := range s.cluster.hosts {
			if string(h.id) == name || string(h.zone) == name {
				list = append(list, h.id)
				found = true
			}
		}
		if !found {
			list = append(list, model.HostID(name))
		}
	}
	return list
}

// matchLinkEnd returns a function that reports whether a link end has the given name: a
// host, a zone (any of its hosts), "log", "hostlist", "workers", or "platform" (the log or
// the host list).
func (s *scenario) matchLinkEnd(name string) func(string) bool {
	if name == "platform" {
		return func(end string) bool { return end == linkEndLog || end == linkEndHostList }
	}
	hosts := s.resolveHosts([]string{name})
	return func(end string) bool {
		for _, id := range hosts {
			if end == string(id) {
				return true
			}
		}
		return false
	}
}

// matchLinkEnds returns the matchers of two names. The second name "others" matches all
// ends that the first does not, except workers: a partitioned zone still reaches its workers.
func (s *scenario) matchLinkEnds(a, b string) (func(string) bool, func(string) bool) {
	first := s.matchLinkEnd(a)
	if b == "others" {
		return first, func(end string) bool { return !first(end) && end != linkEndWorkers }
	}
	return first, s.matchLinkEnd(b)
}

// linkCommand returns a command that changes the proxies between two link ends.
func linkCommand(change func(p *faultproxy.Proxy, forward bool)) command {
	return func(s *scenario, ts *testscript.TestScript, args []string) error {
		if len(args) != 2 {
			return usage("COMMAND END END")
		}
		a, b := s.matchLinkEnds(args[0], args[1])
		n := s.cluster.links.forEachBetween(a, b, change)
		ts.Logf("changed %d links", n)
		if n == 0 {
			return trace.NotFound("no link between %s and %s", args[0], args[1])
		}
		return nil
	}
}

// dropForward drops the bytes that flow from the first end to the second.
func dropForward(p *faultproxy.Proxy, forward bool) {
	if forward {
		p.Drop(faultproxy.ToServer)
		return
	}
	p.Drop(faultproxy.ToClient)
}

// cmdDelay delays the bytes between two link ends: delay END END DURATION.
func cmdDelay(s *scenario, ts *testscript.TestScript, args []string) error {
	if len(args) != 3 {
		return usage("delay END END DURATION")
	}
	d, err := time.ParseDuration(args[2])
	if err != nil {
		return trace.BadParameter("%v", err)
	}
	return linkCommand(func(p *faultproxy.Proxy, _ bool) { p.Delay(d) })(s, ts, args[:2])
}

// cmdHeal ends the faults of all links.
func cmdHeal(s *scenario, _ *testscript.TestScript, _ []string) error {
	all := func(string) bool { return true }
	s.cluster.links.forEachBetween(all, all, func(p *faultproxy.Proxy, _ bool) { p.Restore() })
	return nil
}

// cmdLog injects faults into the log service: log down|silent|lose-answers|up|slow DURATION.
func cmdLog(s *scenario, _ *testscript.TestScript, args []string) error {
	yes, no, zero := true, false, int64(0)
	faults := map[string]emulator.LogFault{
		"down":         {Down: &yes},
		"silent":       {Silent: &yes},
		"lose-answers": {DropResponses: &yes},
		"up":           {Down: &no, Silent: &no, DropResponses: &no, AppendDelayMS: &zero},
	}
	if len(args) == 2 && args[0] == "slow" {
		d, err := time.ParseDuration(args[1])
		if err != nil {
			return trace.BadParameter("%v", err)
		}
		ms := d.Milliseconds()
		return s.cluster.SetFaults(s.ctx, emulator.Faults{Log: &emulator.LogFault{AppendDelayMS: &ms}})
	}
	if len(args) != 1 {
		return usage("log down|silent|lose-answers|up|slow DURATION")
	}
	fault, known := faults[args[0]]
	if !known {
		return usage("log down|silent|lose-answers|up|slow DURATION")
	}
	return s.cluster.SetFaults(s.ctx, emulator.Faults{Log: &fault})
}

// cmdWorkers injects faults into workers: workers FAULT=true|false NAME..., where NAME is a
// worker, a rack or a zone.
func cmdWorkers(s *scenario, _ *testscript.TestScript, args []string) error {
	names, named := splitArgs(args)
	var list []emulator.WorkerFault
	for _, name := range names {
		fault := emulator.WorkerFault{
			IDs:  []model.WorkerID{model.WorkerID(name)},
			Rack: name,
			Zone: model.Zone(name),
		}
		err := setFaultFields(named, map[string]**bool{
			"bad": &fault.FailStarts, "lost": &fault.Lost, "leaving": &fault.Leaving, "paused": &fault.Paused,
		}, &fault.RunTimeFactor)
		if err != nil {
			return trace.Wrap(err)
		}
		list = append(list, fault)
	}
	return s.cluster.SetFaults(s.ctx, emulator.Faults{Workers: list})
}

// cmdTargets injects faults into targets: targets FAULT=true|false NAME..., where NAME is a
// target, a zone or a service.
func cmdTargets(s *scenario, _ *testscript.TestScript, args []string) error {
	names, named := splitArgs(args)
	var list []emulator.TargetFault
	for _, name := range names {
		for _, fault := range []emulator.TargetFault{
			{IDs: []model.TargetID{model.TargetID(name)}},
			{Zone: model.Zone(name)},
			{Service: model.Service(name)},
		} {
			err := setFaultFields(named, map[string]**bool{
				"failing": &fault.Failing, "silent": &fault.Silent, "leaving": &fault.Leaving, "crossed": &fault.SwapResponses,
			}, &fault.ServiceTimeFactor)
			if err != nil {
				return trace.Wrap(err)
			}
			list = append(list, fault)
		}
	}
	return s.cluster.SetFaults(s.ctx, emulator.Faults{Targets: list})
}

// setFaultFields sets the named boolean fields and, from slow=F, the slowdown factor.
func setFaultFields(named map[string]string, fields map[string]**bool, slow **float64) error {
	for name, text := range named {
		if name == "slow" {
			factor, err := strconv.ParseFloat(text, 64)
			if err != nil {
				return trace.BadParameter("slow=%s: %v", text, err)
			}
			*slow = &factor
			continue
		}
		value, err := strconv.ParseBool(text)
		if err != nil || fields[name] == nil {
			return trace.BadParameter("invalid fault %s=%s", name, text)
		}
		*fields[name] = &value
	}
	return nil
}

// cmdHold keeps the current state for a time: hold DURATION. It gives an outage its length;
// to wait for a condition, use await.
func cmdHold(s *scenario, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return usage("hold DURATION")
	}
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return trace.BadParameter("%v", err)
	}
	sleepContext(s.ctx, d)
	return trace.Wrap(s.ctx.Err())
}

// cmdAwait waits for a condition: await settled|ready DURATION, or await
// running|finished N DURATION, where N is a number of jobs.
func cmdAwait(s *scenario, _ *testscript.TestScript, args []string) error {
	const usageText = "await settled|ready DURATION, or await running|finished N DURATION"
	if len(args) < 2 {
		return usage(usageText)
	}
	timeout, err := time.ParseDuration(args[len(args)-1])
	if err != nil {
		return trace.BadParameter("%v", err)
	}
	switch {
	case args[0] == "settled":
		return s.awaitSettled(timeout)
	case args[0] == "ready":
		return s.awaitReady(timeout)
	case len(args) == 3:
		return s.awaitJobs(args[0], args[1], timeout)
	default:
		return usage(usageText)
	}
}

// countJobs returns the number of jobs with a running task and with a finished task.
func countJobs(l ledger.Ledger) (running, finished int) {
	runningJobs, finishedJobs := map[model.JobKey]bool{}, map[model.JobKey]bool{}
	for _, t := range l.Tasks {
		if t.EndUnixMS == 0 {
			runningJobs[t.Job] = true
		}
		if t.Outcome == ledger.OutcomeFinished {
			finishedJobs[t.Job] = true
		}
	}
	return len(runningJobs), len(finishedJobs)
}
