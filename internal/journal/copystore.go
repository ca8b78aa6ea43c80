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

	mu      sync.Mutex
	records map[Stream]map[string]Record
	count   int
	bytes   int
}

func newCopyStore(j *LogJournal) *CopyStore {
	return &CopyStore{j: j, records: make(map[Stream]map[string]Record)}
}

// Store holds all records or none and reports whether it holds them.
func (c *CopyStore) Store(records []StreamRecord) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := 0
	for _, r := range records {
		if c.j.lookup(r.Stream) == nil {
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
	byID := c.records[r.Stream]
	if byID == nil {
		byID = make(map[string]Record)
		c.records[r.Stream] = byID
	}
	if _, ok := byID[r.Record.ID]; ok {
		return
	}
	byID[r.Record.ID] = r.Record
	c.count++
	c.bytes += len(r.Record.Body)
}

func (c *CopyStore) remove(r StreamRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.records[r.Stream][r.Record.ID]; !ok {
		return
	}
	delete(c.records[r.Stream], r.Record.ID)
	c.count--
	c.bytes -= len(r.Record.Body)
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
	out := make([]StreamRecord, 0, c.count)
	for s, byID := range c.records {
		for _, r := range byID {
			out = append(out, StreamRecord{Stream: s, Record: r})
		}
	}
	return out
}

func (c *CopyStore) run(ctx context.Context) {
	for sleep(ctx, copyCheckPeriod) {
		if c.Len() == 0 || !c.j.State().Reachable {
			continue
		}
		if !sleep(ctx, copyDelay) {
			return
		}
		c.appendMissing(ctx)
	}
}

// appendMissing appends in parallel, so that the records share batches.
func (c *CopyStore) appendMissing(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, copyAppendTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, r := range c.list() {
		if _, ok := c.j.Seen(r.Stream, r.Record.ID); ok {
			c.remove(r)
			continue
		}
		wg.Go(func() { c.appendOne(ctx, r) })
	}
	wg.Wait()
}

func (c *CopyStore) appendOne(ctx context.Context, r StreamRecord) {
	if _, err := c.j.Append(ctx, r.Stream, r.Record); err != nil {
		c.j.opts.Logger.Debug("copied record is not appended yet",
			zap.String("record", r.Record.ID), zap.Error(err))
		return
	}
	c.remove(r)
}
