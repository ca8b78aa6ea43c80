package guarantee

import (
	"fmt"

	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/finding"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// Assign assigns the organisations' guarantees to zones in service. Shapes that name a
// zone in service stay there. Shapes without a zone or of a zone that is out of service
// go to the zone with the most unassigned declared accelerators that can hold them. A
// shape that fits in no zone is reported as a finding. The result depends only on the
// arguments.
func Assign(zones []config.AvailabilityZone, orgs []config.Organisation) (map[model.Zone][]model.Guarantee, finding.List) {
	a := newAssignment(zones)
	for _, org := range orgs {
		for _, g := range org.Guarantees {
			if a.tables[g.Zone] != nil {
				a.assignGuarantee(org.Name, g, a.onlyZone(g.Zone))
			}
		}
	}
	for _, org := range orgs {
		for _, g := range org.Guarantees {
			if a.tables[g.Zone] == nil {
				a.assignGuarantee(org.Name, g, a.zonesByFreeAccelerators)
			}
		}
	}
	return a.assigned, unplacedFindings(a.unplaced, "the availability zones in service")
}

// assignment is the state of one call of Assign.
type assignment struct {
	zoneNames        []model.Zone // zones in service, in configuration order
	tables           map[model.Zone]*topology.AllocationTable
	freeAccelerators map[model.Zone]int // declared accelerators not assigned to a shape
	assigned         map[model.Zone][]model.Guarantee
	unplaced         map[shapeKey]int // number of shapes that fit in no zone
}

func newAssignment(zones []config.AvailabilityZone) *assignment {
	a := &assignment{
		tables: make(map[model.Zone]*topology.AllocationTable), freeAccelerators: make(map[model.Zone]int),
		assigned: make(map[model.Zone][]model.Guarantee), unplaced: make(map[shapeKey]int),
	}
	for _, z := range zones {
		if !z.InService {
			continue
		}
		a.zoneNames = append(a.zoneNames, z.Name)
		a.tables[z.Name] = topology.New(declaredWorkers(z.Hardware), nil)
		a.freeAccelerators[z.Name] = z.Hardware.Racks * z.Hardware.WorkersPerRack * z.Hardware.AcceleratorsPerWorker
	}
	return a
}

// declaredWorkers returns workers with the declared hardware.
func declaredWorkers(h config.Hardware) []model.Worker {
	var out []model.Worker
	for rack := range h.Racks {
		for i := range h.WorkersPerRack {
			out = append(out, model.Worker{
				ID: model.WorkerID(fmt.Sprintf("%d-%d", rack, i)), Rack: fmt.Sprint(rack),
				Capacity: model.Resources{Accelerators: h.AcceleratorsPerWorker},
			})
		}
	}
	return out
}

// onlyZone returns a function that returns only the given zone.
func (a *assignment) onlyZone(zone model.Zone) func() []model.Zone {
	return func() []model.Zone { return []model.Zone{zone} }
}

// zonesByFreeAccelerators returns the zones in service, those with the most free
// accelerators first.
func (a *assignment) zonesByFreeAccelerators() []model.Zone {
	out := append([]model.Zone(nil), a.zoneNames...)
	for i := range out {
		for j := i; j > 0 && a.freeAccelerators[out[j]] > a.freeAccelerators[out[j-1]]; j-- {
			out[j], out[j-1] = out[j-1], out[j]
		}
	}
	return out
}

// assignGuarantee assigns each shape of a guarantee to the first candidate zone that can
// hold it.
func (a *assignment) assignGuarantee(org model.Organisation, g config.Guarantee, candidateZones func() []model.Zone) {
	for range g.Shapes {
		if !a.assignShape(org, g.Shape, candidateZones()) {
			a.unplaced[shapeKey{org, g.Shape}]++
		}
	}
}

// assignShape assigns one shape and reports whether a zone can hold it.
func (a *assignment) assignShape(org model.Organisation, s model.Shape, zones []model.Zone) bool {
	for _, zone := range zones {
		one := model.Guarantee{Organisation: org, Zone: zone, Shape: s, ShapeCount: 1}
		extended := mergeGuarantee(a.assigned[zone], one)
		if NewState(a.tables[zone], extended, Options{}).Shortfall() > 0 {
			continue
		}
		a.assigned[zone] = extended
		a.freeAccelerators[zone] -= s.Accelerators()
		return true
	}
	return false
}

// mergeGuarantee returns a copy of the list with the guarantee added. It adds to the
// entry of the same organisation and shape if there is one.
func mergeGuarantee(list []model.Guarantee, g model.Guarantee) []model.Guarantee {
	out := append([]model.Guarantee(nil), list...)
	for i := range out {
		if out[i].Organisation == g.Organisation && out[i].Shape == g.Shape {
			out[i].ShapeCount += g.ShapeCount
			return out
		}
	}
	return append(out, g)
}
