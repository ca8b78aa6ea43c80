package main

import "time"

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

// oneTask returns a job of one task on one accelerator.
func oneTask(work time.Duration) map[string]any {
	return map[string]any{"spec": "work " + ms(work), "steps": []map[string]any{
		{"count": 1, "cpu": 11000, "memMb": 59000, "gpu": 1, "estMs": work.Milliseconds()},
	}}
}
