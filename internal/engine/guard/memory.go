package guard

import (
	"runtime/metrics"
	"sync"
	"time"
)

const (
	// maxMemoryFraction is the share of the process's limit that the Go runtime may hold before
	// no further submissions are taken. The runtime's own soft limit is lower, so it is passed
	// only if what is in use grows: by jobs that are accepted, here or at other hosts. The rest is
	// for the program's pages and for what is in progress.
	maxMemoryFraction = 0.75
	// memoryInterval is the time for which a measured value is used.
	memoryInterval = 100 * time.Millisecond
)

// memoryGauge measures the memory that the Go runtime holds.
type memoryGauge struct {
	limit uint64 // bytes
	read  func() uint64

	mu      sync.Mutex
	checked time.Time
	high    bool
}

func newMemoryGauge(limit int64) *memoryGauge {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	read := func() uint64 {
		metrics.Read(samples)
		return samples[0].Value.Uint64() - samples[1].Value.Uint64()
	}
	return &memoryGauge{limit: uint64(maxMemoryFraction * float64(limit)), read: read}
}

// isHigh reports whether the process holds so much that it must take nothing more.
func (m *memoryGauge) isHigh() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := time.Now(); now.Sub(m.checked) >= memoryInterval {
		m.checked, m.high = now, m.read() > m.limit
	}
	return m.high
}
