package model

// Level is a level of the accelerator hierarchy.
type Level string

// The levels of the hierarchy, smallest first.
const (
	LevelAccelerator Level = "accelerator"
	LevelPair        Level = "pair"
	LevelFour        Level = "four"
	LevelWorker      Level = "worker"
	LevelRack        Level = "rack"
	LevelZone        Level = "zone"
)

// Accelerators in the fixed cells inside a worker.
const (
	PairAccelerators   = 2
	FourAccelerators   = 4
	WorkerAccelerators = 8
)

// Shape is a set of adjacent accelerators. Count cells of size Cell must lie
// within one cell of level Within. {Cell: worker, Count: 2, Within: rack} is two
// whole workers in one rack.
type Shape struct {
	Cell   Level `json:"cell"`
	Count  int   `json:"count"`
	Within Level `json:"within"`
}

// CellAccelerators returns the accelerators of one cell of level l inside a
// worker, or 0 for levels above a worker.
func CellAccelerators(l Level) int {
	switch l {
	case LevelAccelerator:
		return 1
	case LevelPair:
		return PairAccelerators
	case LevelFour:
		return FourAccelerators
	case LevelWorker:
		return WorkerAccelerators
	default:
		return 0
	}
}

// Accelerators returns the total number of accelerators in the shape.
func (s Shape) Accelerators() int { return s.Count * CellAccelerators(s.Cell) }

// Guarantee is a set of equal shapes that an organisation can always reclaim in
// one availability zone.
type Guarantee struct {
	Organisation Organisation `json:"organisation"`
	Zone         Zone         `json:"zone"`
	Shape        Shape        `json:"shape"`
	// Shapes is how many of Shape are guaranteed.
	Shapes int `json:"shapes"`
}
