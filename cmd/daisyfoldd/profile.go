//go:build profile

package main

import (
	"os"
	"path/filepath"
	"runtime"
	"runtime/pprof"
	"time"
)

// The profiles cover the footprint command's window.
const (
	profileAfter = 30 * time.Second
	profileFor   = 20 * time.Second
)

// A build with the tag profile writes cpu.pprof, heap.pprof and goroutine.txt to the
// directory that DAISYFOLD_PROFILE names. Other builds have no profiler.
func init() {
	dir := os.Getenv("DAISYFOLD_PROFILE")
	if dir == "" {
		return
	}
	runtime.MemProfileRate = 16 << 10
	time.AfterFunc(profileAfter, func() { writeProfiles(dir) })
}

func writeProfiles(dir string) {
	cpu, err := os.Create(filepath.Join(dir, "cpu.pprof"))
	if err != nil {
		return
	}
	defer func() { _ = cpu.Close() }()
	if pprof.StartCPUProfile(cpu) == nil {
		time.Sleep(profileFor)
		pprof.StopCPUProfile()
	}
	for name, file := range map[string]string{"allocs": "heap.pprof", "goroutine": "goroutine.txt"} {
		out, err := os.Create(filepath.Join(dir, file))
		if err != nil {
			return
		}
		_ = pprof.Lookup(name).WriteTo(out, map[string]int{"allocs": 0, "goroutine": 1}[name])
		_ = out.Close()
	}
}
