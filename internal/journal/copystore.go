package journal

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// maxCopiedRecords and maxCopiedBytes bound the memory for records copied from peers.
	maxCopiedRecords = 10000
	maxCopiedBytes   = 8 << 20
	// maxCopiedRecordBytes bounds the body of one record: larger records could never be
	// appended.
	maxCopiedRecordBytes = MaxAppendBytes - 4<<10
	// copyAppendDelay lets the origin of a copied record append it first when the log is
	// available again. The origin itself waits at most maxResumeDelay.
	copyAppendDelay = 2 * time.Second
	// copyCheckPeriod is the interval between checks of whether the log answers.
	copyCheckPeriod = 500 * time.Millisecond
	// copyAppendTimeout limits the time for which appendMissing waits for the log.
	copyAppendTimeout = 10 * time.Second
)

// StreamRecord is a record together with the stream it belongs to.
type StreamRecord struct {
	Stream Stream
	Record Record
}

// CopyStore holds records that peers copied to this host while the log was down. When the
// log is available again, it appends those that the log does not hold.
type CopyStore struct {
	journal *LogJournal

	mu      sync.Mutex
	ids     map[Stream]map[string]struct{}
	records []StreamRecord // in order of arrival
	count   int
	bytes   int
}

func newCopyStore(j *LogJournal) *CopyStore {
	return &CopyStore{journal: j, ids: make(map[Stream]map[string]struct{})}
}

// Store stores either all records or none, and reports whether it stored them.
func (c *CopyStore) Store(records []StreamRecord) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := 0
	for _, r := range records {
		if c.journal.findStream(r.Stream) == nil || len(r.Record.Body) > maxCopiedRecordBytes {
			return false
		}
		size += len(r.Record.Body)
	}
	if c.count+len(records) > maxCopiedRecords || c.bytes+size > maxCopiedBytes {
		return false
	}
	for _, r := range records {
		c.add(r)
	}
	return true
}

func (c *CopyStore) add(r StreamRecord) {
	byID := c.ids[r.Stream]
	if byID == nil {
		byID = make(map[string]struct{})
		c.ids[r.Stream] = byID
	}
	if _, ok := byID[r.Record.ID]; ok {
		return
	}
	byID[r.Record.ID] = struct{}{}
	c.records = append(c.records, r)
	c.count++
	c.bytes += len(r.Record.Body)
}

// dropLogged drops the records that were read from the log.
func (c *CopyStore) dropLogged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.records[:0]
	for _, r := range c.records {
		if _, seen := c.journal.SeenOffset(r.Stream, r.Record.ID); !seen {
			kept = append(kept, r)
			continue
		}
		delete(c.ids[r.Stream], r.Record.ID)
		c.count--
		c.bytes -= len(r.Record.Body)
	}
	clear(c.records[len(kept):])
	c.records = kept
}

// Len returns the number of stored records.
func (c *CopyStore) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

func (c *CopyStore) all() []StreamRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]StreamRecord(nil), c.records...)
}

func (c *CopyStore) run(ctx context.Context) {
	for sleep(ctx, copyCheckPeriod) {
		if c.Len() == 0 || !c.journal.State().Answering {
			continue
		}
		if !sleep(ctx, copyAppendDelay) {
			return
		}
		c.dropLogged()
		c.appendMissing(ctx)
	}
}

// appendMissing appends the stored records in order of arrival, which preserves the order
// of one job's records, and waits until the last one was read back from the log.
func (c *CopyStore) appendMissing(ctx context.Context) {
	records := c.all()
	if len(records) == 0 {
		return
	}
	if !c.journal.AppendAsync(records) {
		c.journal.opts.Logger.Warn("records copied from peers cannot be queued")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, copyAppendTimeout)
	defer cancel()
	last := records[len(records)-1]
	if _, err := c.journal.Append(ctx, last.Stream, last.Record); err != nil {
		c.journal.opts.Logger.Debug("records copied from peers are not appended yet", zap.Error(err))
		return
	}
	c.dropLogged()
}
