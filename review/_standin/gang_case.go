package main

import "time"

// gangCase: several members of a gang fail in its first run, because their executors fail all
// that they start.
func gangCase(r *Record, trouble bool) bool {
	const executors, failing = 48, 4
	c := newCluster(r, 3, executors, 0)
	c.fleet.verbose = true
	c.sanity(apiKey)
	gang := newJob(queues[1], Step{Count: executors - failing, CPU: 52000, MemMb: 262144, GPU: 8, EstMs: 3000, Gang: true, duration: 3 * time.Second})
	bad := map[string]bool{}
	c.fleet.mu.Lock()
	c.fleet.failAfter = func(x *run) time.Duration {
		if !trouble || x.task.job != gang.id {
			return 0
		}
		if x.number == 1 && len(bad) < failing {
			bad[x.worker.id] = true
		}
		if bad[x.worker.id] {
			return breakTime / 2
		}
		return 0
	}
	c.fleet.mu.Unlock()
	if !c.submit(gang, apiKey) {
		r.cannot("a job isn't accepted")
	}
	state := c.await(gang, apiKey, 40*time.Second, "completed", "failed")
	kinds, done := c.fleet.ended(gang)
	runs := 0
	c.fleet.mu.Lock()
	for t, n := range c.fleet.starts {
		if t.job == gang.id {
			runs = max(runs, n)
		}
	}
	c.fleet.mu.Unlock()
	r.write("job %s is %q after %d runs of %d attempts, %d tasks are done; ends: %v", gang.id, state, runs, attempts[1], done, kinds)
	return state == "failed" && runs < attempts[1]
}
