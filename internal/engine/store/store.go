// Package store defines the interface of the log store, which holds all durable state of
// the engine. Package platform implements it with the platform's store, and package
// standin simulates it for tests.
package store

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

// Record is a record of a keyed topic. A record with an empty value deletes the key.
type Record struct {
	Offset int64
	Key    string
	Value  []byte
}

// Size returns the bytes of the record that count against the store's limits.
func (r Record) Size() int { return 1 + len(r.Key) + len(r.Value) }

// recordLengthBytes precede each record in an append.
const recordLengthBytes = 4

// CallSize returns the bytes of an append of the records.
func CallSize(records []Record) int {
	size := 0
	for _, r := range records {
		size += recordLengthBytes + r.Size()
	}
	return size
}

// Limits are the store's limits in bytes.
type Limits struct {
	RecordBytes int // of a record with its key
	CallBytes   int // of all records of one append
}

// Check returns an error that wraps ErrInvalid and names the limit if the store would reject
// an append of the records.
func (l Limits) Check(records []Record) error {
	for _, r := range records {
		if r.Size() > l.RecordBytes {
			return trace.Wrap(ErrInvalid, "record %s has %d bytes, the store's limit is %d", r.Key, r.Size(), l.RecordBytes)
		}
	}
	if size := CallSize(records); size > l.CallBytes {
		return trace.Wrap(ErrInvalid, "an append has %d bytes, the store's limit is %d", size, l.CallBytes)
	}
	return nil
}

// Errors of a Store. Any other error leaves open whether the call was executed.
var (
	// ErrRefused means that the store did not execute the call, because it is busy or
	// rejects this host.
	ErrRefused = &trace.LimitExceededError{Message: "the store refused the call and did nothing"}
	// ErrInvalid means that the store did not execute the call and never will, because of its
	// size or form.
	ErrInvalid = &trace.BadParameterError{Message: "the store rejected the call for good and did nothing"}
	// ErrFenced means that the producer has written with a later epoch.
	ErrFenced = &trace.CompareFailedError{Message: "a later epoch has written to the topic"}
	// ErrConflict means that the topic does not end at the offset that a conditional
	// append named.
	ErrConflict = &trace.CompareFailedError{Message: "the topic ends at another offset"}
	// ErrHistoryGone means that records from the requested offset on have been deleted.
	ErrHistoryGone = &trace.NotFoundError{Message: "the records have been deleted"}
)

// SequenceError means that the store expects another sequence number.
type SequenceError struct{ Expected int64 }

// Error implements error.
func (*SequenceError) Error() string { return "the store expects another sequence number" }

// Position identifies one append of a fenced producer.
type Position struct {
	Producer string
	Epoch    int64
	// Seq is the sequence number of the append within the epoch, from 0. A repeated
	// append returns the result of the first one.
	Seq int64
}

// Membership is the result of a join.
type Membership struct {
	Generation int64
	// Partitions are the partitions of the group's topic that this member holds.
	Partitions []int
}

// JoinRequest identifies a member of a group, for joining and leaving it.
type JoinRequest struct {
	Group, Member, Topic string
	TTL                  time.Duration
	Generation           int64 // last generation that the member received, or 0
}

// Bounds of the timeout of one attempt of a call. The timeout starts short, because a
// response may be lost, and doubles with each attempt, because the store may be slow.
const (
	minAttemptTimeout = 200 * time.Millisecond
	maxAttemptTimeout = 1200 * time.Millisecond
)

// AttemptTimeout returns the timeout of an attempt, counted from 1. latency is the
// duration of the last successful call, or 0 if it is unknown.
func AttemptTimeout(attempt int, latency time.Duration) time.Duration {
	const latencyFactor = 4
	return min(max(minAttemptTimeout, latencyFactor*latency)<<min(attempt-1, 4), maxAttemptTimeout)
}

// Store is a client of the platform's log store. It uses partition 0 of each topic.
type Store interface {
	// Append atomically adds records and returns the topic's end offset.
	Append(ctx context.Context, topic string, records []Record) (end int64, err error)
	// AppendAt is like Append but fails with ErrConflict unless the topic ends at the
	// offset at.
	AppendAt(ctx context.Context, topic string, at int64, records []Record) (end int64, err error)
	// AppendFenced is like Append but fails with ErrFenced if the producer has written
	// with a later epoch, and with a *SequenceError if the position's sequence number is
	// not the expected one. Without records it only sets the producer's epoch.
	AppendFenced(ctx context.Context, topic string, position Position, records []Record) (end int64, err error)
	// Read returns the records from an offset on and the topic's end offset. If there
	// are none, it waits for up to wait until one is appended. It fails with
	// ErrHistoryGone if the records at the offset have been deleted.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (records []Record, end int64, err error)
	// Newest returns the newest record of each key, and the offset from which Read
	// returns all records that may be missing in the result.
	Newest(ctx context.Context, topic string) (records []Record, from int64, err error)
	// Join joins a group or renews the membership.
	Join(ctx context.Context, request JoinRequest) (Membership, error)
	// Owners returns the member that holds each partition of the group's topic.
	// Partitions that no member holds are missing.
	Owners(ctx context.Context, group string) (map[int]string, error)
	// Leave removes the member from the group, which releases its partitions at once.
	Leave(ctx context.Context, request JoinRequest) error
}
