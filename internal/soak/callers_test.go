package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
	"github.com/daisyfold/daisyfold/platform/platformtest"
)

const (
	maxVisibleDelay  = 3 * time.Second // from an acceptance until every host knows the job
	maxSubmitRetries = 4
	// maxPersistentAttempts and persistentDelay are those of a caller that does not give up.
	maxPersistentAttempts = 60
	persistentDelay       = 300 * time.Millisecond
	// contactTime is how long after a fault the host, or the store, still counts as disturbed.
	contactTime = 3 * time.Second
)

// submission is a job and what callers know about it.
type submission struct {
	job  *work.Job
	path string
	body []byte
	// behaviour is that of all tasks.
	behaviour standin.Behaviour
	mu        sync.Mutex
	// acceptedAt is when the first acceptance was received; maybeAccepted is set by an
	// attempt whose outcome is unknown.
	acceptedAt    time.Time
	maybeAccepted bool
	cancelSentAt  time.Time
	cancelledAt   time.Time // when the cancellation was acknowledged
	ended         string    // final state that was returned
	lastCall      time.Time
}

func (s *submission) isAccepted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.acceptedAt.IsZero()
}

func (s *submission) isCancelled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.cancelSentAt.IsZero()
}

// newSubmission returns a random job: a gang, tasks in parallel, or steps after steps.
func (s *soakRun) newSubmission(rng *rand.Rand) *submission {
	n := s.jobCount.Add(1)
	id := fmt.Sprintf("%016x", n)
	queue, step := "batch", work.Step{
		Tasks: 1 + rng.IntN(min(40, *workerCount)), Demand: work.Resources{CPU: 11_000, MemoryMB: 46_000, Accelerators: 1},
		EstimateMS: 3000, SavesProgress: rng.IntN(2) == 0,
	}
	duration := 500 + rng.IntN(5500)
	switch k := rng.IntN(10); {
	case k < 5:
		queue = "urgent"
		step.Tasks, step.Gang, step.SameRack = 1+rng.IntN(6), true, rng.IntN(5) > 0
		step.Demand = work.Resources{CPU: 15_000, MemoryMB: 61_000, Accelerators: []int{1, 2, 4, 8}[rng.IntN(4)]}
		duration = 300 + rng.IntN(3000)
	case k < 7:
		queue = "normal"
		step.Tasks, step.Gang, step.SameRack = 1+rng.IntN(max(*workerCount/4, 2)), true, rng.IntN(2) == 0
		step.Demand = work.Resources{CPU: 52_000, MemoryMB: 210_000, Accelerators: []int{1, 2, 4, 8}[rng.IntN(4)]}
	case k < 8 && *workerCount < 100, rng.IntN(20) == 0:
		step.Tasks, step.LongRunning, step.SavesProgress = 1+rng.IntN(3), true, false
	}
	steps := []work.Step{step}
	for len(steps) < 4 && rng.IntN(3) == 0 && !step.LongRunning {
		next := step
		next.Tasks, next.After = 1+rng.IntN(step.Tasks), []int{len(steps) - 1}
		steps = append(steps, next)
	}
	j := &submission{
		job:       &work.Job{ID: id, Spec: "spec " + id, MaxAttempts: 3, Steps: steps},
		path:      "/" + queue + "/" + id,
		behaviour: standin.Behaviour{Work: time.Duration(duration) * time.Millisecond},
	}
	if rng.IntN(20) == 0 {
		j.behaviour.Failures = 1 + rng.IntN(4)
	}
	j.body = platformtest.EncodeSubmission(j.job)
	s.fleet.RegisterJob(j.job, func(int, int) standin.Behaviour { return j.behaviour })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.submissions = append(s.submissions, j)
	return j
}

// runCaller sends random calls until the end of the traffic.
func (s *soakRun) runCaller(rng *rand.Rand, end time.Time) {
	c := newClient()
	defer c.close()
	home := s.hosts[rng.IntN(len(s.hosts))]
	pick := func() *process {
		if rng.IntN(3) > 0 {
			return home
		}
		return s.hosts[rng.IntN(len(s.hosts))]
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(*callInterval)))
		j := s.randomSubmission(rng)
		switch k := rng.IntN(100); {
		case j == nil || k < 12:
			s.submit(c, pick, rng, s.newSubmission(rng))
		case k < 14 && j.isAccepted():
			s.cancel(c, pick(), j)
		case k < 16:
			s.handle(pick(), s.call(c, pick(), http.MethodPost, j.path, j.body), j, http.MethodPost)
		case k < 20:
			s.call(c, pick(), http.MethodGet, j.path[:strings.LastIndexByte(j.path, '/')+1], nil)
		default:
			h := pick()
			s.handle(h, s.call(c, h, http.MethodGet, j.path, nil), j, http.MethodGet)
		}
	}
}

func (s *soakRun) randomSubmission(rng *rand.Rand) *submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.submissions) == 0 {
		return nil
	}
	return s.submissions[rng.IntN(len(s.submissions))]
}

