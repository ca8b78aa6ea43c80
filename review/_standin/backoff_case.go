package main

import "time"

// backoffCase: the tasks of one tenant's job fail again and again; another tenant's task,
// which fails once, has to be started again.
func backoffCase(r *Record, trouble bool) bool {
	c := newCluster(r, 3, 4, 0)
	c.fleet.verbose = true
	c.sanity(apiKey)
	noisy := newJob(queues[1], Step{Count: 4, CPU: 4000, MemMb: 8192, EstMs: 1000, AntiAffinity: 1, LongRunning: true})
	quiet := newJob(queues[1], Step{Count: 1, CPU: 4000, MemMb: 8192, EstMs: 1000, LongRunning: true})
	c.fleet.mu.Lock()
	c.fleet.failAfter = func(x *run) time.Duration {
		if x.task.job == noisy.id && trouble {
			return 1500 * time.Millisecond
		}
		return 0
	}
	c.fleet.mu.Unlock()
	if !c.submit(quiet, otherKey) || !c.submit(noisy, apiKey) {
		r.cannot("a job isn't accepted")
	}
	for end := time.Now().Add(50 * time.Second); time.Now().Before(end) && !c.allFailed(6); {
		time.Sleep(100 * time.Millisecond)
	}
	if !c.failNow(quiet) {
		r.cannot("the other tenant's task doesn't run")
	}
	time.Sleep(afterRun)
	idle := c.idle(quiet, 1, 30*time.Second)
	kinds, _ := c.fleet.ended(quiet)
	r.write("job %s of the other tenant is %q; its task didn't run for %v on end, from 6 s after its last run; ends: %v", quiet.id, c.state(quiet, otherKey), idle, kinds)
	return idle >= idleTime
}

// allFailed reports whether n runs at least have failed on each executor.
func (c *Cluster) allFailed(n int) bool {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	for _, w := range c.fleet.workers {
		if w.failures < n {
			return false
		}
	}
	return true
}

// failNow lets the running tasks of a job fail, and reports whether there were any.
func (c *Cluster) failNow(j *Job) (any bool) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	for _, w := range c.fleet.workers {
		for _, x := range w.runs {
			if x.task.job == j.id {
				any = true
				w.finish(x, "failed")
			}
		}
	}
	return any
}
