// Package partition splits the workers of each availability zone into shards. The
// split depends only on the list of workers, so every host computes the same one.
package partition

import (
	"sort"

	"github.com/daisyfold/daisyfold/internal/model"
)

// Shard is a shard with its workers, sorted by rack and id.
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
func SplitZone(z model.Zone, workers []model.Worker) []Shard {
	var own []model.Worker
	for _, w := range workers {
		if w.Zone == z {
			own = append(own, w)
		}
	}
	return splitZone(z, own)
}

func splitZone(z model.Zone, workers []model.Worker) []Shard {
	sort.Slice(workers, func(i, j int) bool { return less(&workers[i], &workers[j]) })
	var out []Shard
	for _, rack := range racks(workers) {
		n := len(out)
		if n == 0 || len(out[n-1].Workers)+len(rack) > model.MaxWorkersPerShard {
			out = append(out, Shard{ID: model.ShardID{Zone: z, Index: n}})
			n++
		}
		out[n-1].Workers = append(out[n-1].Workers, rack...)
	}
	return out
}

func less(a, b *model.Worker) bool {
	ga, gb := a.Capacity.Accelerators > 0, b.Capacity.Accelerators > 0
	if ga != gb {
		return ga
	}
	if a.Rack != b.Rack {
		return a.Rack < b.Rack
	}
	return a.ID < b.ID
}

// racks cuts sorted workers where the rack or the presence of accelerators changes.
func racks(workers []model.Worker) [][]model.Worker {
	var out [][]model.Worker
	start := 0
	for i := 1; i <= len(workers); i++ {
		if i < len(workers) && sameGroup(&workers[i-1], &workers[i]) {
			continue
		}
		out = append(out, workers[start:i])
		start = i
	}
	return out
}

func sameGroup(a, b *model.Worker) bool {
	return a.Rack == b.Rack && (a.Capacity.Accelerators > 0) == (b.Capacity.Accelerators > 0)
}
