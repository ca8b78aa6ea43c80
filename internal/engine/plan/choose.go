package plan

import (
	"cmp"
	"slices"

	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// Choose returns workers that together have room for the tasks of the request, those with the most
// free resources first, and allocates nothing. complete reports whether there is room for all tasks;
// for a gang it returns no workers otherwise.
func (s *Snapshot) Choose(req *Request) (chosen []*Node, complete bool) {
	nodes := s.Nodes
	if req.Step.Gang {
		if nodes = s.gangNodes(req, (*Node).free); nodes == nil {
			return nil, false
		}
	}
	remaining := req.Tasks
	for _, n := range byFreeResources(nodes) {
		if k := req.slots(n, n.Free); k > 0 && remaining > 0 {
			remaining -= k
			chosen = append(chosen, n)
		}
	}
	return chosen, remaining <= 0
}

// WithRoom returns the workers that have room for a task of the request, those with the most free
// resources first.
func (s *Snapshot) WithRoom(req *Request) []*Node { return s.withSlots(req, (*Node).free) }

// WithCapacity returns the workers that would have room for a task of the request if nothing ran
// there, those with the most free resources first.
func (s *Snapshot) WithCapacity(req *Request) []*Node { return s.withSlots(req, (*Node).usualCapacity) }

func (s *Snapshot) withSlots(req *Request, available func(*Node) work.Resources) []*Node {
	return slices.DeleteFunc(byFreeResources(s.Nodes), func(n *Node) bool { return req.slots(n, available(n)) == 0 })
}

func (n *Node) free() work.Resources { return n.Free }

// byFreeResources returns the workers in descending order of their free resources.
func byFreeResources(nodes []*Node) []*Node {
	ordered := slices.Clone(nodes)
	slices.SortStableFunc(ordered, func(a, b *Node) int {
		return cmp.Or(cmp.Compare(b.Free.Accelerators, a.Free.Accelerators), cmp.Compare(b.Free.CPU, a.Free.CPU))
	})
	return ordered
}
