package jobs

import (
	"fmt"
	"testing"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/hostlist"
)

func workersOf(zone model.Zone, n, perRack, accelerators int) []model.Worker {
	var list []model.Worker
	for i := range n {
		list = append(list, model.Worker{
			ID: model.WorkerID(fmt.Sprint(zone, "-w", i)), Zone: zone, Rack: fmt.Sprint(zone, "-r", i/perRack),
			Capacity: model.Resources{CPUs: 128, MemoryMB: 1 << 19, Accelerators: accelerators},
		})
	}
	return list
}

// Guards against limits that shards share although their hardware differs, and against
// a zone that is taken from another shard with the same limits.
func TestShardsShareLimitsOfEqualHardware(t *testing.T) {
	list := &hostlist.List{}
	list.Workers = append(list.Workers, workersOf("a", 12, 6, 8)...)
	list.Workers = append(list.Workers, workersOf("b", 12, 6, 8)...)
	list.Workers = append(list.Workers, workersOf("c", 12, 3, 8)...) // smaller racks
	spec := model.JobSpec{Tasks: 6, Task: model.Resources{Accelerators: 8}, Within: model.LevelRack}
	var l limits
	zones := func() string {
		found := ""
		for _, s := range l.feasible(&spec, list) {
			found += string(s.id.Zone)
		}
		return found
	}
	if got := zones(); got != "ab" {
		t.Fatalf("six workers of a rack fit in %q, want ab", got)
	}
	if l.shards[0].limits != l.shards[1].limits || l.shards[0].limits == l.shards[2].limits {
		t.Fatal("the shards do not share as they should")
	}
	spec.Zone = "b"
	if got := zones(); got != "b" || l.check(&spec, list) != nil {
		t.Fatalf("with zone b it fits in %q", got)
	}
	spec.Zone = "c"
	if l.check(&spec, list) == nil {
		t.Fatal("zone c cannot hold the job in one rack")
	}
}
