// Package load starts a deployment of an emulator and daemons as processes, drives it with
// jobs, requests and faults, and judges the result. It is a test tool; the product starts no
// processes.
package load

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// process is a child process. Only this process is signalled, by its ID.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{} // closed after the process has exited

	mu      sync.Mutex
	exitErr error
}

// startProcess starts a program that appends its output to the file logPath.
func startProcess(name, logPath, program string, args ...string) (*process, error) {
	output, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = output.Close() }()
	cmd := exec.Command(program, args...)
	cmd.Stdout = output
	cmd.Stderr = output
	if err := cmd.Start(); err != nil {
		return nil, trace.Wrap(err, "start %s", name)
	}
	p := &process{name: name, cmd: cmd, exited: make(chan struct{})}
	go p.waitExit()
	return p, nil
}

// waitExit waits for the process to exit and records its exit status.
func (p *process) waitExit() {
	err := p.cmd.Wait()
	p.mu.Lock()
	p.exitErr = err
	p.mu.Unlock()
	close(p.exited)
}

// isRunning reports whether the process has not exited.
func (p *process) isRunning() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal unless the process has exited.
func (p *process) signal(s syscall.Signal) {
	if p.isRunning() {
		_ = p.cmd.Process.Signal(s) // fails if the process has just exited
	}
}

// waitExitTimeout reports whether the process exits within d.
func (p *process) waitExitTimeout(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-p.exited:
		return true
	case <-timer.C:
		return false
	}
}

// stop terminates the process, with SIGKILL if it does not exit within d of SIGTERM. A
// paused process is resumed first.
func (p *process) stop(d time.Duration) {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	if !p.waitExitTimeout(d) {
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
}
