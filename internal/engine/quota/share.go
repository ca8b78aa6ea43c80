package quota

import (
	"github.com/daisyfold/daisyfold/internal/engine/manifest"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// Share returns the largest fraction of any resource of all workers that the organisation uses,
// divided by its weight; 0 if the manifest sets no weights.
func (l *Ledger) Share(organisation string) float64 {
	if !l.weighted {
		return 0
	}
	a := l.accounts[organisation]
	if a == nil {
		return 0
	}
	return l.dominantShare(a.used) / a.weight()
}

func (a *account) weight() float64 {
	if a.organisation.Weight > 0 {
		return a.organisation.Weight
	}
	return manifest.DefaultWeight
}

// dominantShare returns the largest fraction of any resource of all workers.
func (l *Ledger) dominantShare(r work.Resources) float64 {
	share := 0.0
	for _, v := range [...][2]int{{r.CPU, l.total.CPU}, {r.MemoryMB, l.total.MemoryMB}, {r.Accelerators, l.total.Accelerators}} {
		if v[1] > 0 {
			share = max(share, float64(v[0])/float64(v[1]))
		}
	}
	return share
}

// Progression computes the share that an organisation will have when each of its waiting tasks
// has its turn. Ordered by these shares, waiting work is served as if each free place was given to
// the organisation that has the smallest share at that moment. Its state is one number an
// organisation.
type Progression struct {
	ledger *Ledger
	ahead  map[string]work.Resources // what is waiting before, by organisation
}

// Progression returns a computation that begins with the current use.
func (l *Ledger) Progression() *Progression {
	return &Progression{ledger: l, ahead: map[string]work.Resources{}}
}

// Next returns the share of the organisation before its next waiting work, which needs r, is
// placed; 0 if the manifest sets no weights. Work must be passed in the order in which that of the
// same organisation is placed.
func (p *Progression) Next(organisation string, r work.Resources) float64 {
	if !p.ledger.weighted {
		return 0
	}
	a := p.ledger.account(organisation)
	ahead := p.ahead[organisation]
	p.ahead[organisation] = ahead.Plus(r)
	return p.ledger.dominantShare(a.used.Plus(ahead)) / a.weight()
}

// TasksWithin returns how many of the tasks have at most the given share of all workers together, at
// least one; all of them if the manifest sets no weights.
func (l *Ledger) TasksWithin(share float64, demand work.Resources, tasks int) int {
	one := l.dominantShare(demand)
	if !l.weighted || one*float64(tasks) <= share {
		return tasks
	}
	return max(int(share/one), 1)
}
