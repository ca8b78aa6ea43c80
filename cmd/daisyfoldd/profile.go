//go:build profile

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"runtime/pprof"
	"time"
)

// Start and duration of the CPU profile. They lie within the measurement window of
// daisyfold-load footprint.
const (
	cpuProfileDelay    = 15 * time.Second
	cpuProfileDuration = 10 * time.Second
)

// init schedules the profiles if the environment variable DAISYFOLD_PROFILE is set. They
// are written to the directory that it names, as cpu.pprof, heap.pprof, memory.txt and
// goroutine.txt. Only builds with the tag profile have a profiler.
func init() {
	dir := os.Getenv("DAISYFOLD_PROFILE")
	if dir == "" {
		return
	}
	runtime.MemProfileRate = 16 << 10
	time.AfterFunc(cpuProfileDelay, func() { writeProfiles(dir) })
}

// writeProfiles records the CPU profile and then writes all profiles to dir. Errors are
// ignored.
func writeProfiles(dir string) {
	cpu, err := os.Create(filepath.Join(dir, "cpu.pprof"))
	if err != nil {
		return
	}
	defer func() { _ = cpu.Close() }()
	if pprof.StartCPUProfile(cpu) == nil {
		time.Sleep(cpuProfileDuration)
		pprof.StopCPUProfile()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	text := fmt.Sprintf("heap in use %d idle %d released %d stacks %d system %d live after GC %d\n",
		stats.HeapInuse, stats.HeapIdle, stats.HeapReleased, stats.StackInuse, stats.Sys, stats.NextGC)
	if status, err := os.ReadFile("/proc/self/status"); err == nil {
		text += string(status)
	}
	_ = os.WriteFile(filepath.Join(dir, "memory.txt"), []byte(text), 0o600)
	for name, file := range map[string]string{"allocs": "heap.pprof", "goroutine": "goroutine.txt"} {
		out, err := os.Create(filepath.Join(dir, file))
		if err != nil {
			return
		}
		_ = pprof.Lookup(name).WriteTo(out, map[string]int{"allocs": 0, "goroutine": 1}[name])
		_ = out.Close()
	}
}
