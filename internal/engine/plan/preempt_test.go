package plan

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// fullSnapshot returns n workers, twelve to a rack, each full of eight single runs, and a
// victim for each run.
func fullSnapshot(n int) (*Snapshot, []Victim) {
	s := &Snapshot{}
	demand := work.Resources{CPU: 11_000, MemoryMB: 59_000, Accelerators: 1}
	var victims []Victim
	for i := range n {
		node := &Node{Key: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%03d", i/12), Capacity: workerCapacity, Free: workerCapacity.Minus(demand.Times(8))}
		s.Nodes = append(s.Nodes, node)
		for k := range 8 {
			victims = append(victims, Victim{ID: len(victims), Freed: []Freed{{node, demand}}, Cost: float64((i*7 + k*13) % 97)})
		}
	}
	return s, victims
}

// urgentRequests are a gang that stays in one rack and one that may spread.
func urgentRequests() []*Request {
	demand := work.Resources{CPU: 15_000, MemoryMB: 61_000, Accelerators: 4}
	return []*Request{
		newRequest(8, work.Step{Demand: demand, Gang: true, SameRack: true}),
		newRequest(46, work.Step{Demand: demand, Gang: true}),
	}
}

// preemptionTime returns the shortest of several processor times that a search on n full
// workers takes.
func preemptionTime(t *testing.T, n int, req *Request) time.Duration {
	s, victims := fullSnapshot(n)
	pool := NewVictims(victims, nil)
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	shortest := time.Hour
	for range 5 {
		start := threadTime(t)
		s.Preempt(req, pool)
		shortest = min(shortest, threadTime(t)-start)
	}
	return shortest
}

// threadTime returns the processor time of the calling thread, which other processes of the
// machine do not change.
func threadTime(t *testing.T) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		t.Fatal(err)
	}
	return time.Duration(ts.Nano())
}

// TestPreemptionCostIsLinear guards against a search whose cost grows with the number of
// workers times the number of runs. With 1,100 workers it stalled the scheduler for half a
// second, and other hosts took its ownership away.
func TestPreemptionCostIsLinear(t *testing.T) {
	const growth, maxGrowth = 8, 24 // linear growth is 8, quadratic growth is 64
	for _, req := range urgentRequests() {
		small, large := preemptionTime(t, 200, req), preemptionTime(t, 200*growth, req)
		if large > maxGrowth*small {
			t.Errorf("a search takes %s on %d workers and %s on %d", small, 200, large, 200*growth)
		}
	}
}

// TestTakenVictimsAreNotUsedTwice guards against two requests that count on the resources
// of the same victim.
func TestTakenVictimsAreNotUsedTwice(t *testing.T) {
	s, victims := fullSnapshot(12)
	pool := NewVictims(victims, nil)
	req := urgentRequests()[0]
	stopped := map[int]bool{}
	for range 4 {
		p := s.Preempt(req, pool)
		if p == nil {
			break
		}
		s.Claim(req, p.Claims)
		pool.Take(p)
		for _, v := range p.Victims {
			if stopped[v.ID] {
				t.Errorf("victim %d is used twice", v.ID)
			}
			stopped[v.ID] = true
		}
	}
	if len(stopped) == 0 {
		t.Error("no preemption was found")
	}
}

// TestComingRoomNeedsNoVictims guards against victims for a request that fits into what is coming,
// and against two requests that count on the same room.
func TestComingRoomNeedsNoVictims(t *testing.T) {
	s, victims := fullSnapshot(12)
	coming := []Freed{{s.Nodes[0], workerCapacity}, {s.Nodes[1], workerCapacity}}
	pool := NewVictims(victims[16:], coming)
	req := newRequest(2, work.Step{Demand: work.Resources{CPU: 50_000, MemoryMB: 100_000, Accelerators: 6}, Gang: true, SameRack: true})
	first := s.Preempt(req, pool)
	if first == nil || len(first.Victims) != 0 {
		t.Fatalf("got %+v, want no victims", first)
	}
	s.Claim(req, first.Claims)
	pool.Take(first)
	second := s.Preempt(req, pool)
	if second == nil || len(second.Victims) == 0 {
		t.Fatalf("got %+v, want victims", second)
	}
	for key := range first.Claims {
		if second.Claims[key] > 0 {
			t.Errorf("both requests claim %s", key)
		}
	}
}

func BenchmarkPreempt(b *testing.B) {
	for _, n := range []int{350, 1100, 3000} {
		s, victims := fullSnapshot(n)
		for i, req := range urgentRequests() {
			b.Run(fmt.Sprintf("workers=%d/request=%d", n, i), func(b *testing.B) {
				for b.Loop() {
					s.Preempt(req, NewVictims(victims, nil))
				}
			})
		}
	}
}
