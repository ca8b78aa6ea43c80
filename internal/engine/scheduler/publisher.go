package scheduler

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
)

const (
	// ownerRecordInterval is the longest time between two records of the owner, which
	// serve as its heartbeat. Hosts that see none for longer take its ownership away.
	ownerRecordInterval = 200 * time.Millisecond
	// maxLoopDelay is how long the loop of a term may be busy before the owner's heartbeat
	// stops, so that another host replaces an owner that makes no progress.
	maxLoopDelay = 3 * time.Second
)

// publisher writes the statuses that callers may see, and the owner's heartbeat. It has
// its own goroutine, so that a long planning pass does not delay the heartbeat.
type publisher struct {
	writer topicWriter // used during the takeover, and then by runPublisher only
	wake   chan struct{}
	// loopAt is when the loop of the term last began a round, in nanoseconds on the
	// boot-time clock.
	loopAt  atomic.Int64
	mu      sync.Mutex
	updates map[string][]byte // state headers by job id; an empty one deletes the status
}

func newPublisher() *publisher {
	return &publisher{writer: topicWriter{topic: replica.TopicStatuses}, wake: make(chan struct{}, 1), updates: map[string][]byte{}}
}

// update schedules a status to be written.
func (p *publisher) update(job string, header []byte) {
	p.mu.Lock()
	p.updates[job] = header
	p.mu.Unlock()
	p.signal()
}

// maxStatusesPerAppend limits the statuses in one append.
const maxStatusesPerAppend = 4096

// takeRecords returns the records of scheduled updates, at most maxStatusesPerAppend, and
// removes them.
func (p *publisher) takeRecords() []store.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	records := make([]store.Record, 0, min(len(p.updates), maxStatusesPerAppend)+1)
	for id, header := range p.updates {
		if len(records) == maxStatusesPerAppend {
			p.signal()
			break
		}
		records = append(records, store.Record{Key: replica.StateKey(id), Value: header})
		delete(p.updates, id)
	}
	return records
}

// restore schedules updates again that were taken but not written, unless there are newer
// ones.
func (p *publisher) restore(records []store.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range records {
		id, _, _ := replica.ParseChunkKey(r.Key)
		if _, newer := p.updates[id]; !newer {
			p.updates[id] = r.Value
		}
	}
}

// signal wakes runPublisher.
func (p *publisher) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// runPublisher writes statuses and heartbeats until the term ends.
func (t *term) runPublisher() {
	p := t.publisher
	heartbeat := time.NewTimer(0)
	defer heartbeat.Stop()
	for stalled := false; ; {
		select {
		case <-t.ctx.Done():
			return
		case <-p.wake:
		case <-heartbeat.C:
		}
		heartbeat.Reset(ownerRecordInterval)
		records := p.takeRecords()
		delay := t.Now() - time.Duration(p.loopAt.Load())
		if delay > maxLoopDelay && len(records) == 0 {
			if !stalled {
				t.log.Error("the loop makes no progress; the owner's heartbeat stops", zap.Duration("for", delay))
			}
			stalled = true
			continue
		}
		stalled = false
		if !t.publishUpdates(records) {
			return
		}
	}
}
