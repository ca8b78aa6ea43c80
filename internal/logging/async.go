package logging

import (
	"io"
	"sync/atomic"
	"time"
)

// asyncQueueLines is the number of lines that may wait for a slow reader of the log.
const asyncQueueLines = 4096

// syncTimeout limits the wait for queued lines when the process ends.
const syncTimeout = 300 * time.Millisecond

// asyncWriter writes lines in the background, so that a stalled reader of the log never
// blocks the process. Lines that do not fit into the queue are dropped and counted.
type asyncWriter struct {
	queue   chan []byte
	out     io.Writer
	dropped atomic.Int64
	pending atomic.Int64 // lines that are queued or being written
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{queue: make(chan []byte, asyncQueueLines), out: out}
	go w.run()
	return w
}

// Write implements zapcore.WriteSyncer. It never blocks and never fails.
func (w *asyncWriter) Write(p []byte) (int, error) {
	w.pending.Add(1)
	select {
	case w.queue <- append([]byte(nil), p...):
	default:
		w.pending.Add(-1)
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer. It waits at most syncTimeout for queued lines and
// never fails.
func (w *asyncWriter) Sync() error {
	for end := time.Now().Add(syncTimeout); w.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return nil
}

func (w *asyncWriter) run() {
	for line := range w.queue {
		_, _ = w.out.Write(line) // an error cannot be reported: this is the log
		w.pending.Add(-1)
	}
}
