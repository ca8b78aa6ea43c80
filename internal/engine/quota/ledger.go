// Package quota accounts for what each organisation has running and decides how much more may
// start: within the organisation's cap and, when there is too little room for all, by its
// weight. It performs no I/O and knows neither workers nor jobs' states.
package quota

import (
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/manifest"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// Ledger is the use of all workers by organisation. Each operation takes constant time.
type Ledger struct {
	accounts map[string]*account
	// weighted and capped report whether the manifest sets a weight or a cap for any organisation.
	weighted, capped bool
	total            work.Resources // capacity of all workers, which shares refer to
	beyond           map[string]bool
}

// account is the use of one organisation.
type account struct {
	organisation manifest.Organisation
	// used is what its runs occupy, and stopping the part of runs that have been ordered to stop.
	used, stopping work.Resources
	// unseen is what may run without a record.
	unseen work.Resources
	// promised is what resources are being freed for in this planning pass.
	promised work.Resources
	// reserved is kept for a gang that is expected to fit after reservedIn.
	reserved   work.Resources
	reservedIn time.Duration
	bucket     bucket
}

// NewLedger returns an empty ledger without limits.
func NewLedger() *Ledger {
	return &Ledger{accounts: map[string]*account{}, beyond: map[string]bool{}}
}

func (l *Ledger) account(organisation string) *account {
	a := l.accounts[organisation]
	if a == nil {
		a = &account{organisation: manifest.Organisation{Name: organisation}}
		l.accounts[organisation] = a
	}
	return a
}

// SetManifest replaces the limits. An organisation that the manifest no longer names keeps its
// last ones: its accepted jobs go on, and a missing entry does not lift a cap.
func (l *Ledger) SetManifest(m *manifest.Manifest) {
	l.weighted, l.capped = m.Weighted(), false
	for _, o := range m.Organisations {
		l.capped = l.capped || o.Cap != (work.Resources{})
		l.account(o.Name).organisation = o
	}
}

// SetTotal sets the capacity of all workers.
func (l *Ledger) SetTotal(total work.Resources) { l.total = total }

// Charge adds a run to what the organisation uses.
func (l *Ledger) Charge(organisation string, r work.Resources) {
	a := l.account(organisation)
	a.used = a.used.Plus(r)
}

// Release removes a run that is known to have ended.
func (l *Ledger) Release(organisation string, r work.Resources) {
	a := l.account(organisation)
	a.used = a.used.Minus(r)
}

// ChargeStopping notes that a charged run has been ordered to stop.
func (l *Ledger) ChargeStopping(organisation string, r work.Resources) {
	a := l.account(organisation)
	a.stopping = a.stopping.Plus(r)
}

// ReleaseStopping undoes ChargeStopping. It is called before Release.
func (l *Ledger) ReleaseStopping(organisation string, r work.Resources) {
	a := l.account(organisation)
	a.stopping = a.stopping.Minus(r)
}

// SetUnseen sets what the organisation may have running beyond the charged runs.
func (l *Ledger) SetUnseen(organisation string, r work.Resources) {
	l.account(organisation).unseen = r
}

// BeginPass forgets the promises and reservations of the last planning pass.
func (l *Ledger) BeginPass() {
	for _, a := range l.accounts {
		a.promised, a.reserved, a.reservedIn = work.Resources{}, work.Resources{}, 0
	}
}

// Promise keeps room for tasks for which runs are being stopped: those runs are still charged,
// and no other task of the organisation may take their room.
func (l *Ledger) Promise(organisation string, r work.Resources) {
	a := l.account(organisation)
	a.promised = a.promised.Plus(r)
}

// Unpromise undoes Promise.
func (l *Ledger) Unpromise(organisation string, r work.Resources) {
	a := l.account(organisation)
	a.promised = a.promised.Minus(r)
}

// Reserve keeps room for a gang that waits for the cap and is expected to fit after the given
// time, so that smaller tasks of its organisation cannot starve it. It reports false if another
// gang of the organisation has a reservation.
func (l *Ledger) Reserve(organisation string, r work.Resources, in time.Duration) bool {
	a := l.account(organisation)
	if a.reserved != (work.Resources{}) {
		return false
	}
	a.reserved, a.reservedIn = r, in
	return true
}

// HasCaps reports whether the manifest sets a cap for any organisation.
func (l *Ledger) HasCaps() bool { return l.capped }

// HasReservation reports whether a gang of the organisation has a reservation.
func (l *Ledger) HasReservation(organisation string) bool {
	a := l.accounts[organisation]
	return a != nil && a.reserved != (work.Resources{})
}

// IsCapped reports whether the organisation has a cap.
func (l *Ledger) IsCapped(organisation string) bool {
	a := l.accounts[organisation]
	return a != nil && a.organisation.Cap != (work.Resources{})
}

// Room returns how many of the tasks may start now.
func (l *Ledger) Room(organisation string, demand work.Resources, tasks int) int {
	if !l.IsCapped(organisation) {
		return tasks
	}
	a := l.account(organisation)
	return roomFor(a.organisation.Cap.Minus(a.occupied()), a.organisation.Cap, demand, tasks)
}

// RoomBesideReservation returns how many tasks that last for the given time may start now: those
// that end before a reservation begins are not affected by it.
func (l *Ledger) RoomBesideReservation(organisation string, demand work.Resources, tasks int, lasting time.Duration) int {
	if !l.IsCapped(organisation) {
		return tasks
	}
	a := l.account(organisation)
	occupied := a.occupied()
	if lasting > a.reservedIn {
		occupied = occupied.Plus(a.reserved)
	}
	return roomFor(a.organisation.Cap.Minus(occupied), a.organisation.Cap, demand, tasks)
}

// occupied returns what is not available to tasks without a promise.
func (a *account) occupied() work.Resources {
	return a.used.Plus(a.unseen).Plus(positive(a.promised.Minus(a.stopping)))
}

// Shortfall returns what the organisation's runs must free, beside those that are stopping, so
// that the tasks may start.
func (l *Ledger) Shortfall(organisation string, demand work.Resources, tasks int) work.Resources {
	if !l.IsCapped(organisation) {
		return work.Resources{}
	}
	a := l.account(organisation)
	wanted := a.used.Minus(a.stopping).Plus(a.unseen).Plus(a.promised).Plus(demand.Times(tasks))
	return over(wanted, a.organisation.Cap)
}

// UsesUnderHalf reports whether the organisation uses less than half of its cap of each resource.
func (l *Ledger) UsesUnderHalf(organisation string) bool {
	a := l.account(organisation)
	atLeastHalf := a.used.Times(2).Plus(work.Resources{CPU: 1, MemoryMB: 1, Accelerators: 1})
	return over(atLeastHalf, a.organisation.Cap) == (work.Resources{})
}

// Exceeded reports whether the organisation uses more than its cap.
func (l *Ledger) Exceeded(organisation string) bool {
	if !l.IsCapped(organisation) {
		return false
	}
	a := l.account(organisation)
	return over(a.used.Plus(a.unseen), a.organisation.Cap) != (work.Resources{})
}

// CanEverHold reports whether the cap has room for the tasks while nothing else of the
// organisation runs.
func (l *Ledger) CanEverHold(organisation string, demand work.Resources, tasks int) bool {
	if !l.IsCapped(organisation) {
		return true
	}
	return holds(l.account(organisation).organisation.Cap, demand, tasks)
}

// holds reports whether a cap has room for the tasks.
func holds(limit, demand work.Resources, tasks int) bool {
	return roomFor(limit, limit, demand, tasks) >= tasks
}

// roomFor returns how many of the tasks fit into what is left of a cap. None does while more than the
// cap of a resource is used, not even a task that needs none of it.
func roomFor(left, limit, demand work.Resources, tasks int) int {
	room := tasks
	for _, r := range [...]struct{ left, limit, demand int }{
		{left.CPU, limit.CPU, demand.CPU}, {left.MemoryMB, limit.MemoryMB, demand.MemoryMB},
		{left.Accelerators, limit.Accelerators, demand.Accelerators},
	} {
		switch {
		case r.limit == 0:
		case r.left < 0:
			return 0
		case r.demand > 0:
			room = min(room, r.left/r.demand)
		}
	}
	return room
}

// over returns how much of each resource is used beyond a limit.
func over(used, limit work.Resources) work.Resources {
	beyond := func(used, limit int) int {
		if limit == 0 {
			return 0
		}
		return max(used-limit, 0)
	}
	return work.Resources{
		CPU: beyond(used.CPU, limit.CPU), MemoryMB: beyond(used.MemoryMB, limit.MemoryMB),
		Accelerators: beyond(used.Accelerators, limit.Accelerators),
	}
}

// positive returns the amounts above 0.
func positive(r work.Resources) work.Resources {
	return work.Resources{CPU: max(r.CPU, 0), MemoryMB: max(r.MemoryMB, 0), Accelerators: max(r.Accelerators, 0)}
}

// Usage is what an organisation may have and has, for operators.
type Usage struct {
	Organisation manifest.Organisation
	Used         work.Resources
	Share        float64 // as of Share
}

// Usage returns the usage of an organisation.
func (l *Ledger) Usage(organisation string) Usage {
	a := l.account(organisation)
	return Usage{Organisation: a.organisation, Used: a.used, Share: l.Share(organisation)}
}

// Usages returns the usage of all known organisations.
func (l *Ledger) Usages() []Usage {
	out := make([]Usage, 0, len(l.accounts))
	for name := range l.accounts {
		out = append(out, l.Usage(name))
	}
	return out
}