// submit submits a job to one host after the other until it is accepted, and sometimes once
// more.
func (s *soakRun) submit(c *client, pick func() *process, rng *rand.Rand, j *submission) {
	for attempt := range 1 + maxSubmitRetries {
		h := pick()
		if attempt > 0 {
			h = s.hosts[rng.IntN(len(s.hosts))]
		}
		a := s.call(c, h, http.MethodPost, j.path, j.body)
		s.handle(h, a, j, http.MethodPost)
		if a.status == http.StatusOK {
			break
		}
		time.Sleep(time.Duration(100+rng.IntN(400)) * time.Millisecond)
	}
	if !j.isAccepted() && rng.IntN(2) == 0 {
		firstHost := rng.IntN(len(s.hosts))
		s.wg.Go(func() { s.submitPersistently(firstHost, j) })
	}
	if rng.IntN(20) == 0 {
		s.wg.Go(func() {
			time.Sleep(2 * time.Second)
			late := newClient()
			defer late.close()
			s.handle(s.hosts[0], s.call(late, s.hosts[0], http.MethodPost, j.path, j.body), j, http.MethodPost)
		})
	}
}

// submitPersistently submits a job to one host after the other until it is accepted.
func (s *soakRun) submitPersistently(firstHost int, j *submission) {
	c := newClient()
	defer c.close()
	for attempt := range maxPersistentAttempts {
		h := s.hosts[(firstHost+attempt)%len(s.hosts)]
		s.handle(h, s.call(c, h, http.MethodPost, j.path, j.body), j, http.MethodPost)
		if j.isAccepted() {
			return
		}
		time.Sleep(persistentDelay)
	}
	s.addViolation("job %s was not accepted", j.path)
}

func (s *soakRun) cancel(c *client, h *process, j *submission) {
	j.mu.Lock()
	if j.cancelSentAt.IsZero() {
		j.cancelSentAt = time.Now()
	}
	j.mu.Unlock()
	s.fleet.Ledger().MarkCancelled(j.job.ID)
	s.handle(h, s.call(c, h, http.MethodDelete, j.path, nil), j, http.MethodDelete)
}

// call is client.call, and counts calls without an answer and wrong refusals.
func (s *soakRun) call(c *client, h *process, method, path string, body []byte) answer {
	a := c.call(h, method, path, "key", body)
	fault := h.faultDuring(a.sent.Add(-contactTime), a.done)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[fmt.Sprintf("%s %d", method, a.status)]++
	switch {
	case a.err != nil && fault == "":
		s.violate("%s %s at %s got no answer after %s (sent: %t): %v", method, path, h.name, a.done.Sub(a.sent), a.connected, a.err)
	case a.err != nil && a.connected:
		s.unanswered[fault]++
	case a.status == http.StatusNotFound || a.status == http.StatusUnauthorized || a.status == http.StatusBadRequest:
		s.violate("%s %s at %s got status %d %s", method, path, h.name, a.status, a.body)
	}
	return a
}

// handle checks the answer to a call that concerns a job, and records what it tells.
func (s *soakRun) handle(h *process, a answer, j *submission, method string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	wasAccepted := !j.acceptedAt.IsZero()
	switch {
	case method == http.MethodPost && a.status == http.StatusOK:
		if !wasAccepted {
			j.acceptedAt = a.done
		}
	case method == http.MethodPost && a.status != http.StatusTooManyRequests && a.status != http.StatusServiceUnavailable:
		j.maybeAccepted = j.maybeAccepted || a.connected
	case method == http.MethodDelete && (a.status == http.StatusOK || a.status == http.StatusGone):
		if j.cancelledAt.IsZero() {
			j.cancelledAt = a.done
		}
	case method == http.MethodGet && a.status == http.StatusGone && wasAccepted && a.sent.After(j.acceptedAt):
		s.addViolation("%s returned status 410 for job %s, %s after its acceptance", h.name, j.path, a.sent.Sub(j.acceptedAt))
	case method == http.MethodGet && a.status == http.StatusOK:
		s.checkState(h, a, j)
	}
}

// checkState checks the state that was returned for a job. The caller holds its lock.
func (s *soakRun) checkState(h *process, a answer, j *submission) {
	state := strings.TrimSuffix(strings.TrimPrefix(a.body, `{"state":"`), `"}`)
	ledger := s.fleet.Ledger()
	switch {
	case state == "completed" && !ledger.AllDone(j.job):
		s.addViolation("%s returned completed for job %s, which is not", h.name, j.path)
	case state == "cancelled" && j.cancelSentAt.IsZero():
		s.addViolation("%s returned cancelled for job %s, which nobody cancelled", h.name, j.path)
	case state == "failed" && ledger.MaxFailures(j.job) < j.job.MaxAttempts:
		s.addViolation("%s returned failed for job %s, whose tasks have failed %d times at most", h.name, j.path, ledger.MaxFailures(j.job))
	}
	isFinal := state == "completed" || state == "failed" || state == "cancelled"
	if j.ended != "" && state != j.ended && a.sent.After(j.lastCall) && j.cancelSentAt.IsZero() {
		// The host could not read newer statuses in time.
		s.mu.Lock()
		s.answers["older states"]++
		s.mu.Unlock()
	}
	if isFinal && j.ended == "" {
		j.ended, j.lastCall = state, a.done
	}
}
