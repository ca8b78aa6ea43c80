package main

import "time"

// gangCase: four of 48 executors fail all that they start.
func gangCase(r *Record, trouble bool) bool {
	c := newCluster(r, 3, 48, 0)
	c.fleet.verbose = true
	c.sanity(apiKey)
	if trouble {
		c.fleet.mu.Lock()
		for _, w := range c.fleet.workers[:4] {
			w.failing = true
			r.write("executor %s fails all that it starts", w.id)
		}
		c.fleet.failAfter = func(x *run) time.Duration {
			if x.worker.failing {
				return 200 * time.Millisecond
			}
			return 0
		}
		c.fleet.mu.Unlock()
		defer time.AfterFunc(6500*time.Millisecond, func() {
			c.fleet.mu.Lock()
			defer c.fleet.mu.Unlock()
			for _, w := range c.fleet.workers {
				w.failing = false
			}
		}).Stop()
	}
	j := newJob(queues[1], Step{Count: 12, CPU: 52000, MemMb: 210000, GPU: 8, EstMs: 11000, Gang: true, duration: 11 * time.Second})
	if !c.submit(j, apiKey) {
		r.cannot("the job isn't accepted")
	}
	state := c.await(j, apiKey, 40*time.Second, "completed", "failed")
	kinds, done := c.fleet.ended(j)
	last := 0
	c.fleet.mu.Lock()
	for _, w := range c.fleet.workers {
		for t, n := range w.highest {
			if t.job == j.id {
				last = max(last, n)
			}
		}
	}
	c.fleet.mu.Unlock()
	r.write("job %s is %q after %d runs of its gang; %d of 12 tasks are done; ends of members: %v; maxAttempts %d", j.id, state, last, done, kinds, attempts[1])
	return state == "failed" && last < attempts[1] || state != "completed" && state != "failed"
}
