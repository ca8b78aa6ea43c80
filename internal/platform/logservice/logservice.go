// Package logservice is the adapter to the platform's append-only log service. It
// holds the messages of the log API and a client. Another log service replaces
// this package only.
//
// POST {base}/streams/{stream}/append takes an AppendRequest; 429 means that the
// append rate is exceeded and 503 that the service is down: neither took effect.
// An answer that never arrives leaves open whether the append took effect.
// GET {base}/streams/{stream}/records?from=N&wait=MS&max=N returns a Batch.
package logservice

import (
	"context"
	"time"
)

// AppendRequest appends records in order as one append.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendAnswer holds the offset of the first record.
type AppendAnswer struct {
	First int64 `json:"first"`
}

// Record is a record with its offset in the stream, counted from 0.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the answer to a read.
type Batch struct {
	Records []Record `json:"records"`
	// First is the oldest offset that retention has kept.
	First int64 `json:"first"`
	// Head is the offset that the next append will get.
	Head int64 `json:"head"`
}

// Log is the log service.
type Log interface {
	// Append returns the offset of the first record. ErrNotApplied (wrapped) means
	// that the append did not take effect; after any other error it may have.
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	// Read returns records from offset from on and waits up to wait when there
	// are none. max bounds the number of records.
	Read(ctx context.Context, stream string, from int64, wait time.Duration, max int) (Batch, error)
}
