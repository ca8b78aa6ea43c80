package main

import (
	"fmt"
	"time"
)

// Shape of a wide workflow: reducing steps wait for all mapping steps. Its body is smaller than the
// manifest's maxBodyBytes.
const (
	wideJobs      = 20
	wideInterval  = 200 * time.Millisecond // time between two jobs
	mappingSteps  = 1400
	reducingSteps = 33
)

// playWideWorkflow hands in jobs with many steps, and then a small job. After the end of
// the traffic the small job must not have nothing running while executors are free.
func playWideWorkflow(d *deployment, trouble bool) {
	r := d.record
	const small = "00000000000000b1"
	for range 8 {
		if _, err := d.addExecutor("a", "r1-1"); err != nil {
			r.abandon("%v", err)
			return
		}
	}
	if !d.begin(3) {
		return
	}
	job := wideWorkflow()
	if !trouble {
		job = map[string]any{"spec": "work 1000", "steps": []map[string]any{{"count": 16, "gpu": 1, "estMs": 900}}}
	}
	r.note("client", "the body of each of the %d jobs has %d bytes", wideJobs, len(mustMarshal(job)))
	for i := range wideJobs {
		if !d.submit(fmt.Sprintf("0000000000000c%02x", i), job) {
			return
		}
		time.Sleep(wideInterval)
	}
	if !d.submit(small, wholeExecutor(2*time.Second)) {
		return
	}
	r.note("client", "the traffic ends")
	d.judgeIdle(small)
}

// wideWorkflow returns a job of steps with one task each.
func wideWorkflow() map[string]any {
	steps := make([]map[string]any, 0, mappingSteps+reducingSteps)
	mapping := make([]int, mappingSteps)
	for i := range mapping {
		mapping[i] = i
		steps = append(steps, map[string]any{"count": 1, "gpu": 1, "estMs": 900})
	}
	for range reducingSteps {
		steps = append(steps, map[string]any{"count": 1, "gpu": 1, "estMs": 900, "after": mapping})
	}
	return map[string]any{"spec": "work 1000", "steps": steps}
}
