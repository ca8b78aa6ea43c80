// Program standin-2 plays the cases of the second review: it starts the daemon's processes
// against stand-ins for the platform, the executors and the clients, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// maxDuration bounds a case.
const maxDuration = 115 * time.Second

// cases are the cases by name. With trouble unset, a case plays the same without the
// disruption.
var cases = map[string]func(d *deployment, trouble bool){
	"late-upkeep":   playLateUpkeep,
	"wide-workflow": playWideWorkflow,
	"other-kind":    playOtherKind,
	"long-advice":   playLongAdvice,
	"deadly-task":   playDeadlyTask,
	"large-memory":  playLargeMemory,
}

func main() {
	name := flag.String("case", "", "name of the case")
	daemon := flag.String("daemon", "target/daisyfoldd", "path of the daemon")
	recordPath := flag.String("record", "record.txt", "path of the record")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	os.Exit(run(*name, *daemon, *recordPath, *trouble))
}

func run(name, daemon, recordPath string, trouble bool) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "standin-2: there is no case %q\n", name)
		return exitCannotRun
	}
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-2:", err)
		return exitCannotRun
	}
	d, err := newDeployment(daemon, r)
	if err != nil {
		r.abandon("%v", err)
		return exitCannotRun
	}
	defer d.close()
	done := make(chan struct{})
	go func() { defer close(done); play(d, trouble) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-done:
	case <-interrupted:
		r.abandon("the case was interrupted")
	case <-time.After(maxDuration):
		r.abandon("the case took longer than %v", maxDuration)
	}
	code := r.verdict()
	r.note("result", "%s", map[int]string{exitHeld: "the rule held", exitBroken: "the rule was broken", exitCannotRun: "the case could not run"}[code])
	return code
}
