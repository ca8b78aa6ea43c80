package main

import (
	"os"
	"runtime"
	"runtime/debug"
)

const (
	// maxProcs limits GOMAXPROCS. The daemon uses 4.5 % of a core; with more threads,
	// each would run idle marking of the garbage collector and keep its own caches.
	maxProcs = 2
	// gcPercent is the value of GOGC. With Go's default of 100 the heap grows to twice
	// the live data; 20 would save 2 MB more but cost 0.7 % of a core. No memory limit
	// is set, because one below the live data makes the collector run continuously, at
	// half a core.
	gcPercent = 30
)

// limitRuntime sets GOMAXPROCS and GOGC unless the environment sets them.
func limitRuntime() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(maxProcs, runtime.NumCPU()))
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}
