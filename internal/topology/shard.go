package topology

import (
	"cmp"
	"slices"

	"github.com/daisyfold/daisyfold/internal/model"
)

// sortByRack orders workers with accelerators first, then by rack and name.
func sortByRack(workers []model.Worker) []model.Worker {
	out := slices.Clone(workers)
	slices.SortFunc(out, func(a, b model.Worker) int {
		return cmp.Or(
			cmp.Compare(plain(a), plain(b)),
			cmp.Compare(a.Rack, b.Rack),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return out
}

func plain(w model.Worker) int {
	if w.Capacity.Accelerators > 0 {
		return 0
	}
	return 1
}
