package main

import "time"

// playOtherKind cuts an idle executor off from the platform's store. It crashes behind the cut and
// starts again as one of another kind, at the same address and under the same id. Then a job
// comes that only the former kind can run.
func playOtherKind(d *deployment, trouble bool) {
	r := d.record
	for range 8 {
		if _, err := d.addExecutor("a", "r1-1"); err != nil {
			r.abandon("%v", err)
			return
		}
	}
	if !d.begin(3) {
		return
	}
	for i := range 7 {
		if !d.submit("00000000000000a"+string(rune('1'+i)), wholeExecutor(100*time.Second)) {
			return
		}
	}
	if !await(5*time.Second, func() bool { return d.busyExecutors() == 7 }) {
		r.abandon("the other jobs do not start")
		return
	}
	var idle *executor
	for _, x := range d.executors {
		if x.runsNow() == 0 {
			idle = x
		}
	}
	// The holder looks at an idle executor every few seconds; the crash follows one of the looks.
	before := idle.lastHold()
	if !await(10*time.Second, func() bool { return idle.lastHold().After(before) }) {
		r.abandon("the holder does not look at the idle executor")
		return
	}
	if trouble {
		idle.setCut(true)
		idle.crash("power loss")
		idle.become(capacity{32000, 131072, 2}, "b", "r1-1")
		time.Sleep(300 * time.Millisecond)
		if err := idle.restart(""); err != nil {
			r.abandon("%v", err)
			return
		}
	}
	time.Sleep(500 * time.Millisecond)
	job := wholeExecutor(2 * time.Second)
	job["steps"].([]map[string]any)[0]["requires"] = "a"
	if !d.submit("00000000000000b1", job) {
		return
	}
	time.Sleep(4 * time.Second)
	if trouble {
		idle.setCut(false)
	}
	time.Sleep(4 * time.Second)
	r.note("client", "GET %s%s: %s", queuePrefix, "00000000000000b1", d.hosts[0].state("00000000000000b1"))
}
