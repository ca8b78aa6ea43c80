package main

import (
	"os"
	"runtime"
	"runtime/debug"
)

const (
	// maxThreads is enough for the daemon's 4.5 % of a core. More threads run idle
	// marking work of the garbage collector and keep caches of their own.
	maxThreads = 2
	// gcPercent trades processor time for memory: with the default of 100 the heap
	// grows to twice the live data. There is no memory limit: one below the live
	// data made the collector run without pause, at half a core. 20 saves 2 MB more
	// and costs 0.7 % of a core.
	gcPercent = 30
)

// limitRuntime sets what the environment does not set.
func limitRuntime() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(maxThreads, runtime.NumCPU()))
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}
