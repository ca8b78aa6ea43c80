// Package partition splits the workers of each availability zone into shards. The split
// depends only on the list of workers, so that every host computes the same shards.
package partition

import (
	"sort"

	"github.com/daisyfold/daisyfold/internal/model"
)

// Shard is a shard with its workers, sorted by rack and ID.
type Shard struct {
	ID      model.ShardID
	Workers []model.Worker
}

// Split returns the shards of all zones, sorted by zone and index. Workers with
// accelerators come first and racks stay together, so that adjacent accelerators
// share a shard as far as model.MaxWorkersPerShard allows.
func Split(workers []model.Worker) []Shard {
	byZone := map[model.Zone][]model.Worker{}
	for _, w := range workers {
		byZone[w.Zone] = append(byZone[w.Zone], w)
	}
	zones := make([]model.Zone, 0, len(byZone))
	for z := range byZone {
		zones = append(zones, z)
	}
	sort.Slice(zones, func(i, j int) bool { return zones[i] < zones[j] })
	var out []Shard
	for _, z := range zones {
		out = append(out, splitZone(z, byZone[z])...)
	}
	return out
}

// SplitZone returns the shards of one zone, sorted by index.
func SplitZone(zone model.Zone, workers []model.Worker) []Shard {
	var zoneWorkers []model.Worker
	for _, w := range workers {
		if w.Zone == zone {
			zoneWorkers = append(zoneWorkers, w)
		}
	}
	return splitZone(zone, zoneWorkers)
}

// splitZone sorts the workers of one zone in place and returns its shards.
func splitZone(zone model.Zone, workers []model.Worker) []Shard {
	sort.Slice(workers, func(i, j int) bool { return workerLess(&workers[i], &workers[j]) })
	var out []Shard
	for _, rack := range groupByRack(workers) {
		n := len(out)
		if n == 0 || len(out[n-1].Workers)+len(rack) > model.MaxWorkersPerShard {
			out = append(out, Shard{ID: model.ShardID{Zone: zone, Index: n}})
			n++
		}
		out[n-1].Workers = append(out[n-1].Workers, rack...)
	}
	return out
}

// workerLess orders workers with accelerators before those without, then by rack and ID.
func workerLess(a, b *model.Worker) bool {
	aAccelerated, bAccelerated := a.Capacity.Accelerators > 0, b.Capacity.Accelerators > 0
	if aAccelerated != bAccelerated {
		return aAccelerated
	}
	if a.Rack != b.Rack {
		return a.Rack < b.Rack
	}
	return a.ID < b.ID
}

// groupByRack splits sorted workers where the rack or the presence of accelerators
// changes.
func groupByRack(workers []model.Worker) [][]model.Worker {
	var out [][]model.Worker
	start := 0
	for i := 1; i <= len(workers); i++ {
		if i < len(workers) && sameRackGroup(&workers[i-1], &workers[i]) {
			continue
		}
		out = append(out, workers[start:i])
		start = i
	}
	return out
}

// sameRackGroup reports whether groupByRack keeps two workers together.
func sameRackGroup(a, b *model.Worker) bool {
	return a.Rack == b.Rack && (a.Capacity.Accelerators > 0) == (b.Capacity.Accelerators > 0)
}
