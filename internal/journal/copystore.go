package journal

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// maxCopies and maxCopyBytes bound the memory for records copied from peers.
	maxCopies    = 10000
	maxCopyBytes = 8 << 20
	// maxCopyRecord refuses a record that could never be appended.
	maxCopyRecord = MaxAppendBytes - 4<<10
	// copyDelay lets the origin of a copied record append it first when the log
	// returns; its own wait is at most maxResumeWait.
	copyDelay = 2 * time.Second
	// copyCheckPeriod is how often a holder looks whether the log answers.
	copyCheckPeriod   = 500 * time.Millisecond
	copyAppendTimeout = 10 * time.Second
)

// StreamRecord is a record and the stream it belongs to.
type StreamRecord struct {
	Stream Stream
	Record Record
}

// CopyStore holds records copied from peers while the log is down and appends
// those that are still missing when it returns.
type CopyStore struct {
	j *LogJournal

	mu    sync.Mutex
	held  map[Stream]map[string]struct{}
	order []StreamRecord // in order of arrival
	count int
	bytes int
}

func newCopyStore(j *LogJournal) *CopyStore {
	return &CopyStore{j: j, held: make(map[Stream]map[string]struct{})}
}

// Store holds all records or none and reports whether it holds them.
func (c *CopyStore) Store(records []StreamRecord) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := 0
	for _, r := range records {
		if c.j.lookup(r.Stream) == nil || len(r.Record.Body) > maxCopyRecord {
			return false
		}
		size += len(r.Record.Body)
	}
	if c.count+len(records) > maxCopies || c.bytes+size > maxCopyBytes {
		return false
	}
	for _, r := range records {
		c.add(r)
	}
	return true
}

func (c *CopyStore) add(r StreamRecord) {
	byID := c.held[r.Stream]
	if byID == nil {
		byID = make(map[string]struct{})
		c.held[r.Stream] = byID
	}
	if _, ok := byID[r.Record.ID]; ok {
		return
	}
	byID[r.Record.ID] = struct{}{}
	c.order = append(c.order, r)
	c.count++
	c.bytes += len(r.Record.Body)
}

// dropSeen forgets the records that the log holds.
func (c *CopyStore) dropSeen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.order[:0]
	for _, r := range c.order {
		if _, seen := c.j.Seen(r.Stream, r.Record.ID); !seen {
			kept = append(kept, r)
			continue
		}
		delete(c.held[r.Stream], r.Record.ID)
		c.count--
		c.bytes -= len(r.Record.Body)
	}
	clear(c.order[len(kept):])
	c.order = kept
}

// Len returns the number of records held.
func (c *CopyStore) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

func (c *CopyStore) list() []StreamRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]StreamRecord(nil), c.order...)
}

func (c *CopyStore) run(ctx context.Context) {
	for sleep(ctx, copyCheckPeriod) {
		if c.Len() == 0 || !c.j.State().Answering {
			continue
		}
		if !sleep(ctx, copyDelay) {
			return
		}
		c.dropSeen()
		c.appendMissing(ctx)
	}
}

// appendMissing appends in the order of arrival, which keeps the records of one job
// in order, and waits until the log holds them.
func (c *CopyStore) appendMissing(ctx context.Context) {
	records := c.list()
	if len(records) == 0 {
		return
	}
	if !c.j.AppendAsync(records) {
		c.j.opts.Logger.Warn("copied records cannot be queued")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, copyAppendTimeout)
	defer cancel()
	last := records[len(records)-1]
	if _, err := c.j.Append(ctx, last.Stream, last.Record); err != nil {
		c.j.opts.Logger.Debug("copied records are not appended yet", zap.Error(err))
		return
	}
	c.dropSeen()
}
