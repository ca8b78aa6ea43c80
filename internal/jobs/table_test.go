package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
)

var (
	testKey  = model.JobKey{Organisation: "org", ID: "j1"}
	shardA   = model.ShardID{Zone: "a"}
	shardB   = model.ShardID{Zone: "b"}
	testNow  = func() time.Time { return time.UnixMilli(1_000_000) }
	testSpec = model.JobSpec{Key: testKey, Service: "s", Tasks: 2, Task: model.Resources{Accelerators: 4}}
)

// tableHarness applies records to a table.
type tableHarness struct {
	t      *testing.T
	table  *Table
	offset int64
}

func (h *tableHarness) record(kind journal.Kind, id string, body any) journal.Record {
	h.t.Helper()
	r, err := journal.NewRecord(kind, "h1", id, testNow(), body)
	if err != nil {
		h.t.Fatal(err)
	}
	return r
}

func (h *tableHarness) apply(kind journal.Kind, body any) {
	h.t.Helper()
	r := h.record(kind, fmt.Sprint("r", h.offset), body)
	h.table.Apply(h.offset, r)
	h.offset++
}

func jobPlaced(attempt int, home model.ShardID) journal.JobPlaced {
	return journal.JobPlaced{Placement: model.Placement{
		Job: testKey, Attempt: attempt, Shard: home, Members: make([]model.GangMember, 2),
	}}
}

func newTableHarness(t *testing.T) *tableHarness {
	return &tableHarness{t: t, table: NewTable(testNow)}
}

func (h *tableHarness) requireState(state model.JobState, attempt int) {
	h.t.Helper()
	e := h.table.Get(testKey)
	if e == nil || e.Job.State != state || e.Job.Attempt != attempt {
		h.t.Fatalf("job is %+v, want state %s attempt %d", e, state, attempt)
	}
}

// TestFirstPlacementWins checks that only the first placement of an attempt by the job's
// home shard takes effect, so that no two planners start one job.
func TestFirstPlacementWins(t *testing.T) {
	h := newTableHarness(t)
	h.apply(journal.KindJobAccepted, journal.JobAccepted{Spec: testSpec, HomeShard: shardA})
	h.apply(journal.KindJobPlaced, jobPlaced(1, shardB)) // not the home shard
	h.requireState(model.JobWaiting, 0)
	h.apply(journal.KindJobPlaced, jobPlaced(1, shardA))
	first := h.table.Get(testKey).PlacedRecordID
	h.apply(journal.KindJobPlaced, jobPlaced(1, shardA))
	h.requireState(model.JobStarting, 1)
	if got := h.table.Get(testKey).PlacedRecordID; got != first {
		t.Fatalf("placement %s replaced %s", got, first)
	}
}

// TestFirstMoveWins checks that two shards cannot both take over a waiting job.
func TestFirstMoveWins(t *testing.T) {
	h := newTableHarness(t)
	h.apply(journal.KindJobAccepted, journal.JobAccepted{Spec: testSpec, HomeShard: shardA})
	h.apply(journal.KindJobMoved, journal.JobMoved{Job: testKey, From: shardA, To: shardB, MoveNumber: 1})
	h.apply(journal.KindJobMoved, journal.JobMoved{Job: testKey, From: shardA, To: shardA, MoveNumber: 1})
	if got := h.table.Get(testKey).Job.HomeShard; got != shardB {
		t.Fatalf("home shard is %s, want %s", got, shardB)
	}
}

// TestEndOfEarlierAttemptIsIgnored checks that a late record of an earlier attempt does
// not end the current one.
func TestEndOfEarlierAttemptIsIgnored(t *testing.T) {
	h := newTableHarness(t)
	h.apply(journal.KindJobAccepted, journal.JobAccepted{Spec: testSpec, HomeShard: shardA})
	h.apply(journal.KindJobPlaced, jobPlaced(1, shardA))
	h.apply(journal.KindJobWithdrawn, journal.JobWithdrawn{Job: testKey, Attempt: 1, SavedRunMS: 50})
	h.apply(journal.KindJobPlaced, jobPlaced(2, shardA))
	h.apply(journal.KindJobFinished, journal.JobFinished{Job: testKey, Attempt: 1})
	h.requireState(model.JobStarting, 2)
	if got := h.table.Get(testKey).Job.SavedRunMS; got != 50 {
		t.Fatalf("saved run time is %d ms, want 50", got)
	}
}

// TestSnapshotAppliesLaterRecords checks that a newly started host does not lose records
// that lie between the ThroughOffset of a snapshot and the offset of the snapshot itself.
func TestSnapshotAppliesLaterRecords(t *testing.T) {
	h := newTableHarness(t)
	h.offset = 10 // earlier records are gone
	h.apply(journal.KindJobPlaced, jobPlaced(1, shardA))
	old := model.Job{Spec: testSpec, State: model.JobWaiting, HomeShard: shardA}
	h.apply(journal.KindJobSnapshot, journal.JobSnapshot{Job: old, ThroughOffset: 9})
	h.requireState(model.JobStarting, 1)
}

// TestLogReplacesProvisionalState checks that a host does not keep its provisional state
// of a job once the log can be read again and has another order of records.
func TestLogReplacesProvisionalState(t *testing.T) {
	h := newTableHarness(t)
	accept := h.record(journal.KindJobAccepted, "accept", journal.JobAccepted{Spec: testSpec, HomeShard: shardA})
	place := h.record(journal.KindJobPlaced, "place", jobPlaced(1, shardA))
	if !h.table.ApplyProvisional(accept) || !h.table.ApplyProvisional(place) {
		t.Fatal("provisional records were refused")
	}
	h.requireState(model.JobStarting, 1)
	h.table.Apply(0, accept)
	h.requireState(model.JobStarting, 1)
	h.table.Apply(1, h.record(journal.KindJobCancelled, "cancel", journal.JobCancelled{Job: testKey}))
	h.table.Apply(2, place)
	h.requireState(model.JobCancelled, 0)
	if n := len(h.table.Waiting(shardA)) + len(h.table.Active(shardA)); n != 0 {
		t.Fatalf("%d jobs are still in the indexes", n)
	}
}
