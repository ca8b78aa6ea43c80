package plan

import (
	"cmp"
	"slices"

	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// KeepEmpty hides up to the given number of empty workers, in as few racks as possible, until
// ReleaseEmpty is called: whole workers of one rack are what gangs lack first. It returns the number
// of workers that are hidden, and does nothing if it was called already.
func (s *Snapshot) KeepEmpty(count int) int {
	if s.keepsEmpty || count <= 0 {
		return len(s.keptEmpty)
	}
	s.keepsEmpty = true
	empty := map[string][]*Node{}
	var racks []string
	for _, n := range s.Nodes {
		if n.Free != n.Capacity || n.ProbeOnly {
			continue
		}
		if empty[n.Rack] == nil {
			racks = append(racks, n.Rack)
		}
		empty[n.Rack] = append(empty[n.Rack], n)
	}
	slices.SortFunc(racks, func(a, b string) int { return cmp.Or(cmp.Compare(len(empty[b]), len(empty[a])), cmp.Compare(a, b)) })
	for _, rack := range racks {
		for _, n := range empty[rack][:min(len(empty[rack]), count-len(s.keptEmpty))] {
			s.keptEmpty = append(s.keptEmpty, n)
			n.Free = work.Resources{}
		}
	}
	return len(s.keptEmpty)
}

// ReleaseEmpty makes the workers available again that KeepEmpty hid.
func (s *Snapshot) ReleaseEmpty() {
	for _, n := range s.keptEmpty {
		n.Free = n.Free.Plus(n.Capacity)
	}
	s.keptEmpty, s.keepsEmpty = nil, false
}

// FilledBy returns how many workers the given resources fill, by the one that is scarcest.
func (s *Snapshot) FilledBy(r work.Resources) float64 {
	var total work.Resources
	for _, n := range s.Nodes {
		total = total.Plus(n.Capacity)
	}
	share := 0.0
	for _, of := range [][2]int{{r.CPU, total.CPU}, {r.MemoryMB, total.MemoryMB}, {r.Accelerators, total.Accelerators}} {
		if of[1] > 0 {
			share = max(share, float64(of[0])/float64(of[1]))
		}
	}
	return share * float64(len(s.Nodes))
}
