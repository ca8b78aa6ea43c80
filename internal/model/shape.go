package model

// Level is a level of the accelerator hierarchy.
type Level string

// Levels of the hierarchy, smallest first. Four is an aligned group of four accelerators
// in a worker.
const (
	LevelAccelerator Level = "accelerator"
	LevelPair        Level = "pair"
	LevelFour        Level = "four"
	LevelWorker      Level = "worker"
	LevelRack        Level = "rack"
	LevelZone        Level = "zone"
)

// Numbers of accelerators in the cells of a worker.
const (
	AcceleratorsPerPair   = 2
	AcceleratorsPerFour   = 4
	AcceleratorsPerWorker = 8
)

// Shape is a set of adjacent accelerators: Count cells of level Cell that lie in one
// cell of level Within. For example, {Cell: worker, Count: 2, Within: rack} is two whole
// workers in one rack.
type Shape struct {
	Cell   Level `json:"cell"`
	Count  int   `json:"count"`
	Within Level `json:"within"`
}

// AcceleratorsPerCell returns the number of accelerators in one cell of the given level,
// or 0 for levels above worker.
func AcceleratorsPerCell(level Level) int {
	switch level {
	case LevelAccelerator:
		return 1
	case LevelPair:
		return AcceleratorsPerPair
	case LevelFour:
		return AcceleratorsPerFour
	case LevelWorker:
		return AcceleratorsPerWorker
	default:
		return 0
	}
}

// Accelerators returns the total number of accelerators in the shape.
func (s Shape) Accelerators() int { return s.Count * AcceleratorsPerCell(s.Cell) }

// Guarantee is a number of equal shapes that an organisation can always reclaim in one
// availability zone.
type Guarantee struct {
	Organisation Organisation `json:"organisation"`
	Zone         Zone         `json:"zone"`
	Shape        Shape        `json:"shape"`
	// ShapeCount is the number of guaranteed copies of Shape.
	ShapeCount int `json:"shapes"`
}
