package main

import (
	"fmt"
	"time"
)

// recordCase: the state of one large job grows beyond a record of the store.
func recordCase(r *Record, trouble bool) bool {
	c := newCluster(r, 3, 12, 0)
	c.sanity(otherKey)
	repeats, parts := 6, 1
	if !trouble {
		repeats, parts = 3, 2 // the same tasks in two jobs
	}
	var large []*Job
	first := time.Now().Add(time.Second).UnixMilli()
	for range parts {
		j := newJob(queues[2], Step{Count: 333, CPU: 1000, MemMb: 1024, EstMs: 4000, SavesProgress: true, duration: 4 * time.Second},
			Step{Count: 333, CPU: 1000, MemMb: 1024, EstMs: 4000, After: []int{0}, SavesProgress: true, duration: 4 * time.Second})
		j.Repeats, j.FirstMs, j.PeriodMs = repeats, first, 4500
		if !c.submit(j, apiKey) {
			r.cannot("the large job isn't accepted")
		}
		large = append(large, j)
	}
	for range 42 {
		time.Sleep(time.Second)
		for _, j := range large {
			running, _ := c.fleet.running(j)
			_, done := c.fleet.ended(j)
			c.store.mu.Lock()
			size, refused := len(c.store.part("keyed.runs").newest["s/"+j.id].value), fmt.Sprint(c.store.refused)
			c.store.mu.Unlock()
			r.write("job %s: %d tasks run, %d of %d are done; its largest record in keyed.runs has %d bytes; appends that the store refused: %s",
				j.id, running, done, repeats*666, size, refused)
		}
	}
	var others []*Job
	for i := range 4 {
		j := newJob(queues[i%3], Step{Count: 2, CPU: 1000, MemMb: 1024, EstMs: 1000, duration: time.Second})
		if !c.submit(j, otherKey) {
			r.cannot("a short job isn't accepted")
		}
		others = append(others, j)
	}
	r.write("end of the traffic")
	time.Sleep(finishTime)
	broken := false
	for _, j := range others {
		state := c.state(j, otherKey)
		_, done := c.fleet.ended(j)
		if done == 2 {
			continue
		}
		idle := c.idle(j, 1, idleTime+500*time.Millisecond)
		r.write("job %s of another tenant is %q; %d of 2 tasks are done; nothing of it ran for %v, %v after the end of the traffic", j.id, state, done, idle, finishTime)
		broken = broken || idle >= idleTime
	}
	for _, j := range large {
		kinds, done := c.fleet.ended(j)
		r.write("large job %s is %q; %d of %d tasks are done; ends: %v", j.id, c.state(j, apiKey), done, repeats*666, kinds)
	}
	return broken
}
