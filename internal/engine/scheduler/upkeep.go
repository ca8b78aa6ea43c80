package scheduler

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

const (
	// machinePollInterval is the time between two reads of the list of machines during a
	// wave.
	machinePollInterval = 500 * time.Millisecond
	// machineCallTimeout limits the duration of a call to the machine API.
	machineCallTimeout = 2 * time.Second
	// upkeepRetryInterval is the time after which an unanswered order is sent again.
	upkeepRetryInterval = 2 * time.Second
	// maxDrainTime limits the time that drainFraction allows.
	maxDrainTime = 10 * time.Second
)

// drainFraction is the fraction of a machine's turn, without the upkeep itself, in which
// its runs may end by themselves. The machines of a wave take turns within the wave's time
// limit, MaxDown at a time.
const drainFraction = 0.5

// upkeepPhase is the progress of the upkeep of a machine.
type upkeepPhase int

const (
	upkeepWaiting upkeepPhase = iota
	// upkeepDraining machines get no new runs; their runs end or are stopped.
	upkeepDraining
	// upkeepOrdered machines have been ordered to go down.
	upkeepOrdered
	// upkeepBegun machines are known to have gone down.
	upkeepBegun
	// upkeepDone machines are up again, or no longer exist.
	upkeepDone
)

// machineUpkeep is the state of a machine in a wave.
type machineUpkeep struct {
	phase        upkeepPhase
	phaseSince   time.Duration // start of the phase
	callInFlight bool          // an order was sent and its answer is pending
	workerKey    string        // worker of the machine when the order was sent
}

// activeWave is an upkeep wave that this term carries out. The platform remembers which
// machines have had their upkeep, so a new owner repeats all orders, and completed ones
// are answered as such.
type activeWave struct {
	replica.Wave
	machines map[string]*machineUpkeep
	status   string // last written status
}

// Statuses of a wave.
const (
	waveRunning   = "running"
	waveCompleted = "completed"
)

// waveState is the part of a term that carries out upkeep waves.
type waveState struct {
	active          map[string]*activeWave
	writer          topicWriter
	pendingStatuses []store.Record // statuses to append
	listInFlight    bool
	nextListAt      time.Duration
}

// updateWaves adds the waves that the operator has requested and removes those that were
// withdrawn.
func (t *term) updateWaves() {
	requested := t.Operator.Waves()
	for key := range t.waves.active {
		if _, ok := requested[key]; !ok {
			t.log.Info("a wave of upkeep was withdrawn", zap.String("wave", key))
			delete(t.waves.active, key)
			for _, w := range t.workers {
				w.inUpkeep = false // workers of other waves are marked again
			}
		}
	}
	for key, wave := range requested {
		if t.waves.active[key] != nil {
			continue
		}
		added := &activeWave{Wave: wave, machines: map[string]*machineUpkeep{}}
		for _, name := range wave.Machines {
			added.machines[name] = &machineUpkeep{}
		}
		t.waves.active[key] = added
		t.log.Info("a wave of upkeep was requested", zap.String("wave", key), zap.Int("machines", len(wave.Machines)),
			zap.Int("cap", wave.MaxDown), zap.Duration("within", wave.TimeLimit))
		t.setWaveStatus(added, waveRunning)
	}
}

// checkWaves lists the machines while a wave is incomplete. A term sends no orders before
// the lease of a former holder has ended, so that the orders of two owners do not
// alternate.
func (t *term) checkWaves(now time.Duration) {
	t.flushWaveStatuses()
	if t.Machines == nil || t.waves.listInFlight || now < t.waves.nextListAt || now < t.began+t.bounds.HolderLease || !t.mayOrder() {
		return
	}
	if !slices.ContainsFunc(slices.Collect(maps.Values(t.waves.active)), func(r *activeWave) bool { return r.status != waveCompleted }) {
		return
	}
	t.waves.listInFlight = true
	t.spawn(func() {
		ctx, cancel := context.WithTimeout(t.ctx, machineCallTimeout)
		defer cancel()
		list, err := t.Machines.List(ctx)
		t.post(func(t *term) { t.handleMachineList(list, err) })
	})
}

