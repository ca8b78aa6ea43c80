package cli

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/term"
)

// progressInterval is how often the progress line is written again.
const progressInterval = time.Second

// progress shows one line during a long wait when the error output is a terminal.
type progress struct {
	env   *env
	start time.Time
	done  chan struct{}
	wait  sync.WaitGroup

	mu   sync.Mutex
	text string
}

func (e *env) progress(text string) *progress {
	p := &progress{env: e, start: time.Now(), text: text, done: make(chan struct{})}
	if e.onTerminal() {
		p.wait.Go(p.run)
	}
	return p
}

func (e *env) onTerminal() bool {
	file, ok := e.stderr.(*os.File)
	return ok && term.IsTerminal(int(file.Fd()))
}

func (p *progress) run() {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.write(p.line())
		case <-p.done:
			p.write("")
			return
		}
	}
}

func (p *progress) line() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	elapsed := time.Since(p.start).Round(time.Second)
	return fmt.Sprintf("%s, %s", p.text, elapsed)
}

// write replaces the line on the terminal.
func (p *progress) write(s string) {
	s = cut(s, lineWidth-1)
	blank := strings.Repeat(" ", lineWidth-1)
	_, _ = fmt.Fprintf(p.env.stderr, "\r%s\r%s", blank, s)
}

// set changes the text of the line.
func (p *progress) set(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.text = fmt.Sprintf(format, args...)
}

// stop removes the line.
func (p *progress) stop() {
	close(p.done)
	p.wait.Wait()
}
