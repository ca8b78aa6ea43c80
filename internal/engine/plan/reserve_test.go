package plan

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// TestReservationCoversWhatWillBeFree guards against reservations for gangs that fit too late or never, and against those that take more than the gang needs.
func TestReservationCoversWhatWillBeFree(t *testing.T) {
	used, free := work.Resources{CPU: 60_000, MemoryMB: 1000, Accelerators: 5}, work.Resources{CPU: 68_000, MemoryMB: 511_000, Accelerators: 3}
	whole := work.Resources{CPU: 60_000, MemoryMB: 1000, Accelerators: 8}
	small := work.Resources{CPU: 1000, MemoryMB: 10, Accelerators: 1}
	cases := []struct {
		name     string
		release  time.Duration
		demand   work.Resources // of a member of the gang
		estimate time.Duration  // of the tasks that may pass
		passing  int            // tasks that are placed beneath the reservation
	}{
		{"the rest is free soon", 5 * time.Second, whole, 10 * time.Second, 0},
		{"shorter tasks pass", 5 * time.Second, whole, 3 * time.Second, 6},
		{"the rest is never free", 24 * time.Hour, whole, time.Hour, 6},
		{"smaller tasks pass", 5 * time.Second, work.Resources{CPU: 100_000, MemoryMB: 1000, Accelerators: 6}, 10 * time.Second, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := emptySnapshot(2)
			for _, n := range s.Nodes {
				n.Free, n.Releases = free, []Release{{In: c.release, Resources: used}}
			}
			s.Reserve(newRequest(2, work.Step{Demand: c.demand, Gang: true}))
			restore := s.Lift(c.estimate)
			placed := s.Place(newRequest(20, work.Step{Demand: small}))
			restore()
			if len(placed) != c.passing {
				t.Errorf("%d tasks are placed, want %d", len(placed), c.passing)
			}
		})
	}
}

// TestReservationsOfTwoGangs guards against two gangs that reserve the same resources.
func TestReservationsOfTwoGangs(t *testing.T) {
	s := emptySnapshot(4)
	for _, n := range s.Nodes {
		n.Free, n.Releases = work.Resources{}, []Release{{In: time.Second, Resources: workerCapacity}}
	}
	whole := work.Step{Demand: workerCapacity, Gang: true}
	if first, second, third := s.Reserve(newRequest(2, whole)), s.Reserve(newRequest(2, whole)), s.Reserve(newRequest(1, whole)); len(first) != 2 || len(second) != 2 || third != nil {
		t.Errorf("reserved on %d, %d and %d workers, want 2, 2 and none", len(first), len(second), len(third))
	}
}

// TestReservationsAreUndone guards against resources that are lost or gained when reservations are lifted or released.
func TestReservationsAreUndone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := emptySnapshot(rapid.IntRange(1, 12).Draw(t, "workers"))
		var want []work.Resources
		for _, n := range s.Nodes {
			used := work.Resources{CPU: rapid.IntRange(0, 128_000).Draw(t, "cpu"), Accelerators: rapid.IntRange(0, 8).Draw(t, "accelerators")}
			n.Free = n.Free.Minus(used)
			n.Releases = []Release{{In: time.Duration(rapid.IntRange(0, 90).Draw(t, "in")) * time.Second, Resources: used}}
			want = append(want, n.Free)
		}
		for range rapid.IntRange(1, 4).Draw(t, "gangs") {
			demand := work.Resources{CPU: rapid.IntRange(1, 128_000).Draw(t, "gang cpu"), Accelerators: rapid.IntRange(0, 8).Draw(t, "gang accelerators")}
			s.Reserve(newRequest(rapid.IntRange(1, 12).Draw(t, "members"), work.Step{Demand: demand, Gang: true, SameRack: rapid.Bool().Draw(t, "rack")}))
			s.Lift(time.Duration(rapid.IntRange(0, 60).Draw(t, "lift")) * time.Second)()
		}
		s.ReleaseReservations()
		for i, n := range s.Nodes {
			if n.Free != want[i] || n.promised != (work.Resources{}) {
				t.Fatalf("%s has %+v free and %+v promised, want %+v", n.Key, n.Free, n.promised, want[i])
			}
		}
	})
}
