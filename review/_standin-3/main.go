// Command standin-3 plays one case of the third review: it starts daemons as separate processes
// beside stand-ins of the platform's store, of workers and of callers, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit is how long a case may take.
const timeLimit = 110 * time.Second

// verdict is the result of a case.
type verdict struct {
	code int
	text string
}

func held(format string, args ...any) verdict { return verdict{exitHeld, fmt.Sprintf(format, args...)} }
func broken(format string, args ...any) verdict {
	return verdict{exitBroken, fmt.Sprintf(format, args...)}
}
func notRun(format string, args ...any) verdict {
	return verdict{exitNotRun, fmt.Sprintf(format, args...)}
}

var cases = map[string]func(d *deployment, trouble bool) verdict{
	"tenant":  playTenant,
	"waiting": playWaiting,
	"kind":    playKind,
	"long":    playLong,
	"silent":  playSilent,
	"ids":     playIDs,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays a case and returns the exit code.
func run(name, recordPath string) int {
	rec, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	d, err := newDeployment(rec)
	if err != nil {
		rec.note("cannot start: %v", err)
		return exitNotRun
	}
	defer d.close()
	time.AfterFunc(timeLimit, func() {
		rec.note("exit %d: the case takes too long", exitNotRun)
		d.close()
		os.Exit(exitNotRun)
	})
	go func() { // an interrupted case leaves no process behind
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
		<-signals
		d.close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, trouble %v", name, trouble)
	v := cases[name](d, trouble)
	rec.note("exit %d: %s", v.code, v.text)
	return v.code
}
