// Package soak runs the daemon as real processes against the stand-in of the platform
// and injects random faults from outside: signals, broken connections, and a store and
// workers that misbehave. It has tests only.
package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/faultproxy"
	"github.com/daisyfold/daisyfold/internal/standin"
	"github.com/daisyfold/daisyfold/platform/platformtest"
)

var (
	seeds  = flag.Int("soak.seeds", 1, "how many seeds to run")
	first  = flag.Uint64("soak.first", 1, "the first seed")
	length = flag.Duration("soak.length", 10*time.Second, "how long work and faults come")
)

// regressions are seeds that once failed, each with its cause.
var regressions = []uint64{}

// finishWithin is how long accepted work may take after the last fault: the wait for a
// lost worker's lease twice, and the longest job.
const finishWithin = 40 * time.Second

// TestSoak checks that every accepted job ends, is shown so, and that the workers saw no
// promise broken.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "daisyfoldd")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/daisyfoldd").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	all := regressions
	for i := range *seeds {
		all = append(all, *first+uint64(i))
	}
	for _, seed := range all {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, program, seed) })
	}
}

type run struct {
	*cluster
	rng  *rand.Rand
	wg   sync.WaitGroup
	mu   sync.Mutex
	jobs []string // paths of accepted jobs
}

func soak(t *testing.T, program string, seed uint64) {
	s := &run{cluster: newCluster(t, program, seed), rng: rand.New(rand.NewPCG(seed, 4))}
	time.Sleep(3 * time.Second) // the hosts elect a scheduler
	end := time.Now().Add(*length)
	for n := 1; time.Now().Before(end); n++ {
		s.wg.Go(s.randomJob(n))
		if s.rng.IntN(3) == 0 {
			s.randomFault()
		}
		time.Sleep(time.Duration(100+s.rng.IntN(400)) * time.Millisecond)
	}
	s.wg.Wait()
	s.heal()
	s.awaitAll()
	for _, f := range s.fleet.Ledger().Faults() {
		t.Error(f)
	}
}

// randomJob draws a job and returns the caller that hands it in at random hosts until it
// is accepted.
func (s *run) randomJob(n int) func() {
	queue := []string{"urgent", "normal", "batch"}[s.rng.IntN(3)]
	step := work.Step{
		Tasks: 1 + s.rng.IntN(6), Demand: work.Resources{CPU: 10_000, MemoryMB: 1000, Accelerators: []int{1, 2, 8}[s.rng.IntN(3)]},
		EstimateMS: 1000, Gang: s.rng.IntN(2) == 0, SavesProgress: s.rng.IntN(2) == 0,
	}
	job := &work.Job{ID: fmt.Sprintf("%016x", n), Spec: fmt.Sprint("spec ", n), MaxAttempts: 3, Steps: []work.Step{step}}
	behaviour := standin.Behaviour{Work: time.Duration(300+s.rng.IntN(3000)) * time.Millisecond}
	s.fleet.Know(job, func(int, int) standin.Behaviour { return behaviour })
	body := platformtest.EncodeSubmission(job)
	path := "/" + queue + "/" + job.ID
	at := s.rng.IntN(hosts)
	return func() {
		for try := range 60 {
			status, _ := s.hosts[(at+try)%hosts].call(http.MethodPost, path, body)
			if status == http.StatusOK {
				s.mu.Lock()
				s.jobs = append(s.jobs, path)
				s.mu.Unlock()
				return
			}
			time.Sleep(300 * time.Millisecond)
		}
		s.t.Errorf("job %s was not accepted", path)
	}
}

// randomFault starts a fault, which ends by itself.
func (s *run) randomFault() {
	host := s.hosts[s.rng.IntN(hosts)]
	worker := s.workers[s.rng.IntN(workerCount)]
	lasts := 500*time.Millisecond + time.Duration(s.rng.IntN(3500))*time.Millisecond
	later := func(f func()) {
		s.wg.Go(func() { time.Sleep(lasts); f() })
	}
	restart := func(signal syscall.Signal) {
		done := host.signal(signal)
		s.wg.Go(func() { s.restart(host, done) })
	}
	switch s.rng.IntN(13) {
	case 0, 1:
		restart(syscall.SIGKILL)
	case 2:
		restart(syscall.SIGTERM)
	case 3:
		host.signal(syscall.SIGSTOP)
		later(func() { host.signal(syscall.SIGCONT) })
	case 4:
		host.signal(syscall.SIGHUP)
	case 5:
		host.proxy.Cut()
		later(host.proxy.Restore)
	case 6:
		host.proxy.Drop([]faultproxy.Direction{faultproxy.ToServer, faultproxy.ToClient}[s.rng.IntN(2)])
		later(host.proxy.Restore)
	case 7:
		host.proxy.Freeze()
	case 8:
		host.proxy.Reset()
	case 9:
		s.store.SetFaults(standin.StoreFaults{Lost: 0.3, Slow: 50 * time.Millisecond})
		later(func() { s.store.SetFaults(standin.StoreFaults{}) })
	case 10:
		s.store.SetFaults(standin.StoreFaults{Refuse: true})
		later(func() { s.store.SetFaults(standin.StoreFaults{}) })
	case 11:
		worker.Restart()
	case 12:
		worker.Crash()
		later(worker.Restart)
	}
}

// heal ends all faults.
func (s *run) heal() {
	s.store.SetFaults(standin.StoreFaults{})
	for _, h := range s.hosts {
		h.proxy.Restore()
		h.signal(syscall.SIGCONT)
	}
}

// awaitAll waits until each accepted job is shown as completed.
func (s *run) awaitAll() {
	deadline := time.Now().Add(finishWithin)
	pending := s.jobs
	for len(pending) > 0 && time.Now().Before(deadline) {
		var open []string
		for i, path := range pending {
			status, body := s.hosts[i%hosts].call(http.MethodGet, path, nil)
			if status == http.StatusGone {
				s.t.Errorf("%s answers 410 for the accepted job %s", s.hosts[i%hosts].name, path)
			}
			if string(body) != `{"state":"completed"}` {
				open = append(open, path)
			}
		}
		pending = open
		time.Sleep(200 * time.Millisecond)
	}
	for _, path := range pending {
		s.t.Errorf("job %s has not been completed within %s", path, finishWithin)
	}
	s.t.Logf("%d jobs accepted, %d runs done", len(s.jobs), s.fleet.Ledger().Count("done"))
}
