package main

import (
	"sync"
	"syscall"
	"time"
)

// Time after which the platform carries out an order late.
const (
	minLateness = 2 * time.Second
	maxLateness = 12 * time.Second
)

// playLateUpkeep requests a wave of upkeep with a cap of 1. The platform leaves the holder's first
// order unanswered and carries it out late; the holder is stopped with SIGTERM as in a planned
// restart, and another host takes over.
func playLateUpkeep(d *deployment, trouble bool) {
	r := d.record
	for i := range 6 {
		labels := []string{"a", "r1-1"}
		if i == 0 {
			labels = []string{"b", "r1-1"}
		}
		if _, err := d.addExecutor(labels...); err != nil {
			r.abandon("%v", err)
			return
		}
	}
	if !d.begin(3) {
		return
	}
	ordered := make(chan struct{})
	var once sync.Once
	if trouble {
		d.machines.lateOrder = func(string, string) (late bool) {
			once.Do(func() { late = true; close(ordered) })
			return late
		}
		d.machines.late = func(carryOut func()) {
			// Any time from 2 to 12 s is allowed: while another machine is down, if there is one.
			arrived := time.Now()
			time.Sleep(minLateness)
			for time.Since(arrived) < maxLateness-100*time.Millisecond && d.machines.downNow() == 0 {
				time.Sleep(20 * time.Millisecond)
			}
			carryOut()
		}
	}
	holder := d.owner()
	d.machines.request(1, 30*time.Second, 1, "m-01", "m-02", "m-03", "m-04")
	if trouble {
		<-ordered
		holder.signal(syscall.SIGTERM)
	}
	// Work that only the first machine can run keeps it in use.
	if !d.submit("00000000000000a1", map[string]any{"spec": "work 15000", "steps": []map[string]any{
		{"count": 1, "cpu": 11000, "memMb": 59000, "gpu": 1, "estMs": 15000, "requires": "b"},
	}}) {
		return
	}
	completed := await(60*time.Second, func() bool {
		status, _ := d.store.Newest("keyed.status", "wave/1")
		return string(status.Value) == `{"state":"completed"}`
	})
	r.note("operator", "reads status/wave/1: completed %v", completed)
	if !completed {
		r.abandon("the wave is not completed within 60 s")
	}
}
