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
	homeA    = model.ShardID{Zone: "a"}
	homeB    = model.ShardID{Zone: "b"}
	testNow  = func() time.Time { return time.UnixMilli(1_000_000) }
	testSpec = model.JobSpec{Key: testKey, Service: "s", Tasks: 2, Task: model.Resources{Accelerators: 4}}
)

type stream struct {
	t      *testing.T
	table  *Table
	offset int64
}

func (s *stream) record(kind journal.Kind, id string, body any) journal.Record {
	s.t.Helper()
	r, err := journal.NewRecord(kind, "h1", id, testNow(), body)
	if err != nil {
		s.t.Fatal(err)
	}
	return r
}

func (s *stream) apply(kind journal.Kind, body any) {
	s.t.Helper()
	r := s.record(kind, fmt.Sprint("r", s.offset), body)
	s.table.Apply(s.offset, r)
	s.offset++
}

func placement(attempt int, home model.ShardID) journal.JobPlaced {
	return journal.JobPlaced{Placement: model.Placement{
		Job: testKey, Attempt: attempt, Shard: home, Members: make([]model.GangMember, 2),
	}}
}

func newStream(t *testing.T) *stream {
	return &stream{t: t, table: NewTable(testNow)}
}

func (s *stream) want(state model.JobState, attempt int) {
	s.t.Helper()
	e := s.table.Get(testKey)
	if e == nil || e.Job.State != state || e.Job.Attempt != attempt {
		s.t.Fatalf("job is %+v, want state %s attempt %d", e, state, attempt)
	}
}

// TestFirstPlacementWins guards against a job that two planners start: only the
// first placement of an attempt by the job's home counts.
func TestFirstPlacementWins(t *testing.T) {
	s := newStream(t)
	s.apply(journal.KindJobAccepted, journal.JobAccepted{Spec: testSpec, Home: homeA})
	s.apply(journal.KindJobPlaced, placement(1, homeB)) // not the home
	s.want(model.JobWaiting, 0)
	s.apply(journal.KindJobPlaced, placement(1, homeA))
	first := s.table.Get(testKey).PlacedRecord
	s.apply(journal.KindJobPlaced, placement(1, homeA))
	s.want(model.JobStarting, 1)
	if got := s.table.Get(testKey).PlacedRecord; got != first {
		t.Fatalf("placement %s replaced %s", got, first)
	}
}

// TestMoveRace guards against two shards that both take a waiting job over.
func TestMoveRace(t *testing.T) {
	s := newStream(t)
	s.apply(journal.KindJobAccepted, journal.JobAccepted{Spec: testSpec, Home: homeA})
	s.apply(journal.KindJobMoved, journal.JobMoved{Job: testKey, From: homeA, To: homeB, Move: 1})
	s.apply(journal.KindJobMoved, journal.JobMoved{Job: testKey, From: homeA, To: homeA, Move: 1})
	if got := s.table.Get(testKey).Job.HomeShard; got != homeB {
		t.Fatalf("home is %s, want %s", got, homeB)
	}
}

// TestStaleEndIgnored guards against a late record of an old attempt that ends the
// current one.
func TestStaleEndIgnored(t *testing.T) {
	s := newStream(t)
	s.apply(journal.KindJobAccepted, journal.JobAccepted{Spec: testSpec, Home: homeA})
	s.apply(journal.KindJobPlaced, placement(1, homeA))
	s.apply(journal.KindJobWithdrawn, journal.JobWithdrawn{Job: testKey, Attempt: 1, ServedMS: 50})
	s.apply(journal.KindJobPlaced, placement(2, homeA))
	s.apply(journal.KindJobFinished, journal.JobFinished{Job: testKey, Attempt: 1})
	s.want(model.JobStarting, 2)
	if got := s.table.Get(testKey).Job.SavedRunMS; got != 50 {
		t.Fatalf("served %d ms, want 50", got)
	}
}

// TestSnapshotCatchesUp guards against a fresh host that loses records between a
// snapshot's contents and the snapshot's own place in the log.
func TestSnapshotCatchesUp(t *testing.T) {
	s := newStream(t)
	s.offset = 10 // earlier records are gone
	s.apply(journal.KindJobPlaced, placement(1, homeA))
	old := model.Job{Spec: testSpec, State: model.JobWaiting, HomeShard: homeA}
	s.apply(journal.KindJobSnapshot, journal.JobSnapshot{Job: old, ThroughOffset: 9})
	s.want(model.JobStarting, 1)
}

// TestProvisionalGivesWay guards against a host that keeps its own view of a job
// after the log, with another order of events, is readable again.
func TestProvisionalGivesWay(t *testing.T) {
	s := newStream(t)
	accept := s.record(journal.KindJobAccepted, "accept", journal.JobAccepted{Spec: testSpec, Home: homeA})
	place := s.record(journal.KindJobPlaced, "place", placement(1, homeA))
	if !s.table.ApplyProvisional(accept) || !s.table.ApplyProvisional(place) {
		t.Fatal("provisional records were refused")
	}
	s.want(model.JobStarting, 1)
	s.table.Apply(0, accept)
	s.want(model.JobStarting, 1)
	s.table.Apply(1, s.record(journal.KindJobCancelled, "cancel", journal.JobCancelled{Job: testKey}))
	s.table.Apply(2, place)
	s.want(model.JobCancelled, 0)
	if n := len(s.table.Waiting(homeA)) + len(s.table.Active(homeA)); n != 0 {
		t.Fatalf("%d jobs left in the indexes", n)
	}
}
