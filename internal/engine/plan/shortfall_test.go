package plan

import (
	"testing"

	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// TestPreemptWithinCap guards against stops of other organisations' work that free room which a cap
// forbids to use, and against more of them than are needed.
func TestPreemptWithinCap(t *testing.T) {
	demand := work.Resources{CPU: 1000, Accelerators: 4}
	full := work.Resources{CPU: 8000, Accelerators: 8}
	for _, c := range []struct {
		name         string
		free         int // accelerators that are free on the last worker
		own, others  int // runs that may be stopped
		short        int // accelerators that runs of the owner must free
		wantOwn      int
		wantOthers   int
		wantNothing  bool
		requestTasks int
	}{
		{name: "own work is enough", own: 2, others: 2, short: 8, requestTasks: 2, wantOwn: 2},
		{name: "others give the rest", own: 1, others: 3, short: 4, requestTasks: 2, wantOwn: 1, wantOthers: 1},
		{name: "own work only where workers have room", free: 8, own: 2, others: 2, short: 4, requestTasks: 2, wantOwn: 1},
		{name: "nothing is stopped in vain", own: 1, others: 3, short: 8, requestTasks: 2, wantNothing: true},
		{name: "no cap", own: 0, others: 4, requestTasks: 2, wantOthers: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &Snapshot{}
			for _, key := range []string{"a", "b", "c"} {
				s.Nodes = append(s.Nodes, &Node{Key: key, Rack: key, Capacity: full})
			}
			s.Nodes[2].Free = work.Resources{CPU: 8000, Accelerators: c.free}
			var list []Victim
			for i := range c.own + c.others {
				v := Victim{ID: i, Owner: "other", Cost: float64(i), Refund: demand, Freed: []Freed{{Node: s.Nodes[i%2], Resources: demand}}}
				if i >= c.others {
					v.Owner = "own"
				}
				list = append(list, v)
			}
			req := newRequest(c.requestTasks, work.Step{Demand: demand})
			req.Owner, req.Shortfall = "own", work.Resources{Accelerators: c.short}
			p := s.Preempt(req, NewVictims(list, nil))
			if p == nil {
				if !c.wantNothing {
					t.Fatal("nothing is stopped")
				}
				return
			}
			count := map[string]int{}
			for _, v := range p.Victims {
				count[v.Owner]++
			}
			if c.wantNothing || count["own"] != c.wantOwn || count["other"] != c.wantOthers {
				t.Errorf("stopped %v, want %d own and %d others, nothing: %v", count, c.wantOwn, c.wantOthers, c.wantNothing)
			}
		})
	}
}
