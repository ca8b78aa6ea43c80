package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// Release is a part of a worker's resources that is free once a run has ended.
type Release struct {
	In time.Duration // expected time until then
	work.Resources
}

// reservationTimes are the times within which a gang must be expected to fit to get a
// reservation, in ascending order. The last one is far beyond the usual duration of tasks; what
// is free later, such as the resources of long-running tasks, is not worth waiting for.
var reservationTimes = []time.Duration{
	0, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 15 * time.Second, 30 * time.Second, time.Minute,
}

// reservation is what Reserve took from a worker.
type reservation struct {
	node *Node
	// start is a lower bound of the expected time until the reserved resources are used.
	start time.Duration
	// taken was free; promised will be when runs end.
	taken, promised work.Resources
}

// freeIn returns the resources that are expected to be free after the given time: none on a
// worker that is only probed.
func (n *Node) freeIn(d time.Duration) work.Resources {
	if n.ProbeOnly {
		return work.Resources{}
	}
	free := n.Free.Minus(n.promised)
	for _, r := range n.Releases {
		if r.In <= d {
			free = free.Plus(r.Resources)
		}
	}
	return free
}

func freeIn(d time.Duration) func(*Node) work.Resources {
	return func(n *Node) work.Resources { return n.freeIn(d) }
}

// FitsEventually reports whether the gang is expected to fit, within the time for which
// resources are reserved, if no other work starts.
func (s *Snapshot) FitsEventually(req *Request) bool {
	return s.gangNodes(req, freeIn(reservationTimes[len(reservationTimes)-1])) != nil
}

// Reserve keeps resources for a gang, so that smaller tasks cannot starve it: what it needs of
// the workers on which it fits first. It reserves nothing if it is not expected to fit in time.
// Tasks that fit beside the gang, or end before it fits, are not affected (see Lift). Reserve
// returns the workers.
func (s *Snapshot) Reserve(req *Request) []*Node {
	var earliest time.Duration // the gang is not expected to fit before
	for _, d := range reservationTimes {
		if nodes := s.gangNodes(req, freeIn(d)); nodes != nil {
			return s.reserveOn(nodes, req, earliest, d)
		}
		earliest = d
	}
	return nil
}

// reserveOn reserves resources of the workers for a gang that fits there between two times.
func (s *Snapshot) reserveOn(nodes []*Node, req *Request, earliest, latest time.Duration) []*Node {
	ordered := slices.Clone(nodes)
	slices.SortStableFunc(ordered, func(x, y *Node) int { return cmp.Compare(y.Free.CPU, x.Free.CPU) })
	remaining := req.Tasks
	var reserved []*Node
	for _, n := range ordered {
		later := n.freeIn(latest)
		k := min(req.slots(n, later), remaining)
		if k == 0 {
			continue
		}
		remaining -= k
		demand := req.Step.Demand.Times(k)
		taken := n.Free.Minus(smaller(n.Free, later.Minus(demand)))
		r := reservation{node: n, start: earliest, taken: taken, promised: demand.Minus(taken)}
		n.Free, n.promised = n.Free.Minus(r.taken), n.promised.Plus(r.promised)
		s.reservations = append(s.reservations, r)
		reserved = append(reserved, n)
	}
	return reserved
}

// smaller returns the smaller amount of each resource.
func smaller(a, b work.Resources) work.Resources {
	return work.Resources{CPU: min(a.CPU, b.CPU), MemoryMB: min(a.MemoryMB, b.MemoryMB), Accelerators: min(a.Accelerators, b.Accelerators)}
}

// ReleaseReservations frees the resources that Reserve took.
func (s *Snapshot) ReleaseReservations() {
	for _, r := range s.reservations {
		r.node.Free, r.node.promised = r.node.Free.Plus(r.taken), r.node.promised.Minus(r.promised)
	}
	s.reservations = nil
}

// Lift makes the reserved resources available that are needed no earlier than after the given
// time, until the returned function is called.
func (s *Snapshot) Lift(until time.Duration) (restore func()) {
	var lifted []reservation
	for _, r := range s.reservations {
		if r.start >= until {
			r.node.Free = r.node.Free.Plus(r.taken)
			lifted = append(lifted, r)
		}
	}
	return func() {
		for _, r := range lifted {
			r.node.Free = r.node.Free.Minus(r.taken)
		}
	}
}
