// Package soak runs the daemon's processes against a simulated platform and injects random
// faults from outside: signals, broken connections, and faults of the store and the
// workers. It has tests only.
package soak

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

var (
	seedCount    = flag.Int("soak.seeds", 1, "number of seeds to run")
	firstSeed    = flag.Uint64("soak.first", 1, "the first seed")
	loadDuration = flag.Duration("soak.length", 10*time.Second, "how long jobs are submitted and faults injected")
	hostCount    = flag.Int("soak.hosts", 4, "number of hosts")
	workerCount  = flag.Int("soak.workers", 12, "number of workers")
	callerCount  = flag.Int("soak.callers", 16, "number of callers")
	callInterval = flag.Duration("soak.interval", 200*time.Millisecond, "mean time between two calls of a caller")
	faultGap     = flag.Duration("soak.gap", 700*time.Millisecond, "mean time between two faults")
	raceDetector = flag.Bool("soak.race", false, "build the daemon with the race detector")
	unreadLogs   = flag.Bool("soak.unread", false, "write the daemons' logs to pipes that nobody reads")
	keepLogs     = flag.String("soak.logs", "", "directory to which the logs of all runs are copied")
)

// regressions are seeds that have failed before, each with the cause of the failure.
var regressions = []uint64{}

const (
	electionTime = 3 * time.Second
	// finishTime is how long after the end of the traffic every job must be known, and every
	// task whose turn has come must run if there is room for it.
	finishTime = 14 * time.Second
	// maxStarvation is how long a job may have nothing running then.
	maxStarvation = 3 * time.Second
	// completionTimeout bounds the time from finishTime until all jobs have ended: the longest
	// job works for 72 s, four steps of 6 s that run on several racks.
	completionTimeout = 90 * time.Second
)

// TestSoak checks the answers to all calls, that every accepted job is executed and reported
// as callers expect, and that the workers observe no violation.
func TestSoak(t *testing.T) {
	daemonPath := buildDaemon(t)
	all := regressions
	for i := range *seedCount {
		all = append(all, *firstSeed+uint64(i))
	}
	for _, seed := range all {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSoak(t, daemonPath, seed) })
	}
}

// soakRun is the state of the test for one seed.
type soakRun struct {
	*cluster
	wg              sync.WaitGroup
	jobCount        atomic.Int64
	manifestVersion int64
	storeState      process // faults of everything but the hosts' processes
	mu              sync.Mutex
	submissions     []*submission
	zonesOut        map[string]bool
	answers         map[string]int // by method and status
	unanswered      map[string]int // calls without an answer, by the fault of the host
	violations      []string
	began           time.Time
}

func (s *soakRun) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violate(format, args...)
}

// maxViolations limits the violations of the callers that are reported.
const maxViolations = 40

