package jobs

import (
	"fmt"
	"testing"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/hostlist"
)

// newWorkers returns n workers of a zone, with perRack workers in each rack.
func newWorkers(zone model.Zone, n, perRack, accelerators int) []model.Worker {
	var list []model.Worker
	for i := range n {
		list = append(list, model.Worker{
			ID: model.WorkerID(fmt.Sprint(zone, "-w", i)), Zone: zone, Rack: fmt.Sprint(zone, "-r", i/perRack),
			Capacity: model.Resources{CPUs: 128, MemoryMB: 1 << 19, Accelerators: accelerators},
		})
	}
	return list
}

// TestShardsShareLimitsOfEqualHardware checks that only shards with equal hardware share
// their limits, and that the zone that a job asks for is compared with the shard's own
// zone.
func TestShardsShareLimitsOfEqualHardware(t *testing.T) {
	list := &hostlist.List{}
	list.Workers = append(list.Workers, newWorkers("a", 12, 6, 8)...)
	list.Workers = append(list.Workers, newWorkers("b", 12, 6, 8)...)
	list.Workers = append(list.Workers, newWorkers("c", 12, 3, 8)...) // smaller racks
	spec := model.JobSpec{Tasks: 6, Task: model.Resources{Accelerators: 8}, Within: model.LevelRack}
	var f feasibility
	feasibleZones := func() string {
		zones := ""
		for _, s := range f.feasibleShards(&spec, list) {
			zones += string(s.id.Zone)
		}
		return zones
	}
	if got := feasibleZones(); got != "ab" {
		t.Fatalf("a job on six workers of one rack fits in zones %q, want ab", got)
	}
	if f.shards[0].limits != f.shards[1].limits || f.shards[0].limits == f.shards[2].limits {
		t.Fatal("limits must be shared by shards with equal hardware only")
	}
	spec.Zone = "b"
	if got := feasibleZones(); got != "b" || f.check(&spec, list) != nil {
		t.Fatalf("a job restricted to zone b fits in %q, want b and no error", got)
	}
	spec.Zone = "c"
	if f.check(&spec, list) == nil {
		t.Fatal("zone c cannot hold the job in one rack")
	}
}
