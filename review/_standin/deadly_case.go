package main

import "time"

// deadlyCase: two tasks of a job crash each executor that starts them, before it answers.
func deadlyCase(r *Record, trouble bool) bool {
	c := newCluster(r, 3, 12, 0)
	c.fleet.verbose = true
	c.sanity(apiKey)
	j := newJob(queues[1], Step{Count: 2, CPU: 52000, MemMb: 210000, GPU: 8, EstMs: 5000, AntiAffinity: 1, duration: 5 * time.Second})
	c.fleet.mu.Lock()
	c.fleet.crashes = func(x *run) bool { return trouble && x.task.job == j.id }
	c.fleet.mu.Unlock()
	var others []*Job
	for range 9 {
		o := newJob(queues[1], Step{Count: 2, CPU: 13000, MemMb: 52000, GPU: 1, EstMs: 5000, duration: 5 * time.Second})
		if !c.submit(o, otherKey) {
			r.cannot("a job isn't accepted")
		}
		others = append(others, o)
		time.Sleep(200 * time.Millisecond)
	}
	if !c.submit(j, apiKey) {
		r.cannot("the job isn't accepted")
	}
	state := c.await(j, apiKey, 60*time.Second, "completed", "failed")
	most := 0
	c.fleet.mu.Lock()
	for t, n := range c.fleet.starts {
		if t.job == j.id {
			r.write("%s was started %d times; %d executors crashed under it; %d starts came after the third crash", t, n, c.fleet.crashed[t], c.fleet.afterThree[t])
			most = max(most, c.fleet.afterThree[t])
		}
	}
	c.fleet.mu.Unlock()
	for _, o := range others {
		kinds, done := c.fleet.ended(o)
		r.write("job %s of another tenant: %d of 2 tasks are done; ends: %v", o.id, done, kinds)
	}
	r.write("job %s is %q", j.id, state)
	return most >= 3
}