func (t *term) handleMachineList(list []workers.Machine, err error) {
	now := t.Now()
	t.waves.listInFlight, t.waves.nextListAt = false, now+machinePollInterval
	if err != nil {
		t.log.Warn("cannot list the machines", zap.Error(err))
		return
	}
	byName := make(map[string]workers.Machine, len(list))
	for _, m := range list {
		byName[m.Name] = m
	}
	for _, key := range slices.Sorted(maps.Keys(t.waves.active)) {
		if wave := t.waves.active[key]; wave.status != waveCompleted {
			t.advanceWave(wave, byName, now)
		}
	}
}

// advanceWave advances every machine of a wave, and starts with more machines while fewer
// than MaxDown are unavailable.
func (t *term) advanceWave(wave *activeWave, list map[string]workers.Machine, now time.Duration) {
	unavailable, done := 0, 0
	for name, u := range wave.machines {
		m, exists := list[name]
		if w := t.workers[u.workerKey]; w != nil && !m.Up && u.phase == upkeepBegun {
			t.markDead(w) // not done on the answer alone: it is the same if the upkeep was over before
		}
		switch {
		case !exists, u.phase == upkeepBegun && m.Up && now-u.phaseSince > t.bounds.UpkeepDuration:
			u.phase = upkeepDone
			t.clearUpkeep(u.workerKey)
		case u.phase == upkeepOrdered && !u.callInFlight && now-u.phaseSince > upkeepRetryInterval:
			t.orderUpkeep(wave, name, m, now)
		case u.phase == upkeepDraining:
			t.drainMachine(wave, name, m, now)
		}
		switch {
		case u.phase == upkeepDone:
			done++
		case u.phase != upkeepWaiting || !m.Up:
			unavailable++
		}
	}
	if done == len(wave.machines) {
		t.setWaveStatus(wave, waveCompleted)
		return
	}
	for _, name := range t.waitingMachines(wave, list) {
		if unavailable >= wave.MaxDown {
			return
		}
		unavailable++
		*wave.machines[name] = machineUpkeep{phase: upkeepDraining, phaseSince: now}
		t.drainMachine(wave, name, list[name], now)
	}
}

// waitingMachines returns the names of the machines that wait for their upkeep and are
// up, those with the least CPU in use first.
func (t *term) waitingMachines(wave *activeWave, list map[string]workers.Machine) []string {
	var names []string
	used := map[string]int{}
	for name, u := range wave.machines {
		if u.phase != upkeepWaiting || !list[name].Up {
			continue
		}
		names = append(names, name)
		if w := t.workerOf(list[name]); w != nil {
			used[name] = w.used.CPU
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(used[a], used[b]), cmp.Compare(a, b)) })
	return names
}

// workerOf returns the latest known worker on the machine, or nil. A worker that the list does not
// contain is known by the runs that a former owner has recorded for it.
func (t *term) workerOf(m workers.Machine) *worker {
	if w := t.workers[t.latestKeys[m.WorkerID]]; w != nil {
		return w
	}
	var latest *worker
	for _, key := range t.incarnations[m.WorkerID] {
		if w := t.workers[key]; latest == nil || work.WorkerStartMS(key) > work.WorkerStartMS(latest.key) {
			latest = w
		}
	}
	return latest
}

