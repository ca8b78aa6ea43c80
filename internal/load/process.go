// Package load starts a deployment of the emulator and daemons as processes,
// drives it with jobs, requests and faults, and judges the result. It is a test
// tool; the product starts no processes.
package load

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// process is a process that this tool started. It is signalled by its own id only.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed when it ended

	mu   sync.Mutex
	exit error
}

// startProcess starts a program whose output goes to the file logPath.
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
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go p.reap()
	return p, nil
}

func (p *process) reap() {
	err := p.cmd.Wait()
	p.mu.Lock()
	p.exit = err
	p.mu.Unlock()
	close(p.done)
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// signal sends a signal if the process runs.
func (p *process) signal(s syscall.Signal) {
	if p.running() {
		_ = p.cmd.Process.Signal(s) // it may have ended just now
	}
}

// waitEnd reports whether the process ended within d.
func (p *process) waitEnd(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-p.done:
		return true
	case <-timer.C:
		return false
	}
}

// end stops the process: gracefully within d, then by force. A stopped process is
// continued first.
func (p *process) end(d time.Duration) {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	if !p.waitEnd(d) {
		p.signal(syscall.SIGKILL)
		<-p.done
	}
}
