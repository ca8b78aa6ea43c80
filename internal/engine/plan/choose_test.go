package plan

import (
	"testing"

	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// TestChooseTakesWorkersWithRoom guards against workers without room for the request, and against a gang
// for which only a part of the workers is chosen.
func TestChooseTakesWorkersWithRoom(t *testing.T) {
	half := work.Resources{CPU: workerCapacity.CPU / 2, MemoryMB: 1000, Accelerators: workerCapacity.Accelerators / 2}
	cases := []struct {
		name                 string
		tasks                int
		gang                 bool
		firstOnly            bool // only the first worker, which has no room, is allowed
		chosen               int
		complete             bool
		withRoom, withoutUse int
	}{
		{"two tasks on a worker", 4, false, false, 2, true, 3, 4},
		{"more tasks than room", 9, false, false, 3, false, 3, 4},
		{"a gang that fits", 6, true, false, 3, true, 3, 4},
		{"a gang that does not fit", 7, true, false, 0, false, 3, 4},
		{"denied workers", 2, false, true, 0, false, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := emptySnapshot(4)
			s.Nodes[0].Free = work.Resources{}
			req := newRequest(c.tasks, work.Step{Demand: half, Gang: c.gang})
			if c.firstOnly {
				req.Allowed = map[string]bool{s.Nodes[0].Key: true}
			}
			chosen, complete := s.Choose(req)
			if len(chosen) != c.chosen || complete != c.complete {
				t.Errorf("%d workers are chosen, complete %v, want %d, %v", len(chosen), complete, c.chosen, c.complete)
			}
			if n, m := len(s.WithRoom(req)), len(s.WithCapacity(req)); n != c.withRoom || m != c.withoutUse {
				t.Errorf("%d workers have room and %d capacity, want %d and %d", n, m, c.withRoom, c.withoutUse)
			}
		})
	}
}
