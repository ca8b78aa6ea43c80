package bench

import (
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/topology"
)

func tableOf(z *zoneState) *topology.Table {
	running := make([]model.Placement, 0, len(z.running))
	for _, j := range z.running {
		running = append(running, *j.running)
	}
	return topology.New(z.workers, running)
}
