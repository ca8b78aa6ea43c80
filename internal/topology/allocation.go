package topology

import (
	"github.com/daisyfold/daisyfold/internal/model"
)

// Allocation is the resources that one task holds on a worker.
type Allocation struct {
	Gang         int // index in AllocationTable.Gangs
	Accelerators Mask
	Resources    model.Resources
}

// Node is one worker with its free resources.
type Node struct {
	ID               model.WorkerID
	Rack             int // index in AllocationTable.Racks
	Capacity         model.Resources
	AllAccelerators  Mask // every accelerator of the worker
	FreeAccelerators Mask
	FreeCPUs         int
	FreeMemoryMB     int
	Health           model.WorkerHealth
	Allocations      []Allocation
}

// Usable reports whether new work of any size may start on the worker.
func (n *Node) Usable() bool {
	return n.Health == model.WorkerHealthy || n.Health == ""
}

// Gang is the placement of an attempt that holds resources.
type Gang struct {
	*model.Placement
	Nodes []int // nodes that hold its tasks, each once
}

// AllocationTable records which resources of one shard's workers are free and which gangs
// hold the others.
type AllocationTable struct {
	Nodes     []Node
	Racks     [][]int // node indices by rack
	Gangs     []Gang
	nodeIndex map[model.WorkerID]int
}

// New returns the table of the workers and of the attempts that hold resources, starting
// ones included. Members on unknown workers are ignored.
func New(workers []model.Worker, running []model.Placement) *AllocationTable {
	t := &AllocationTable{
		Nodes:     make([]Node, len(workers)),
		Gangs:     make([]Gang, 0, len(running)),
		nodeIndex: make(map[model.WorkerID]int, len(workers)),
	}
	racks := make(map[string]int)
	// Most workers hold at most one task for each accelerator.
	allocations := make([]Allocation, len(workers)*model.AcceleratorsPerWorker)
	for i := range workers {
		t.addWorker(i, &workers[i], racks)
		start := i * model.AcceleratorsPerWorker
		t.Nodes[i].Allocations = allocations[start : start : start+model.AcceleratorsPerWorker]
	}
	for i := range running {
		t.AddGang(&running[i])
	}
	return t
}

// addWorker adds worker w as node i. racks maps rack names to rack indices.
func (t *AllocationTable) addWorker(i int, w *model.Worker, racks map[string]int) {
	rack, ok := racks[w.Rack]
	if !ok {
		rack = len(t.Racks)
		racks[w.Rack] = rack
		t.Racks = append(t.Racks, nil)
	}
	all := MaskRange(0, w.Capacity.Accelerators)
	t.Nodes[i] = Node{
		ID: w.ID, Rack: rack, Capacity: w.Capacity, AllAccelerators: all, FreeAccelerators: all,
		FreeCPUs: w.Capacity.CPUs, FreeMemoryMB: w.Capacity.MemoryMB, Health: w.Health,
	}
	t.Racks[rack] = append(t.Racks[rack], i)
	t.nodeIndex[w.ID] = i
}

// AddGang marks the resources of a placement as used and returns the gang's index.
func (t *AllocationTable) AddGang(p *model.Placement) int {
	gang := len(t.Gangs)
	nodes := make([]int, 0, len(p.Members))
	for m := range p.Members {
		member := &p.Members[m]
		i, ok := t.nodeIndex[member.Worker]
		if !ok {
			continue
		}
		n := &t.Nodes[i]
		mask := MaskOf(member.Accelerators)
		n.FreeAccelerators &^= mask
		n.FreeCPUs -= member.Resources.CPUs
		n.FreeMemoryMB -= member.Resources.MemoryMB
		if len(n.Allocations) == 0 || n.Allocations[len(n.Allocations)-1].Gang != gang {
			nodes = append(nodes, i)
		}
		n.Allocations = append(n.Allocations, Allocation{Gang: gang, Accelerators: mask, Resources: member.Resources})
	}
	t.Gangs = append(t.Gangs, Gang{Placement: p, Nodes: nodes})
	return gang
}

// NodeIndex returns the node index of a worker, and false if the worker is unknown.
func (t *AllocationTable) NodeIndex(id model.WorkerID) (int, bool) {
	i, ok := t.nodeIndex[id]
	return i, ok
}

// IsIdle reports whether node i has accelerators and all of them are free.
func (t *AllocationTable) IsIdle(i int) bool {
	n := &t.Nodes[i]
	return n.AllAccelerators != 0 && n.FreeAccelerators == n.AllAccelerators
}

// Clone returns a copy to which gangs can be added without changing t.
func (t *AllocationTable) Clone() *AllocationTable {
	c := &AllocationTable{
		Nodes: append([]Node(nil), t.Nodes...), Racks: t.Racks,
		Gangs: t.Gangs[:len(t.Gangs):len(t.Gangs)], nodeIndex: t.nodeIndex,
	}
	for i := range c.Nodes {
		n := &c.Nodes[i]
		n.Allocations = n.Allocations[:len(n.Allocations):len(n.Allocations)]
	}
	return c
}
