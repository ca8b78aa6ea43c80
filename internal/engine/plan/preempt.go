package plan

import (
	"cmp"
	"slices"

	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// Victim is work that may be stopped: a single run, or all runs of a gang.
type Victim struct {
	ID int // the caller's
	// Runs are the demands that end, by worker.
	Runs map[*Node]work.Demand
	// Loss is the work thrown away, in core milliseconds, and more for what is urgent.
	Loss float64
}

// Eviction is the work that makes room for an ask.
type Eviction struct {
	Victims []Victim
	// Claims are the tasks of the ask that go to each worker once the victims have
	// stopped.
	Claims map[string]int
	loss   float64
}

// Preempt returns the victims whose room, together with what is free, lets the ask in
// at the least loss, or nil if no set does. It changes nothing.
func (s *Snapshot) Preempt(a *Ask, victims []Victim) *Eviction {
	if !a.Step.Gang || !a.Step.SameRack || a.AnyRack {
		return evict(a, s.Nodes, victims)
	}
	var best *Eviction
	for _, rack := range s.racks() {
		e := evict(a, rack, victims)
		if e != nil && (best == nil || e.loss < best.loss) {
			best = e
		}
	}
	return best
}

// Claim takes the room of an eviction's claims, even where it is not free yet.
func (s *Snapshot) Claim(a *Ask, claims map[string]int) {
	if len(claims) == 0 {
		return
	}
	for _, n := range s.Nodes {
		if k := claims[n.Key]; k > 0 {
			n.Free = n.Free.Minus(a.Step.Demand.Times(k))
		}
	}
}

// Unclaim gives the room of claims back.
func (s *Snapshot) Unclaim(a *Ask, claims map[string]int) {
	if len(claims) == 0 {
		return
	}
	for _, n := range s.Nodes {
		if k := claims[n.Key]; k > 0 {
			n.Free = n.Free.Plus(a.Step.Demand.Times(k))
		}
	}
}

// Has tells whether all claimed workers are in the snapshot.
func (s *Snapshot) Has(claims map[string]int) bool {
	found := 0
	for _, n := range s.Nodes {
		if claims[n.Key] > 0 {
			found++
		}
	}
	return found == len(claims)
}

// evict chooses victims on the nodes, cheapest for the room that they free first.
func evict(a *Ask, nodes []*Node, victims []Victim) *Eviction {
	freed := make(map[*Node]work.Demand, len(nodes))
	for _, n := range nodes {
		freed[n] = n.Free
	}
	room := func(n *Node) work.Demand { return freed[n] }
	order := candidates(nodes, victims)
	var chosen []Victim
	loss := 0.0
	for _, v := range order {
		have := total(a, nodes, room)
		if have >= a.Tasks {
			break
		}
		for n, d := range v.Runs {
			if at, ok := freed[n]; ok {
				freed[n] = at.Plus(d)
			}
		}
		chosen = append(chosen, v)
		loss += v.Loss
	}
	if total(a, nodes, room) < a.Tasks {
		return nil
	}
	kept, loss := prune(a, nodes, freed, chosen, loss)
	return &Eviction{Victims: kept, Claims: claims(a, nodes, freed), loss: loss}
}

// claims spreads the ask over the room that there will be, fullest workers first.
func claims(a *Ask, nodes []*Node, freed map[*Node]work.Demand) map[string]int {
	order := slices.Clone(nodes)
	slices.SortStableFunc(order, func(x, y *Node) int { return cmp.Compare(freed[x].CPU, freed[y].CPU) })
	out := map[string]int{}
	left := a.Tasks
	for _, n := range order {
		k := min(a.slots(n, freed[n]), left)
		if k > 0 {
			out[n.Key] = k
			left -= k
		}
	}
	return out
}

// candidates are the victims with a run on the nodes, by loss for each core that they
// free there.
func candidates(nodes []*Node, victims []Victim) []Victim {
	gain := func(v Victim) float64 {
		cores := 1
		for _, n := range nodes {
			cores += v.Runs[n].CPU
		}
		return float64(cores)
	}
	var out []Victim
	for _, v := range victims {
		if slices.ContainsFunc(nodes, func(n *Node) bool { _, ok := v.Runs[n]; return ok }) {
			out = append(out, v)
		}
	}
	slices.SortStableFunc(out, func(x, y Victim) int { return cmp.Compare(x.Loss/gain(x), y.Loss/gain(y)) })
	return out
}

// prune leaves out victims that are not needed after all, dearest first.
func prune(a *Ask, nodes []*Node, freed map[*Node]work.Demand, chosen []Victim, loss float64) ([]Victim, float64) {
	slices.SortStableFunc(chosen, func(x, y Victim) int { return cmp.Compare(y.Loss, x.Loss) })
	room := func(n *Node) work.Demand { return freed[n] }
	kept := chosen[:0:0]
	for _, v := range chosen {
		shift(freed, v, func(at, d work.Demand) work.Demand { return at.Minus(d) })
		if total(a, nodes, room) >= a.Tasks {
			loss -= v.Loss
			continue
		}
		shift(freed, v, func(at, d work.Demand) work.Demand { return at.Plus(d) })
		kept = append(kept, v)
	}
	return kept, loss
}

func shift(freed map[*Node]work.Demand, v Victim, by func(at, d work.Demand) work.Demand) {
	for n, d := range v.Runs {
		if at, ok := freed[n]; ok {
			freed[n] = by(at, d)
		}
	}
}
