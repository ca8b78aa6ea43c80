package main

import "time"

// reserveCase: a gang that can't be placed waits while a task that lasts has room.
func reserveCase(r *Record, trouble bool) bool {
	c := newCluster(r, 3, 12, 0)
	c.fleet.verbose = true
	c.sanity(apiKey)
	lasting := newJob(queues[1], Step{Count: 12, CPU: 8000, MemMb: 8192, GPU: 5, EstMs: 1000, AntiAffinity: 1, LongRunning: true})
	if !c.submit(lasting, otherKey) {
		r.cannot("the first job isn't accepted")
	}
	time.Sleep(5 * time.Second)
	if _, atWork := c.fleet.running(lasting); atWork != 12 {
		r.cannot("%d of 12 tasks are at work", atWork)
	}
	if trouble {
		gang := newJob(queues[1], Step{Count: 12, CPU: 52000, MemMb: 210000, GPU: 8, EstMs: 11000, Gang: true, duration: 11 * time.Second})
		if !c.submit(gang, apiKey) {
			r.cannot("the gang isn't accepted")
		}
	}
	time.Sleep(2 * time.Second)
	j := newJob(queues[2], Step{Count: 1, CPU: 4000, MemMb: 8192, GPU: 1, EstMs: 1000, LongRunning: true})
	if !c.submit(j, otherKey) {
		r.cannot("the job isn't accepted")
	}
	accepted := time.Now()
	longest := time.Duration(0)
	for time.Since(accepted) < 60*time.Second {
		time.Sleep(100 * time.Millisecond)
		if running, _ := c.fleet.running(j); running > 0 {
			break
		}
		longest = time.Since(accepted)
	}
	_, gpu := c.fleet.used()
	r.write("job %s is %q; its only task wasn't started for %v after the ack; %.0f of 100 GPUs are in use, the task needs 1 of 96", j.id, c.state(j, otherKey), longest, 100*gpu)
	return longest >= afterRun+idleTime
}
