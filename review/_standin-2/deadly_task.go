package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// crashDelay is the time from the start of a task that crashes its executor to the crash.
	crashDelay = 50 * time.Millisecond
	// downTime is how long the executor is down then.
	downTime = 8 * time.Second
	// A task may be started maxStartsAfter times after crashesBefore executors have crashed under it.
	crashesBefore  = 3
	maxStartsAfter = 2
)

// playDeadlyTask hands in ten jobs, one of which has a task that crashes each executor that starts it.
// The executor is back after some seconds, later than the lease that it had.
func playDeadlyTask(d *deployment, trouble bool) {
	r := d.record
	const job = "00000000000000b1"
	d.site = kerherve
	for range 12 {
		if _, err := d.addExecutor("a", "r1-1"); err != nil {
			r.abandon("%v", err)
			return
		}
	}
	var mu sync.Mutex
	crashes, startsAfter := 0, 0
	over := make(chan struct{})
	d.deadly = func(x *executor, task string) {
		if !trouble || jobOf(task) != job {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if crashes >= crashesBefore {
			if startsAfter++; startsAfter == maxStartsAfter+1 {
				r.breaks("BUDGET: %s, which crashes the executors that start it, is started %d times after %d executors have crashed under it",
					task, startsAfter, crashesBefore)
				close(over)
			}
		}
		time.AfterFunc(crashDelay, func() {
			x.crash("a task crashes it")
			mu.Lock()
			crashes++
			mu.Unlock()
			time.Sleep(downTime)
			if err := x.restart(""); err != nil {
				r.abandon("%v", err)
			}
		})
	}
	if !d.begin(3) {
		return
	}
	for i := range 9 {
		if !d.submit(fmt.Sprintf("00000000000000a%d", i), oneTask(2*time.Second)) {
			return
		}
	}
	if !d.submit(job, oneTask(2*time.Second)) {
		return
	}
	for end := time.Now().Add(90 * time.Second); time.Now().Before(end); {
		state := d.hosts[0].state(job)
		if state == "completed" || state == "failed" {
			r.note("client", "job %s: %s", job, state)
			return
		}
		select {
		case <-over:
			r.note("client", "job %s: %s", job, state)
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
	r.note("client", "job %s: %s", job, d.hosts[0].state(job))
}
