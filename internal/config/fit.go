package config

import (
	"fmt"
	"math/bits"
	"sort"

	"github.com/daisyfold/daisyfold/internal/model"
)

// freeWorker has a bit set for each free accelerator of a worker.
type freeWorker uint8

// freeZone holds the free accelerators of a zone's declared hardware, by rack.
type freeZone struct {
	name  model.Zone
	racks [][]freeWorker
}

// demand is one guarantee with its place in the text.
type demand struct {
	path string
	Guarantee
}

// guaranteesFit packs all guarantees into the declared hardware. Guarantees with a
// zone go first, then those that can go anywhere; in each group larger cells go first,
// and of equal cells larger counts. The packing is greedy, so a text that fills racks to
// the last worker in an unlucky mix of counts may be refused although it fits.
func (c *checker) guaranteesFit() {
	if c.doc.Bad("availabilityZones") {
		return
	}
	zones := c.declaredZones()
	for _, d := range sortDemands(c.demands()) {
		if placed := place(&d, zones); placed < d.Shapes {
			c.doc.Add(d.path, "only %d of %d guaranteed shapes (%s) fit into the declared hardware of %s",
				placed, d.Shapes, shapeText(d.Shape), d.zoneText())
		}
	}
}

func sortDemands(demands []demand) []demand {
	sort.SliceStable(demands, func(i, j int) bool { return demands[i].before(&demands[j]) })
	return demands
}

func (c *checker) declaredZones() []*freeZone {
	zones := make([]*freeZone, len(c.text.AvailabilityZones))
	for i, z := range c.text.AvailabilityZones {
		zones[i] = newFreeZone(z)
	}
	return zones
}

func newFreeZone(z AvailabilityZone) *freeZone {
	free := &freeZone{name: z.Name, racks: make([][]freeWorker, z.Hardware.Racks)}
	whole := freeWorker(1<<z.Hardware.AcceleratorsPerWorker - 1)
	for r := range free.racks {
		free.racks[r] = make([]freeWorker, z.Hardware.WorkersPerRack)
		for w := range free.racks[r] {
			free.racks[r][w] = whole
		}
	}
	return free
}

// demands returns the guarantees without findings.
func (c *checker) demands() []demand {
	var all []demand
	for i, o := range c.text.Organisations {
		for j, g := range o.Guarantees {
			path := fmt.Sprintf("organisations[%d].guarantees[%d]", i, j)
			if !c.doc.Bad(path) {
				all = append(all, demand{path, g})
			}
		}
	}
	return all
}

func (d *demand) before(e *demand) bool {
	if (d.Zone != "") != (e.Zone != "") {
		return d.Zone != ""
	}
	if a, b := model.AcceleratorsPerCell(d.Shape.Cell), model.AcceleratorsPerCell(e.Shape.Cell); a != b {
		return a > b
	}
	return d.Shape.Count > e.Shape.Count
}

// place takes the shapes of a demand out of the zones and returns how many fit.
func place(d *demand, zones []*freeZone) int {
	placed := 0
	for placed < d.Shapes {
		n := placeSome(d, d.Shapes-placed, zones)
		if n == 0 {
			break
		}
		placed += n
	}
	return placed
}

func (d *demand) zoneText() string {
	if d.Zone == "" {
		return "all zones, after the other guarantees"
	}
	return fmt.Sprintf("zone %q, after the other guarantees", d.Zone)
}

func shapeText(s model.Shape) string {
	return fmt.Sprintf("%d x %s within one %s", s.Count, s.Cell, s.Within)
}

// placeSome places up to limit shapes into one group of workers and returns how many.
func placeSome(d *demand, limit int, zones []*freeZone) int {
	var best []*freeWorker
	size := model.AcceleratorsPerCell(d.Shape.Cell)
	bestFree := 0
	for _, z := range zones {
		if d.Zone != "" && d.Zone != z.name {
			continue
		}
		z.groups(d.Shape.Within, func(group []*freeWorker) {
			free := cellsIn(group, size)
			if free >= d.Shape.Count && (best == nil || free < bestFree) {
				best, bestFree = group, free
			}
		})
	}
	if best == nil {
		return 0
	}
	n := min(limit, bestFree/d.Shape.Count)
	take(best, size, n*d.Shape.Count)
	return n
}

// groups calls visit with each set of workers that lies within one cell of level.
func (z *freeZone) groups(level model.Level, visit func([]*freeWorker)) {
	var all []*freeWorker
	for r := range z.racks {
		var rack []*freeWorker
		for w := range z.racks[r] {
			worker := &z.racks[r][w]
			if level == model.LevelWorker {
				visit([]*freeWorker{worker})
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

func cellsIn(group []*freeWorker, size int) int {
	n := 0
	for _, w := range group {
		n += w.cells(size)
	}
	return n
}

// cells returns the free aligned cells of size accelerators.
func (w freeWorker) cells(size int) int {
	n := 0
	for at := 0; at < model.AcceleratorsPerWorker; at += size {
		if cell := cellMask(at, size); w&cell == cell {
			n++
		}
	}
	return n
}

func cellMask(at, size int) freeWorker { return freeWorker((1<<size - 1) << at) }

// take removes n cells from the group, from workers with little left first.
func take(group []*freeWorker, size, n int) {
	sorted := append([]*freeWorker(nil), group...)
	sort.SliceStable(sorted, func(i, j int) bool {
		return bits.OnesCount8(uint8(*sorted[i])) < bits.OnesCount8(uint8(*sorted[j]))
	})
	for _, w := range sorted {
		for at := 0; at < model.AcceleratorsPerWorker && n > 0; at += size {
			if cell := cellMask(at, size); *w&cell == cell {
				*w &^= cell
				n--
			}
		}
	}
}
