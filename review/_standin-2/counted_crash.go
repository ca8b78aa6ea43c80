package main

import (
	"sync"
	"time"
)

// ends counts how runs have ended, by job.
var ends = struct {
	sync.Mutex
	failed map[string]int
}{failed: map[string]int{}}

// runEnded notes the end of a run.
func (d *deployment) runEnded(task, how string) {
	if how != "failed" {
		return
	}
	ends.Lock()
	defer ends.Unlock()
	ends.failed[jobOf(task)]++
}

// playCountedCrash runs a job of one task while one executor of eight crashes and comes back four
// times; the others are in use by other jobs. The job's task never fails.
func playCountedCrash(d *deployment, trouble bool) {
	r := d.record
	const job = "00000000000000b1"
	for range 8 {
		if _, err := d.addExecutor("a", "r1-1"); err != nil {
			r.abandon("%v", err)
			return
		}
	}
	if !d.begin(3) {
		return
	}
	// Seven jobs of one task each fill seven executors for the whole case.
	for i := range 7 {
		id := "00000000000000a" + string(rune('1'+i))
		if !d.submit(id, wholeExecutor(100*time.Second)) {
			return
		}
	}
	if !await(5*time.Second, func() bool { return d.busyExecutors() == 7 }) {
		r.abandon("the other jobs do not start")
		return
	}
	if !d.submit(job, wholeExecutor(6*time.Second)) {
		return
	}
	const crashes = 4
	for crash := range crashes {
		if !trouble {
			break
		}
		var x *executor
		if !await(15*time.Second, func() bool { x = d.runsOn(job); return x != nil }) {
			r.note("case", "the job does not start again before crash %d", crash+1)
			break
		}
		time.Sleep(3 * time.Second)
		x.crash("power loss")
		time.Sleep(time.Second)
		if err := x.restart(""); err != nil {
			r.abandon("%v", err)
			return
		}
	}
	var state string
	ended := await(30*time.Second, func() bool {
		state = d.hosts[0].state(job)
		time.Sleep(200 * time.Millisecond)
		return state == "completed" || state == "failed" || state == "cancelled"
	})
	ends.Lock()
	failed := ends.failed[job]
	ends.Unlock()
	r.note("client", "GET %s%s: %s; %d runs of the job have ended failed, and maxAttempts is %d", queuePrefix, job, state, failed, maxAttempts)
	switch {
	case !ended:
		r.abandon("the job has not ended: %s", state)
	case state == "failed" && failed < maxAttempts:
		r.breaks("LOST: an accepted job that nobody has cancelled is shown as failed after %d ends failed; maxAttempts is %d", failed, maxAttempts)
	}
}

// wholeExecutor returns a job of one task that needs all accelerators of an executor.
func wholeExecutor(work time.Duration) map[string]any {
	return map[string]any{"spec": "work " + ms(work), "steps": []map[string]any{
		{"count": 1, "cpu": 52000, "memMb": 270000, "gpu": 8, "estMs": work.Milliseconds()},
	}}
}

// busyExecutors returns the number of executors with runs.
func (d *deployment) busyExecutors() int {
	n := 0
	for _, x := range d.executors {
		if x.runsNow() > 0 {
			n++
		}
	}
	return n
}

// runsOn returns the executor with a run of the job, or nil.
func (d *deployment) runsOn(job string) *executor {
	for _, x := range d.executors {
		if _, ok := x.runOf(job); ok {
			return x
		}
	}
	return nil
}
