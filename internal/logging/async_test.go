package logging

import (
	"io"
	"testing"
)

// TestAsyncWriterNeverBlocks checks that writes do not block while nobody reads the log, and
// that dropped lines are counted.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe() // nobody reads
	w := newAsyncWriter(writer)
	const lines = asyncQueueLines + 100
	for range lines {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("wrote %d, error %v", n, err)
		}
	}
	if dropped := w.dropped.Load(); dropped < 98 || dropped > 100 {
		t.Errorf("got %d dropped lines, want 98 to 100", dropped)
	}
	_ = reader.Close()
}