// violate is addViolation for callers that hold the lock.
func (s *soakRun) violate(format string, args ...any) {
	if len(s.violations) < maxViolations {
		s.violations = append(s.violations, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

func runSoak(t *testing.T, daemonPath string, seed uint64) {
	s := &soakRun{cluster: newCluster(t, daemonPath, seed), manifestVersion: 1, zonesOut: map[string]bool{}, answers: map[string]int{}, unanswered: map[string]int{}}
	s.storeState.name = "store"
	time.Sleep(electionTime)
	rng := rand.New(rand.NewPCG(seed, 4))
	s.began = time.Now()
	end := s.began.Add(*loadDuration)
	for i := range *callerCount {
		callerRNG := rand.New(rand.NewPCG(seed, uint64(100+i)))
		s.wg.Go(func() { s.runCaller(callerRNG, end) })
	}
	for {
		time.Sleep(time.Duration((0.2 + rng.ExpFloat64()*0.8) * float64(*faultGap)))
		if time.Until(end) < 2*time.Second {
			break
		}
		s.logFault(s.randomFault(rng))
	}
	for range rng.IntN(4) {
		s.logFault(s.randomFault(rng))
	}
	s.logFault(s.finalFault(rng))
	time.Sleep(time.Until(end))
	trafficEnd := time.Now()
	s.wg.Wait()
	s.awaitEnds(trafficEnd)
	for _, v := range append(s.violations, s.fleet.Ledger().Violations()...) {
		t.Error(v)
	}
	t.Logf("%d jobs, %d runs done, %d calls refused by the rate limits, answers %v, without an answer %v, %s", len(s.submissions), s.fleet.Ledger().Count("done"), s.limits.Refused(), s.answers, s.unanswered, s.resources())
}

func (s *soakRun) logFault(name string) {
	s.t.Logf("%s %.1f s: %s", time.Now().UTC().Format("15:04:05.000"), time.Since(s.began).Seconds(), name)
}

// finalFault starts the fault near the end of the traffic and returns its name.
func (s *soakRun) finalFault(rng *rand.Rand) string {
	switch rng.IntN(5) {
	case 0, 1:
		s.stopAll(s.hosts, syscall.SIGKILL, 1400*time.Millisecond)
		return "final: all hosts killed"
	case 2:
		s.stopAll([]*process{s.owner()}, syscall.SIGKILL, 1400*time.Millisecond)
		return "final: owner killed"
	case 3:
		s.stopAll(s.zoneHosts(rng), syscall.SIGKILL, 3*time.Second)
		return "final: zone killed"
	}
	return "final: " + s.randomFault(rng)
}

// awaitEnds checks from finishTime after the end of the traffic that every accepted job is
// known and none starves, until all have ended. Jobs that last are cancelled then.
func (s *soakRun) awaitEnds(trafficEnd time.Time) {
	s.t.Logf("%s end of the traffic and faults", time.Now().UTC().Format("15:04:05.000"))
	time.Sleep(time.Until(trafficEnd.Add(finishTime)))
	c := newClient()
	defer c.close()
	s.checkRefused()
	pending := s.acceptedSubmissions()
	starvedSince, deadline, round := map[string]time.Time{}, time.Now().Add(completionTimeout), 0
	for ; len(pending) > 0 && time.Now().Before(deadline); round++ {
		s.checkStarvation(pending, starvedSince)
		var unfinished []*submission
		for i, j := range pending {
			h := s.hosts[(i+round)%len(s.hosts)]
			a := s.call(c, h, http.MethodGet, j.path, nil)
			s.handle(h, a, j, http.MethodGet)
			if a.status != http.StatusOK && round == 0 {
				s.addViolation("%s returned status %d for the accepted job %s at the end: %v %s", h.name, a.status, j.path, a.err, a.body)
			}
			if strings.Contains(a.body, "running") || strings.Contains(a.body, "queued") || a.status != http.StatusOK {
				unfinished = append(unfinished, j)
			}
		}
		if round == 20 {
			s.cancelLongRunning(c, unfinished)
		}
		pending = unfinished
		time.Sleep(250 * time.Millisecond)
	}
	for _, j := range pending {
		s.addViolation("job %s has not ended (all tasks done: %t, runs: %d, accepted %s)", j.path, s.fleet.Ledger().AllDone(j.job), s.fleet.Ledger().RunningJobs()[j.job.ID], j.acceptedAt.UTC().Format("15:04:05.000"))
	}
}

// acceptedSubmissions returns the jobs that a caller knows to be accepted.
func (s *soakRun) acceptedSubmissions() []*submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	var accepted []*submission
	for _, j := range s.submissions {
		if j.isAccepted() {
			accepted = append(accepted, j)
		}
	}
	return accepted
}

// checkRefused checks that no job runs that was refused by every host that was asked.
func (s *soakRun) checkRefused() {
	running := s.fleet.Ledger().RunningJobs()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.submissions {
		if !j.isAccepted() && !j.maybeAccepted && (running[j.job.ID] > 0 || s.fleet.Ledger().AllDone(j.job)) {
			s.violate("job %s was refused by all hosts, but it runs", j.path)
		}
		if !j.cancelledAt.IsZero() && running[j.job.ID] > 0 {
			s.violate("job %s runs %s after its cancellation", j.path, time.Since(j.cancelledAt))
		}
	}
}

// checkStarvation reports jobs that have nothing running for maxStarvation. since holds the
// times since when they have nothing running.
func (s *soakRun) checkStarvation(pending []*submission, since map[string]time.Time) {
	var ids []string
	paths := map[string]string{}
	for _, j := range pending {
		if !j.isCancelled() {
			ids = append(ids, j.job.ID)
			paths[j.job.ID] = j.path
		}
	}
	s.mu.Lock()
	zonesOut := s.zonesOut
	s.mu.Unlock()
	starved := map[string]bool{}
	for _, name := range s.fleet.Starved(ids, zonesOut) {
		starved[name] = true
		if since[name].IsZero() {
			since[name] = time.Now()
		}
		if time.Since(since[name]) > maxStarvation {
			id, _, _ := strings.Cut(name, ".")
			s.addViolation("%s of %s has nothing running for %s, with room for it", name, paths[id], maxStarvation)
			since[name] = time.Now().Add(time.Hour)
		}
	}
	for name := range since {
		if !starved[name] {
			delete(since, name)
		}
	}
}

func (s *soakRun) cancelLongRunning(c *client, jobs []*submission) {
	for _, j := range jobs {
		if j.job.Steps[0].LongRunning {
			s.cancel(c, s.hosts[0], j)
		}
	}
}

// resources describes the largest peak of memory and the largest number of open
// descriptors of the hosts' processes.
func (s *soakRun) resources() string {
	peakKB, descriptors := 0, 0
	for _, p := range s.hosts {
		dir := filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid))
		status, _ := os.ReadFile(filepath.Join(dir, "status")) // empty if the process has ended
		for line := range strings.Lines(string(status)) {
			if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
				kb, _ := strconv.Atoi(fields[1])
				peakKB = cmp.Or(max(peakKB, kb), kb)
			}
		}
		open, _ := os.ReadDir(filepath.Join(dir, "fd"))
		descriptors = max(descriptors, len(open))
	}
	return fmt.Sprintf("at most %d MB and %d descriptors", peakKB>>10, descriptors)
}
