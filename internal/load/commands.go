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

// command is one command of the scripts.
type command func(s *scenario, ts *testscript.TestScript, args []string) error

// scenarioCommands are the commands that scripts add to those of testscript.
// testscript itself has commands named kill and stop, hence the longer names.
func scenarioCommands() map[string]func(*testscript.TestScript, bool, []string) {
	commands := map[string]command{
		"deploy":      cmdDeploy,
		"kill-host":   onHosts(func(s *scenario, id model.HostID) error { return s.cluster.Kill(s.ctx, id) }, true),
		"stop-host":   onHosts(func(s *scenario, id model.HostID) error { return s.cluster.StopHost(s.ctx, id) }, true),
		"start-host":  onHosts(func(s *scenario, id model.HostID) error { return s.cluster.StartHost(s.ctx, id) }, false),
		"pause-host":  onHosts(signalling(syscall.SIGSTOP), false),
		"resume-host": onHosts(signalling(syscall.SIGCONT), false),
		"cut":         cmdLink(func(p *faultproxy.Proxy, _ bool) { p.Cut() }),
		"freeze":      cmdLink(func(p *faultproxy.Proxy, _ bool) { p.Freeze() }),
		"reset":       cmdLink(func(p *faultproxy.Proxy, _ bool) { p.Reset() }),
		"one-way":     cmdLink(dropForward),
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
		"judge":       func(s *scenario, ts *testscript.TestScript, _ []string) error { return s.judge(logWriter{ts}) },
	}
	wrapped := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range commands {
		wrapped[name] = func(ts *testscript.TestScript, neg bool, args []string) { runCommand(ts, run, neg, args) }
	}
	return wrapped
}

// runCommand runs a command and fails the script on an error, or on the lack of
// one when the command is negated.
func runCommand(ts *testscript.TestScript, run command, neg bool, args []string) {
	s, ok := ts.Value(scenarioKey{}).(*scenario)
	if !ok {
		ts.Fatalf("the script has no state")
	}
	begin := time.Now()
	err := run(s, ts, args)
	ts.Logf("(took %.1f s)", time.Since(begin).Seconds())
	switch {
	case err != nil && neg:
		ts.Logf("failed as expected: %v", err)
	case err != nil:
		ts.Fatalf("%v", trace.UserMessage(err))
	case neg:
		ts.Fatalf("the command succeeded, but must fail")
	}
}

// logWriter writes to the log of a script.
type logWriter struct{ ts *testscript.TestScript }

// Write implements io.Writer.
func (w logWriter) Write(p []byte) (int, error) {
	w.ts.Logf("%s", p)
	return len(p), nil
}

// splitArgs splits arguments into plain ones and name=value ones.
func splitArgs(args []string) ([]string, map[string]string) {
	var plain []string
	named := map[string]string{}
	for _, arg := range args {
		name, value, found := strings.Cut(arg, "=")
		if found {
			named[name] = value
			continue
		}
		plain = append(plain, arg)
	}
	return plain, named
}

func usage(text string) error { return trace.BadParameter("usage: %s", text) }

func cmdDeploy(s *scenario, _ *testscript.TestScript, args []string) error {
	plain, named := splitArgs(args)
	if len(plain) != 1 {
		return usage("deploy EXAMPLE [retention=20s]")
	}
	var retention time.Duration
	if value := named["retention"]; value != "" {
		var err error
		if retention, err = time.ParseDuration(value); err != nil {
			return trace.BadParameter("retention: %v", err)
		}
	}
	return s.deploy(plain[0], retention)
}

// onHosts returns a command on hosts or on all hosts of zones, one after another.
func onHosts(do func(*scenario, model.HostID) error, ends bool) command {
	return func(s *scenario, _ *testscript.TestScript, args []string) error {
		if len(args) == 0 {
			return usage("COMMAND HOST|ZONE...")
		}
		for _, id := range s.hostsOf(args) {
			s.ended[id] = ends
			if err := do(s, id); err != nil {
				return trace.Wrap(err)
			}
		}
		return nil
	}
}

func signalling(signal syscall.Signal) func(*scenario, model.HostID) error {
	return func(s *scenario, id model.HostID) error { return s.cluster.Signal(id, signal) }
}

