package guarantee

import (
	"fmt"

	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/finding"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/topology"
)

// Assign maps the organisations' guarantees to zones in service. Shapes that name a
// zone in service stay there; those without a zone, and those of zones that are out,
// go to the zone with the most declared accelerators left that holds them. A shape
// that fits nowhere becomes a finding. The result depends on the arguments only.
func Assign(zones []config.AvailabilityZone, orgs []config.Organisation) (map[model.Zone][]model.Guarantee, finding.List) {
	a := newAssignment(zones)
	for _, org := range orgs {
		for _, g := range org.Guarantees {
			if a.workers[g.Zone] != nil {
				a.place(org.Name, g, a.only(g.Zone))
			}
		}
	}
	for _, org := range orgs {
		for _, g := range org.Guarantees {
			if a.workers[g.Zone] == nil {
				a.place(org.Name, g, a.byRoom)
			}
		}
	}
	return a.out, describe(a.unfit, "the availability zones in service")
}

// assignment is the state of one call of Assign.
type assignment struct {
	names   []model.Zone // zones in service, in order of the text
	workers map[model.Zone]*topology.Table
	free    map[model.Zone]int // declared accelerators that no shape uses
	out     map[model.Zone][]model.Guarantee
	unfit   map[shapeKey]int
}

func newAssignment(zones []config.AvailabilityZone) *assignment {
	a := &assignment{
		workers: make(map[model.Zone]*topology.Table), free: make(map[model.Zone]int),
		out: make(map[model.Zone][]model.Guarantee), unfit: make(map[shapeKey]int),
	}
	for _, z := range zones {
		if !z.InService {
			continue
		}
		a.names = append(a.names, z.Name)
		a.workers[z.Name] = topology.New(declared(z.Hardware), nil)
		a.free[z.Name] = z.Hardware.Racks * z.Hardware.WorkersPerRack * z.Hardware.AcceleratorsPerWorker
	}
	return a
}

// declared returns workers with the declared hardware.
func declared(h config.Hardware) []model.Worker {
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

// only offers one zone.
func (a *assignment) only(zone model.Zone) func() []model.Zone {
	return func() []model.Zone { return []model.Zone{zone} }
}

// byRoom offers the zones in service, those with most room first.
func (a *assignment) byRoom() []model.Zone {
	out := append([]model.Zone(nil), a.names...)
	for i := range out {
		for j := i; j > 0 && a.free[out[j]] > a.free[out[j-1]]; j-- {
			out[j], out[j-1] = out[j-1], out[j]
		}
	}
	return out
}

// place assigns each shape of a guarantee to the first offered zone that holds it.
func (a *assignment) place(org model.Organisation, g config.Guarantee, offer func() []model.Zone) {
	for range g.Shapes {
		if !a.placeOne(org, g.Shape, offer()) {
			a.unfit[shapeKey{org, g.Shape}]++
		}
	}
}

func (a *assignment) placeOne(org model.Organisation, s model.Shape, zones []model.Zone) bool {
	for _, zone := range zones {
		one := model.Guarantee{Organisation: org, Zone: zone, Shape: s, ShapeCount: 1}
		more := merge(a.out[zone], one)
		if NewBook(a.workers[zone], more, Options{}).Lost() > 0 {
			continue
		}
		a.out[zone] = more
		a.free[zone] -= s.Accelerators()
		return true
	}
	return false
}

// merge adds a guarantee to a copy of the list, to an entry of the same organisation
// and shape if there is one.
func merge(list []model.Guarantee, g model.Guarantee) []model.Guarantee {
	out := append([]model.Guarantee(nil), list...)
	for i := range out {
		if out[i].Organisation == g.Organisation && out[i].Shape == g.Shape {
			out[i].ShapeCount += g.ShapeCount
			return out
		}
	}
	return append(out, g)
}
