package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	// memoryLimit is limits.memoryMb of the settings, in KiB.
	memoryLimit = 284 << 10
	// watchTime is for how long the processes are watched after the end of the traffic.
	watchTime = 30 * time.Second
	// lastCheck is when the case ends at the latest, counted from its start.
	lastCheck = 108 * time.Second
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = time.Second
	// A machine counts whose process has ended by itself endsThatCount times, and machinesThatCount
	// such machines are a fault.
	endsThatCount, machinesThatCount = 3, 2
)

// Shape of the jobs: a step of one task for each part of the work, which waits for some first steps.
const (
	memoryJobs  = 230
	memorySteps = 4096
	firstSteps  = 5
)

// Traffic of the site, as the time between two jobs: usual and in a burst. They alternate.
const (
	usualInterval = 362 * time.Millisecond
	burstInterval = 201 * time.Millisecond
	usualTime     = 2 * time.Second
	burstTime     = 4 * time.Second
)

// playLargeMemory hands in jobs of many steps at the rate of the site. Like the platform it kills a
// process that exceeds its memory, and starts it again.
func playLargeMemory(d *deployment, trouble bool) {
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
	over := make(chan struct{})
	go d.enforceMemory(over)
	steps := make([]map[string]any, 0, memorySteps)
	for i := range memorySteps {
		step := map[string]any{"count": 1, "gpu": 1}
		if i >= firstSteps {
			step["after"] = []int{0, 1, 2, 3, 4}
		}
		steps = append(steps, step)
	}
	if !trouble {
		steps = steps[:1]
	}
	job := map[string]any{"spec": "work 60000", "steps": steps}
	body := mustMarshal(job)
	r.note("client", "the body of each job has %d bytes", len(body))
	accepted, began := 0, time.Now()
	for i := range memoryJobs {
		id := fmt.Sprintf("0000000000000%03x", i)
		d.noteDemand(queuePrefix, id, job)
		for attempt := range 5 { // at other hosts, as the requesters of the site
			h := d.hosts[(i+attempt)%len(d.hosts)]
			status, _ := h.call("POST", queuePrefix+id, body)
			if status == 200 {
				accepted++
				break
			}
		}
		if i%10 == 9 {
			r.note("client", "%d jobs sent, %d accepted; memory in MB: %v", i+1, accepted, d.memoryMB())
		}
		interval := usualInterval
		if time.Since(began)%(burstTime+usualTime) < burstTime {
			interval = burstInterval
		}
		select {
		case <-over:
			return
		case <-time.After(interval):
		}
	}
	r.note("client", "the traffic ends")
	select {
	case <-over:
	case <-time.After(min(watchTime, time.Until(r.began.Add(lastCheck)))):
	}
	r.note("client", "memory in MB: %v", d.memoryMB())
}

// enforceMemory kills the processes that exceed their memory and starts them again. It closes over
// once enough machines count.
func (d *deployment) enforceMemory(over chan struct{}) {
	ends := map[*host]int{}
	for range time.Tick(100 * time.Millisecond) {
		for _, h := range d.hosts {
			kb := h.memoryKB()
			if kb <= memoryLimit {
				continue
			}
			ends[h]++
			d.record.note("platform", "%s has %d MB of %d MB and is killed, for the %d. time", h.name, kb>>10, memoryLimit>>10, ends[h])
			h.signal(syscall.SIGKILL)
			<-h.ended()
			counting := 0
			for _, n := range ends {
				if n >= endsThatCount {
					counting++
				}
			}
			if counting >= machinesThatCount {
				d.record.breaks("Fault: on %d of %d machines processes have ended %d times because of their memory", counting, len(d.hosts), endsThatCount)
				close(over)
				return
			}
			time.AfterFunc(restartDelay, func() { _ = h.start() })
		}
	}
}

// memoryKB returns the memory of the daemon in KiB, without the pages of its program file; 0 if it
// does not run.
func (h *host) memoryKB() int {
	if !h.running() {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.pid()))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		var kb int
		if n, _ := fmt.Sscanf(line, "RssAnon: %d kB", &kb); n == 1 {
			return kb
		}
	}
	return 0
}

// memoryMB returns the memory of the daemons in MB.
func (d *deployment) memoryMB() []int {
	var mb []int
	for _, h := range d.hosts {
		mb = append(mb, h.memoryKB()>>10)
	}
	return mb
}
