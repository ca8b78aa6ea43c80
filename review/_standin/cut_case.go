package main

import "time"

// cutCase: two executors are cut off for a moment while tasks that last are started there.
func cutCase(r *Record, trouble bool) bool {
	c := newCluster(r, 3, 12)
	c.fleet.verbose = true
	c.sanity(apiKey)
	if trouble {
		for _, w := range c.fleet.workers[:2] {
			w.setCut(true)
			r.write("executor %s is cut off from the system's machines", w.id)
		}
	}
	time.Sleep(200 * time.Millisecond)
	j := newJob(queues[1], Step{Count: 12, CPU: 4000, MemMb: 8192, GPU: 1, EstMs: 1000, AntiAffinity: 1, LongRunning: true, MayMiss: 1})
	if !c.submit(j, apiKey) {
		r.cannot("the job isn't accepted")
	}
	time.Sleep(5300 * time.Millisecond)
	for _, w := range c.fleet.workers[:2] {
		w.setCut(false)
	}
	r.write("the cut has ended, after 5.5 s")
	time.Sleep(contactTime + calmBefore + afterRun)
	for range 10 {
		running, atWork := c.fleet.running(j)
		r.write("job %s: %d of 12 tasks run, %d are at work", j.id, running, atWork)
		time.Sleep(2 * time.Second)
	}
	idle := c.idle(j, 12, 20*time.Second)
	running, atWork := c.fleet.running(j)
	r.write("job %s is %q: %d of 12 tasks run, %d are at work; a task didn't run for %v on end in the last 20 s, all calm", j.id, c.state(j, apiKey), running, atWork, idle)
	return idle >= idleTime
}
