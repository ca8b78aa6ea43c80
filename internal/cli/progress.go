package cli

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/term"
)

// progressInterval is the interval between updates of the progress line.
const progressInterval = time.Second

// progress shows a status line during a long wait if standard error is a terminal.
type progress struct {
	env   *env
	start time.Time
	done  chan struct{}
	wg    sync.WaitGroup

	mu   sync.Mutex
	text string
}

// progress starts a status line with the given text. The caller must call stop.
func (e *env) progress(text string) *progress {
	p := &progress{env: e, start: time.Now(), text: text, done: make(chan struct{})}
	if e.stderrIsTerminal() {
		p.wg.Go(p.run)
	}
	return p
}

func (e *env) stderrIsTerminal() bool {
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

// write replaces the status line on the terminal with s.
func (p *progress) write(s string) {
	s = truncate(s, maxLineWidth-1)
	blank := strings.Repeat(" ", maxLineWidth-1)
	_, _ = fmt.Fprintf(p.env.stderr, "\r%s\r%s", blank, s)
}

// set changes the text of the status line.
func (p *progress) set(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.text = fmt.Sprintf(format, args...)
}

// stop removes the status line.
func (p *progress) stop() {
	close(p.done)
	p.wg.Wait()
}
