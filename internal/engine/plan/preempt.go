package plan

import (
	"cmp"
	"slices"

	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// Victim is work that may be preempted: a single run, or all runs of a gang.
type Victim struct {
	ID int // set and used by the caller only
	// Freed holds the resources that stopping the victim frees, by worker.
	Freed map[*Node]work.Resources
	// Cost is the work that is lost, in core milliseconds, weighted by priority.
	Cost float64
}

// Preemption is a set of victims whose preemption makes room for a request.
type Preemption struct {
	Victims []Victim
	// Claims is the number of tasks of the request that each worker gets once the victims
	// have stopped, by worker key.
	Claims map[string]int
	cost   float64
}

// Preempt returns a low-cost set of victims whose resources, together with the free ones,
// make room for the request, or nil if there is none. It does not change the snapshot.
func (s *Snapshot) Preempt(req *Request, victims []Victim) *Preemption {
	if !req.Step.Gang || !req.Step.SameRack || req.AnyRack {
		return chooseVictims(req, s.Nodes, victims)
	}
	var best *Preemption
	for _, rack := range s.racks() {
		preemption := chooseVictims(req, rack, victims)
		if preemption != nil && (best == nil || preemption.cost < best.cost) {
			best = preemption
		}
	}
	return best
}

// Claim takes the claimed resources from the workers, even where they are not free yet;
// the free resources of a worker can become negative.
func (s *Snapshot) Claim(req *Request, claims map[string]int) {
	if len(claims) == 0 {
		return
	}
	for _, n := range s.Nodes {
		if k := claims[n.Key]; k > 0 {
			n.Free = n.Free.Minus(req.Step.Demand.Times(k))
		}
	}
}

// ReleaseClaims frees the resources that Claim took.
func (s *Snapshot) ReleaseClaims(req *Request, claims map[string]int) {
	if len(claims) == 0 {
		return
	}
	for _, n := range s.Nodes {
		if k := claims[n.Key]; k > 0 {
			n.Free = n.Free.Plus(req.Step.Demand.Times(k))
		}
	}
}

// HasWorkers reports whether all claimed workers are in the snapshot.
func (s *Snapshot) HasWorkers(claims map[string]int) bool {
	found := 0
	for _, n := range s.Nodes {
		if claims[n.Key] > 0 {
			found++
		}
	}
	return found == len(claims)
}

// chooseVictims selects victims on the nodes in ascending order of their cost per freed
// core.
func chooseVictims(req *Request, nodes []*Node, victims []Victim) *Preemption {
	available := make(map[*Node]work.Resources, len(nodes))
	for _, n := range nodes {
		available[n] = n.Free
	}
	availableOn := func(n *Node) work.Resources { return available[n] }
	ordered := candidateVictims(nodes, victims)
	var chosen []Victim
	cost := 0.0
	for _, v := range ordered {
		slots := totalSlots(req, nodes, availableOn)
		if slots >= req.Tasks {
			break
		}
		for n, d := range v.Freed {
			if current, ok := available[n]; ok {
				available[n] = current.Plus(d)
			}
		}
		chosen = append(chosen, v)
		cost += v.Cost
	}
	if totalSlots(req, nodes, availableOn) < req.Tasks {
		return nil
	}
	needed, cost := dropUnneeded(req, nodes, available, chosen, cost)
	return &Preemption{Victims: needed, Claims: assignClaims(req, nodes, available), cost: cost}
}

// assignClaims distributes the tasks of the request over the nodes, those with the fewest
// available resources first.
func assignClaims(req *Request, nodes []*Node, available map[*Node]work.Resources) map[string]int {
	ordered := slices.Clone(nodes)
	slices.SortStableFunc(ordered, func(x, y *Node) int { return cmp.Compare(available[x].CPU, available[y].CPU) })
	out := map[string]int{}
	remaining := req.Tasks
	for _, n := range ordered {
		k := min(req.slots(n, available[n]), remaining)
		if k > 0 {
			out[n.Key] = k
			remaining -= k
		}
	}
	return out
}

// candidateVictims returns the victims with a run on the nodes, in ascending order of
// their cost per core that they free there.
func candidateVictims(nodes []*Node, victims []Victim) []Victim {
	freedCPU := func(v Victim) float64 {
		milliCores := 1
		for _, n := range nodes {
			milliCores += v.Freed[n].CPU
		}
		return float64(milliCores)
	}
	var out []Victim
	for _, v := range victims {
		if slices.ContainsFunc(nodes, func(n *Node) bool { _, ok := v.Freed[n]; return ok }) {
			out = append(out, v)
		}
	}
	slices.SortStableFunc(out, func(x, y Victim) int { return cmp.Compare(x.Cost/freedCPU(x), y.Cost/freedCPU(y)) })
	return out
}

// dropUnneeded removes victims that turn out not to be needed, costliest first. It
// returns the remaining victims and their total cost.
func dropUnneeded(req *Request, nodes []*Node, available map[*Node]work.Resources, chosen []Victim, cost float64) ([]Victim, float64) {
	slices.SortStableFunc(chosen, func(x, y Victim) int { return cmp.Compare(y.Cost, x.Cost) })
	availableOn := func(n *Node) work.Resources { return available[n] }
	needed := chosen[:0:0]
	for _, v := range chosen {
		adjust(available, v, func(current, d work.Resources) work.Resources { return current.Minus(d) })
		if totalSlots(req, nodes, availableOn) >= req.Tasks {
			cost -= v.Cost
			continue
		}
		adjust(available, v, func(current, d work.Resources) work.Resources { return current.Plus(d) })
		needed = append(needed, v)
	}
	return needed, cost
}

// adjust applies op to the available resources of each worker on which the victim has a
// run.
func adjust(available map[*Node]work.Resources, v Victim, op func(current, d work.Resources) work.Resources) {
	for n, d := range v.Freed {
		if current, ok := available[n]; ok {
			available[n] = op(current, d)
		}
	}
}
