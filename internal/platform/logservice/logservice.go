// Package logservice defines the messages of the platform's append-only log service and
// provides a client. To support another log service, only this package is replaced.
//
// POST {base}/streams/{stream}/append takes an AppendRequest; 429 means that the
// append rate is exceeded and 503 that the service is down; in both cases the append did
// not take effect. Without a response the append may have taken effect.
// GET {base}/streams/{stream}/records?from=N&wait=MS&max=N returns a Batch.
package logservice

import (
	"context"
	"time"
)

// AppendRequest appends records, in order, in one append.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse holds the offset of the first record.
type AppendResponse struct {
	First int64 `json:"first"`
}

// Record is a record with its offset in the stream, counted from 0.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the response to a read.
type Batch struct {
	Records []Record `json:"records"`
	// First is the oldest offset that is still retained.
	First int64 `json:"first"`
	// Head is the offset that the next appended record will get.
	Head int64 `json:"head"`
}

// Log is the API of the log service.
type Log interface {
	// Append appends records to a stream and returns the offset of the first one. An
	// error that wraps ErrNotApplied means that the append did not take effect; after
	// any other error it may have.
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	// Read returns at most limit records, starting at offset from. If there are none, it
	// waits for up to wait.
	Read(ctx context.Context, stream string, from int64, wait time.Duration, limit int) (Batch, error)
}
