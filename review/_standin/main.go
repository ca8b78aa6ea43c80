package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Bounds of the rules, from the sheet of the site.
const (
	finishTime  = 14 * time.Second // finish_s
	contactTime = 3 * time.Second  // contactMs
	idleTime    = 3 * time.Second  // a job has nothing running for so long
	afterRun    = 6 * time.Second  // from which the rule holds for a task that lasts
	calmBefore  = 4 * time.Second  // that the rule wants to be calm before
)

// cases are the scripts of the review. Each returns whether the rule was broken.
var cases = map[string]func(r *Record, trouble bool) bool{
	"record":      recordCase,
	"ends":        endsCase,
	"cut":         cutCase,
	"backoff":     backoffCase,
	"deadly":      deadlyCase,
	"reservation": reservationCase,
	"gang":        gangCase,
}

func main() {
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Println("usage: standin -record FILE CASE")
		os.Exit(exitCannot)
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Println(err)
		os.Exit(exitCannot)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		r.cannot("interrupted")
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.write("case %s, trouble %v", flag.Arg(0), trouble)
	broken := play(r, trouble)
	r.write("rule broken: %v", broken)
	r.cleanup()
	fmt.Printf("case %s, trouble %v: rule broken: %v\n", flag.Arg(0), trouble, broken)
	if broken {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// idle returns for how long on end the job has had less than want tasks running while
// under half of the service was in use, and watches for the given time.
func (c *Cluster) idle(j *Job, want int, watch time.Duration) (longest time.Duration) {
	var since time.Time
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		running, _ := c.fleet.running(j)
		cpu, gpu := c.fleet.used()
		if running >= want || cpu >= 0.5 || gpu >= 0.5 {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		longest = max(longest, time.Since(since))
	}
	return longest
}

// sanity hands in a short job and waits for its end, so that a script doesn't judge an
// installation that serves nobody.
func (c *Cluster) sanity(key string) {
	j := newJob(queues[0], Step{Count: 2, CPU: 1000, MemMb: 1024, EstMs: 1000, duration: time.Second})
	if !c.submit(j, key) || c.await(j, key, 10*time.Second, "completed") != "completed" {
		c.record.cannot("a short job isn't completed before the case begins")
	}
}