// hostsOf returns the hosts that the arguments name, by id or by zone. An unknown
// name is returned as it is, so that its use fails.
func (s *scenario) hostsOf(names []string) []model.HostID {
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

// end returns a matcher of link ends: a host, a zone's hosts, "log", "hostlist",
// "workers", or "platform" for the log and the host list.
func (s *scenario) end(name string) func(string) bool {
	if name == "platform" {
		return func(end string) bool { return end == endLog || end == endList }
	}
	hosts := s.hostsOf([]string{name})
	return func(end string) bool {
		for _, id := range hosts {
			if end == string(id) {
				return true
			}
		}
		return false
	}
}

// ends returns matchers for two names. "others" as the second one matches all
// but the first, without workers: a zone that is cut off keeps its workers.
func (s *scenario) ends(a, b string) (func(string) bool, func(string) bool) {
	first := s.end(a)
	if b == "others" {
		return first, func(end string) bool { return !first(end) && end != endWorkers }
	}
	return first, s.end(b)
}

// cmdLink returns a command on the links between two ends.
func cmdLink(change func(p *faultproxy.Proxy, forward bool)) command {
	return func(s *scenario, ts *testscript.TestScript, args []string) error {
		if len(args) != 2 {
			return usage("COMMAND END END")
		}
		a, b := s.ends(args[0], args[1])
		n := s.cluster.links.each(a, b, change)
		ts.Logf("%d links", n)
		if n == 0 {
			return trace.NotFound("no link between %s and %s", args[0], args[1])
		}
		return nil
	}
}

// dropForward drops the bytes from the first end to the second.
func dropForward(p *faultproxy.Proxy, forward bool) {
	if forward {
		p.Drop(faultproxy.ToServer)
		return
	}
	p.Drop(faultproxy.ToClient)
}

func cmdDelay(s *scenario, ts *testscript.TestScript, args []string) error {
	if len(args) != 3 {
		return usage("delay END END DURATION")
	}
	d, err := time.ParseDuration(args[2])
	if err != nil {
		return trace.BadParameter("%v", err)
	}
	return cmdLink(func(p *faultproxy.Proxy, _ bool) { p.Delay(d) })(s, ts, args[:2])
}

// cmdHeal ends all faults of links.
func cmdHeal(s *scenario, _ *testscript.TestScript, _ []string) error {
	all := func(string) bool { return true }
	s.cluster.links.each(all, all, func(p *faultproxy.Proxy, _ bool) { p.Restore() })
	return nil
}

// cmdLog changes the log service.
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

// cmdWorkers changes workers: workers FAULT=true|false NAME..., where NAME is a
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
		err := flagsOf(named, map[string]**bool{
			"bad": &fault.FailStarts, "lost": &fault.Lost, "leaving": &fault.Leaving, "paused": &fault.Paused,
		}, &fault.RunTimeFactor)
		if err != nil {
			return trace.Wrap(err)
		}
		list = append(list, fault)
	}
	return s.cluster.SetFaults(s.ctx, emulator.Faults{Workers: list})
}

// cmdTargets changes targets: targets FAULT=true|false NAME..., where NAME is a
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
			err := flagsOf(named, map[string]**bool{
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

// flagsOf sets the named flags and the factor slow=F.
func flagsOf(named map[string]string, fields map[string]**bool, slow **float64) error {
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
			return trace.BadParameter("no fault %s=%s", name, text)
		}
		*fields[name] = &value
	}
	return nil
}

// cmdHold lets the present state last: hold DURATION. Outages have a length; the
// command is not for waiting until something happened.
func cmdHold(s *scenario, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return usage("hold DURATION")
	}
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return trace.BadParameter("%v", err)
	}
	pause(s.ctx, d)
	return trace.Wrap(s.ctx.Err())
}

// cmdAwait waits for a condition: await settled|ready DURATION, or await
// running|finished N DURATION with a number of jobs.
func cmdAwait(s *scenario, _ *testscript.TestScript, args []string) error {
	const text = "await settled|ready DURATION, or await running|finished N DURATION"
	if len(args) < 2 {
		return usage(text)
	}
	limit, err := time.ParseDuration(args[len(args)-1])
	if err != nil {
		return trace.BadParameter("%v", err)
	}
	switch {
	case args[0] == "settled":
		return s.settled(limit)
	case args[0] == "ready":
		return s.awaitReady(limit)
	case len(args) == 3:
		return s.awaitJobs(args[0], args[1], limit)
	default:
		return usage(text)
	}
}

// countJobs counts the jobs with a running task and those with a finished one.
func countJobs(l ledger.Ledger) (running, finished int) {
	ran, done := map[model.JobKey]bool{}, map[model.JobKey]bool{}
	for _, t := range l.Tasks {
		if t.EndUnixMS == 0 {
			ran[t.Job] = true
		}
		if t.Outcome == ledger.OutcomeFinished {
			done[t.Job] = true
		}
	}
	return len(ran), len(done)
}
