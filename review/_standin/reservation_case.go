package main

import "time"

// reservationCase: a gang waits beside tasks that last; a task of the next lower priority has
// room beside both.
func reservationCase(r *Record, trouble bool) bool {
	const executors = 12
	c := newCluster(r, 3, executors, 0)
	c.fleet.verbose = true
	c.sanity(apiKey)
	lasting := newJob(queues[0], Step{Count: executors, CPU: 40000, MemMb: 65536, GPU: 5, EstMs: 1000, AntiAffinity: 1, LongRunning: true})
	gang := newJob(queues[1], Step{Count: executors, CPU: 52000, MemMb: 262144, GPU: 8, EstMs: 5000, Gang: true, duration: 5 * time.Second})
	small := newJob(queues[2], Step{Count: 1, CPU: 4000, MemMb: 8192, GPU: 1, EstMs: 1000, LongRunning: true})
	if !c.submit(lasting, apiKey) {
		r.cannot("a job isn't accepted")
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		if running, _ := c.fleet.running(lasting); running == executors {
			break
		}
		if time.Now().After(end) {
			r.cannot("the tasks that last don't all run")
		}
	}
	if trouble && !c.submit(gang, apiKey) {
		r.cannot("a job isn't accepted")
	}
	time.Sleep(2 * time.Second)
	if !c.submit(small, otherKey) {
		r.cannot("a job isn't accepted")
	}
	began := time.Now()
	waited := 60 * time.Second
	for time.Since(began) < waited {
		if running, _ := c.fleet.running(small); running == 1 {
			waited = time.Since(began)
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.write("the task of job %s waited for %v; the gang is %q", small.id, waited, c.state(gang, apiKey))
	return waited >= idleTime
}
