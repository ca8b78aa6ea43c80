package topology

import (
	"github.com/daisyfold/daisyfold/internal/model"
)

// Occupant is one task on a worker.
type Occupant struct {
	Gang int // index in Table.Gangs
	Mask Mask
	Use  model.Resources
}

// Node is one worker with its free resources.
type Node struct {
	ID       model.WorkerID
	Rack     int
	Capacity model.Resources
	All      Mask // every accelerator of the worker
	Free     Mask
	CPUs     int // free
	MemoryMB int // free
	Health   model.WorkerHealth
	Tasks    []Occupant
}

// Usable reports whether new work of any size may start on the worker.
func (n *Node) Usable() bool {
	return n.Health == model.WorkerHealthy || n.Health == ""
}

// Gang is a running attempt and the nodes that hold its tasks, each once.
type Gang struct {
	*model.Placement
	Nodes []int
}

// Table is the state of one shard's workers.
type Table struct {
	Nodes []Node
	Racks [][]int // node indices by rack
	Gangs []Gang
	index map[model.WorkerID]int
}

// New builds the table from the workers and the attempts that hold resources.
// Members on unknown workers are ignored.
func New(workers []model.Worker, running []model.Placement) *Table {
	t := &Table{
		Nodes: make([]Node, len(workers)),
		Gangs: make([]Gang, 0, len(running)),
		index: make(map[model.WorkerID]int, len(workers)),
	}
	racks := make(map[string]int)
	// Most workers hold at most one task for each accelerator.
	tasks := make([]Occupant, len(workers)*model.AcceleratorsPerWorker)
	for i := range workers {
		t.addWorker(i, &workers[i], racks)
		start := i * model.AcceleratorsPerWorker
		t.Nodes[i].Tasks = tasks[start : start : start+model.AcceleratorsPerWorker]
	}
	for i := range running {
		t.Add(&running[i])
	}
	return t
}

func (t *Table) addWorker(i int, w *model.Worker, racks map[string]int) {
	rack, ok := racks[w.Rack]
	if !ok {
		rack = len(t.Racks)
		racks[w.Rack] = rack
		t.Racks = append(t.Racks, nil)
	}
	all := Span(0, w.Capacity.Accelerators)
	t.Nodes[i] = Node{
		ID: w.ID, Rack: rack, Capacity: w.Capacity, All: all, Free: all,
		CPUs: w.Capacity.CPUs, MemoryMB: w.Capacity.MemoryMB, Health: w.Health,
	}
	t.Racks[rack] = append(t.Racks[rack], i)
	t.index[w.ID] = i
}

// Add marks the resources of a placement as used and returns the gang's index.
func (t *Table) Add(p *model.Placement) int {
	id := len(t.Gangs)
	nodes := make([]int, 0, len(p.Members))
	for m := range p.Members {
		member := &p.Members[m]
		i, ok := t.index[member.Worker]
		if !ok {
			continue
		}
		n := &t.Nodes[i]
		mask := Of(member.Accelerators)
		n.Free &^= mask
		n.CPUs -= member.Resources.CPUs
		n.MemoryMB -= member.Resources.MemoryMB
		if len(n.Tasks) == 0 || n.Tasks[len(n.Tasks)-1].Gang != id {
			nodes = append(nodes, i)
		}
		n.Tasks = append(n.Tasks, Occupant{Gang: id, Mask: mask, Use: member.Resources})
	}
	t.Gangs = append(t.Gangs, Gang{Placement: p, Nodes: nodes})
	return id
}

// Index returns the node of a worker.
func (t *Table) Index(id model.WorkerID) (int, bool) {
	i, ok := t.index[id]
	return i, ok
}

// Whole reports whether the free accelerators of node i form a whole worker.
func (t *Table) Whole(i int) bool {
	n := &t.Nodes[i]
	return n.All != 0 && n.Free == n.All
}

// Clone returns a copy that can be changed apart from t.
func (t *Table) Clone() *Table {
	c := &Table{
		Nodes: append([]Node(nil), t.Nodes...), Racks: t.Racks,
		Gangs: t.Gangs[:len(t.Gangs):len(t.Gangs)], index: t.index,
	}
	for i := range c.Nodes {
		n := &c.Nodes[i]
		n.Tasks = n.Tasks[:len(n.Tasks):len(n.Tasks)]
	}
	return c
}
