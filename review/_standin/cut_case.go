package main

import "time"

// cutCase: two executors are cut off for a moment while tasks that last are started there.
func cutCase(r *Record, trouble bool) bool {
	c := newCluster(r, 3, 12, 2)
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
	k := newJob(queues[1], Step{Count: 2, CPU: 4000, MemMb: 8192, GPU: 1, EstMs: 1000, Requires: "b", AntiAffinity: 1, LongRunning: true, MayMiss: 1})
	if !c.submit(j, apiKey) || !c.submit(k, otherKey) {
		r.cannot("a job isn't accepted")
	}
	time.Sleep(5300 * time.Millisecond)
	for _, w := range c.fleet.workers[:2] {
		w.setCut(false)
	}
	r.write("the cut has ended, after 5.5 s")
	time.Sleep(contactTime + calmBefore + afterRun)
	for range 8 {
		running, atWork := c.fleet.running(j)
		r.write("job %s: %d of 12 tasks run, %d are at work", j.id, running, atWork)
		running, atWork = c.fleet.running(k)
		r.write("job %s: %d of 2 tasks run, %d are at work", k.id, running, atWork)
		time.Sleep(2 * time.Second)
	}
	idle, idleK := c.idle(j, 12, 12*time.Second), c.idle(k, 1, 12*time.Second)
	running, atWork := c.fleet.running(j)
	r.write("job %s is %q: %d of 12 tasks run, %d are at work; a task didn't run for %v on end in 12 s, all calm", j.id, c.state(j, apiKey), running, atWork, idle)
	running, atWork = c.fleet.running(k)
	r.write("job %s is %q: %d of 2 tasks run, %d are at work; nothing of it ran for %v on end in the last 12 s, all calm", k.id, c.state(k, otherKey), running, atWork, idleK)
	return idle >= idleTime || idleK >= idleTime
}
