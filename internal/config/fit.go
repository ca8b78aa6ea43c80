package config

import (
	"fmt"
	"math/bits"
	"sort"

	"github.com/daisyfold/daisyfold/internal/model"
)

// freeMask has one bit for each accelerator of a worker; the bit is set if the accelerator
// is free.
type freeMask uint8

// zoneCapacity holds the free accelerators of a zone's declared hardware, by rack and
// worker.
type zoneCapacity struct {
	name  model.Zone
	racks [][]freeMask
}

// demand is one guarantee with its path in the configuration.
type demand struct {
	path string
	Guarantee
}

// checkGuaranteesFit places all guarantees on the declared hardware. Guarantees with a zone
// are placed first, then those without one; within each group, larger cells are placed
// first, and of equal cells larger counts. Placement is greedy, so a configuration that
// fills racks to the last worker with shapes of different counts may be refused although it
// fits.
func (c *checker) checkGuaranteesFit() {
	if c.doc.HasFinding("availabilityZones") {
		return
	}
	zones := c.declaredCapacity()
	for _, d := range sortDemands(c.validDemands()) {
		if placed := placeDemand(&d, zones); placed < d.Shapes {
			c.doc.AddFinding(d.path, "only %d of %d guaranteed shapes (%s) fit into the declared hardware of %s",
				placed, d.Shapes, formatShape(d.Shape), d.zoneDescription())
		}
	}
}

// sortDemands sorts demands in the order of placement and returns the same slice.
func sortDemands(demands []demand) []demand {
	sort.SliceStable(demands, func(i, j int) bool { return demands[i].placedBefore(&demands[j]) })
	return demands
}

func (c *checker) declaredCapacity() []*zoneCapacity {
	zones := make([]*zoneCapacity, len(c.cfg.AvailabilityZones))
	for i, z := range c.cfg.AvailabilityZones {
		zones[i] = newZoneCapacity(z)
	}
	return zones
}

func newZoneCapacity(z AvailabilityZone) *zoneCapacity {
	capacity := &zoneCapacity{name: z.Name, racks: make([][]freeMask, z.Hardware.Racks)}
	allFree := freeMask(1<<z.Hardware.AcceleratorsPerWorker - 1)
	for r := range capacity.racks {
		capacity.racks[r] = make([]freeMask, z.Hardware.WorkersPerRack)
		for w := range capacity.racks[r] {
			capacity.racks[r][w] = allFree
		}
	}
	return capacity
}

// validDemands returns the guarantees that have no findings.
func (c *checker) validDemands() []demand {
	var demands []demand
	for i, o := range c.cfg.Organisations {
		for j, g := range o.Guarantees {
			path := fmt.Sprintf("organisations[%d].guarantees[%d]", i, j)
			if !c.doc.HasFinding(path) {
				demands = append(demands, demand{path, g})
			}
		}
	}
	return demands
}

// placedBefore reports whether d is placed before other.
func (d *demand) placedBefore(other *demand) bool {
	if (d.Zone != "") != (other.Zone != "") {
		return d.Zone != ""
	}
	if a, b := model.AcceleratorsPerCell(d.Shape.Cell), model.AcceleratorsPerCell(other.Shape.Cell); a != b {
		return a > b
	}
	return d.Shape.Count > other.Shape.Count
}

// placeDemand allocates the shapes of a demand in the zones and returns how many fit.
func placeDemand(d *demand, zones []*zoneCapacity) int {
	placed := 0
	for placed < d.Shapes {
		n := placeInBestGroup(d, d.Shapes-placed, zones)
		if n == 0 {
			break
		}
		placed += n
	}
	return placed
}

func (d *demand) zoneDescription() string {
	if d.Zone == "" {
		return "all zones, after the other guarantees"
	}
	return fmt.Sprintf("zone %q, after the other guarantees", d.Zone)
}

func formatShape(s model.Shape) string {
	return fmt.Sprintf("%d x %s within one %s", s.Count, s.Cell, s.Within)
}

// placeInBestGroup allocates up to limit shapes in one group of workers, the group with the
// fewest free cells that holds at least one shape. It returns the number of shapes.
func placeInBestGroup(d *demand, limit int, zones []*zoneCapacity) int {
	var best []*freeMask
	cellSize := model.AcceleratorsPerCell(d.Shape.Cell)
	bestFree := 0
	for _, z := range zones {
		if d.Zone != "" && d.Zone != z.name {
			continue
		}
		z.visitGroups(d.Shape.Within, func(group []*freeMask) {
			free := countFreeCells(group, cellSize)
			if free >= d.Shape.Count && (best == nil || free < bestFree) {
				best, bestFree = group, free
			}
		})
	}
	if best == nil {
		return 0
	}
	n := min(limit, bestFree/d.Shape.Count)
	allocateCells(best, cellSize, n*d.Shape.Count)
	return n
}

// visitGroups calls visit for each group of workers that lie within one worker, one rack or
// the zone, as level says.
func (z *zoneCapacity) visitGroups(level model.Level, visit func([]*freeMask)) {
	var all []*freeMask
	for r := range z.racks {
		var rack []*freeMask
		for w := range z.racks[r] {
			worker := &z.racks[r][w]
			if level == model.LevelWorker {
				visit([]*freeMask{worker})
			}
			rack = append(rack, worker)
		}
		if level == model.LevelRack {
			visit(rack)
		}
		all = append(all, rack...)
	}
	if level == model.LevelZone {
		visit(all)
	}
}

// countFreeCells returns the number of free aligned cells of size accelerators in the
// group.
func countFreeCells(group []*freeMask, size int) int {
	n := 0
	for _, w := range group {
		n += w.freeCells(size)
	}
	return n
}

// freeCells returns the number of free aligned cells of size accelerators.
func (w freeMask) freeCells(size int) int {
	n := 0
	for offset := 0; offset < model.AcceleratorsPerWorker; offset += size {
		if cell := cellMask(offset, size); w&cell == cell {
			n++
		}
	}
	return n
}

// cellMask returns the mask of a cell of size accelerators that starts at offset.
func cellMask(offset, size int) freeMask { return freeMask((1<<size - 1) << offset) }

// allocateCells allocates n cells of size accelerators in the group, in the workers with
// the fewest free accelerators first.
func allocateCells(group []*freeMask, size, n int) {
	sorted := append([]*freeMask(nil), group...)
	sort.SliceStable(sorted, func(i, j int) bool {
		return bits.OnesCount8(uint8(*sorted[i])) < bits.OnesCount8(uint8(*sorted[j]))
	})
	for _, w := range sorted {
		for offset := 0; offset < model.AcceleratorsPerWorker && n > 0; offset += size {
			if cell := cellMask(offset, size); *w&cell == cell {
				*w &^= cell
				n--
			}
		}
	}
}
