package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a case: what clients sent and were answered, and what executors and the
// platform were told and did.
type record struct {
	mu      sync.Mutex
	file    *os.File
	began   time.Time
	broken  []string
	invalid []string // why the case could not run as planned
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// note writes a line.
func (r *record) note(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %-14s %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, args...))
}

// breaks notes that a rule was broken.
func (r *record) breaks(format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	r.note("RULE BROKEN", "%s", message)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, message)
}

// abandon notes that the case could not run.
func (r *record) abandon(format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	r.note("CANNOT RUN", "%s", message)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.invalid = append(r.invalid, message)
}

// verdict returns the exit code of the case.
func (r *record) verdict() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case len(r.broken) > 0:
		return exitBroken
	case len(r.invalid) > 0:
		return exitCannotRun
	}
	return exitHeld
}

// ms returns a duration in milliseconds, as text.
func ms(d time.Duration) string { return fmt.Sprint(d.Milliseconds()) }