// drainMachine keeps new runs from a machine, and stops its runs once they have had their
// time to end by themselves. When no runs are left, it orders the upkeep.
func (t *term) drainMachine(wave *activeWave, name string, m workers.Machine, now time.Duration) {
	w, u := t.workerOf(m), wave.machines[name]
	if w == nil || w.dead || len(w.runs) == 0 {
		t.orderUpkeep(wave, name, m, now)
		return
	}
	w.inUpkeep = true
	turn := wave.TimeLimit * time.Duration(max(wave.MaxDown, 1)) / time.Duration(len(wave.machines))
	if now-u.phaseSince < min(time.Duration(drainFraction*float64(turn-t.bounds.UpkeepDuration)), maxDrainTime) {
		return
	}
	allowance := map[jobStep]int{}
	for _, run := range w.sortedRuns() {
		if run.stopping || run.job == nil || (run.step().MaxUnavailable > 0 && !t.mayMakeUnavailable(run, allowance)) {
			continue
		}
		t.log.Info("a run is stopped for its machine's upkeep", zap.Stringer("run", run.name), zap.String("worker", w.key))
		t.requestStop(run)
		if run.step().Gang {
			t.stopGang(run)
		}
	}
}

// orderUpkeep orders a machine to go down, unless an order is pending.
func (t *term) orderUpkeep(wave *activeWave, name string, m workers.Machine, now time.Duration) {
	u := wave.machines[name]
	if u.callInFlight || !t.mayOrder() {
		return
	}
	*u = machineUpkeep{phase: upkeepOrdered, phaseSince: now, callInFlight: true}
	if w := t.workerOf(m); w != nil {
		w.inUpkeep, u.workerKey = true, w.key
	}
	order := workers.UpkeepOrder{Machine: name, Wave: wave.Number, Holder: t.Elector.Member(), Fence: t.epoch}
	t.spawn(func() {
		ctx, cancel := context.WithTimeout(t.ctx, machineCallTimeout)
		defer cancel()
		outcome, err := t.Machines.Upkeep(ctx, order)
		t.post(func(t *term) { t.handleUpkeepAnswer(wave, name, m, outcome, err) })
	})
}

func (t *term) handleUpkeepAnswer(wave *activeWave, name string, m workers.Machine, outcome workers.UpkeepOutcome, err error) {
	u := wave.machines[name]
	u.callInFlight = false
	if err != nil {
		t.log.Warn("an upkeep order got no answer; repeating it", zap.String("machine", name), zap.Error(err))
		return
	}
	t.log.Info("upkeep order answered", zap.String("machine", name), zap.Int64("wave", wave.Number), zap.Stringer("outcome", outcome))
	now := t.Now()
	switch outcome {
	case workers.UpkeepFenced:
		t.endFenced(name)
	case workers.UpkeepBegun:
		u.phase, u.phaseSince = upkeepBegun, now
	case workers.UpkeepNotInWave, workers.UpkeepNoMachine:
		*u = machineUpkeep{phase: upkeepDone, phaseSince: now}
	case workers.UpkeepBusy, workers.UpkeepThrottled:
		*u = machineUpkeep{phase: upkeepWaiting, phaseSince: now}
		if w := t.workerOf(m); w != nil {
			w.inUpkeep = false
		}
	}
}

// clearUpkeep allows new runs on a worker whose machine has had its upkeep.
func (t *term) clearUpkeep(workerKey string) {
	if w := t.workers[workerKey]; w != nil {
		w.inUpkeep = false
	}
}

// setWaveStatus queues the status of a wave, which the operator reads.
func (t *term) setWaveStatus(wave *activeWave, status string) {
	wave.status = status
	t.waves.pendingStatuses = append(t.waves.pendingStatuses, t.EncodeWaveStatus(wave.Wave, status == waveCompleted))
	t.log.Info("wave of upkeep", zap.Int64("wave", wave.Number), zap.String("status", status))
}

// flushWaveStatuses writes the next queued status.
func (t *term) flushWaveStatuses() {
	if t.waves.writer.busy || len(t.waves.pendingStatuses) == 0 {
		return
	}
	record := t.waves.pendingStatuses[0]
	t.waves.pendingStatuses = t.waves.pendingStatuses[1:]
	t.startAppend(&t.waves.writer, []store.Record{record}, func(t *term, err error) {
		if err != nil {
			t.log.Error("the store rejected the status of a wave; the operator does not see it", zap.String("key", record.Key), zap.Error(err))
		}
	})
}
