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
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

const (
	// upkeepInterval is the time between two looks at the machines during a wave.
	upkeepInterval = 500 * time.Millisecond
	// upkeepTimeout bounds a call to the machines' interface.
	upkeepTimeout = 2 * time.Second
	// upkeepRepeat is when an order without an answer is given again.
	upkeepRepeat = 2 * time.Second
	// emptyShare is the part of a machine's turn in which its runs may end by themselves.
	emptyShare = 0.5
	// emptyMost bounds that time.
	emptyMost = 10 * time.Second
)

// upkeepPhase is how far the upkeep of one machine is.
type upkeepPhase int

const (
	upkeepWaiting upkeepPhase = iota
	// upkeepEmptying machines get nothing new; what runs there ends or is stopped.
	upkeepEmptying
	// upkeepOrdered machines were told to go down.
	upkeepOrdered
	// upkeepBegun machines are known to have gone down.
	upkeepBegun
	// upkeepDone machines are back, or do not exist any more.
	upkeepDone
)

// upkeep is the state of one machine in a wave.
type upkeep struct {
	phase upkeepPhase
	since time.Duration // of the phase
	open  bool          // a call is on its way
	life  string        // key of the worker that the machine was when it was ordered
}

// waveRun is a wave of upkeep as this term carries it out. The platform remembers which
// machines had their upkeep: a successor gives all orders again, and those that are done
// are answered as such.
type waveRun struct {
	replica.Wave
	machines map[string]*upkeep
	status   string // last written
}

// Statuses of a wave.
const (
	waveRunning   = "running"
	waveCompleted = "completed"
)

// waves is the part of a term that carries out upkeep.
type waves struct {
	running map[string]*waveRun
	status  writer
	written []store.Record // statuses that wait for an append
	looking bool
	lookAt  time.Duration
}

// takeWaves takes the waves that the operator asks for.
func (t *term) takeWaves() {
	asked := t.Operator.Waves()
	for key := range t.waves.running {
		if _, ok := asked[key]; !ok {
			t.log.Info("a wave of upkeep was taken back", zap.String("wave", key))
			delete(t.waves.running, key)
			for _, w := range t.workers {
				w.upkeep = false // those of other waves are marked again
			}
		}
	}
	for key, wave := range asked {
		if t.waves.running[key] != nil {
			continue
		}
		r := &waveRun{Wave: wave, machines: map[string]*upkeep{}}
		for _, name := range wave.Machines {
			r.machines[name] = &upkeep{}
		}
		t.waves.running[key] = r
		t.log.Info("a wave of upkeep is asked for", zap.String("wave", key), zap.Int("machines", len(wave.Machines)),
			zap.Int("cap", wave.Cap), zap.Duration("within", wave.Within))
		t.setWaveStatus(r, waveRunning)
	}
}

// sweepWaves looks at the machines while a wave is not completed. A term orders nothing
// before a former holder's time is over, so that two do not take turns.
func (t *term) sweepWaves(now time.Duration) {
	t.flushWaves()
	if t.Machines == nil || t.waves.looking || now < t.waves.lookAt || now < t.began+t.bounds.HolderLease || !t.mayOrder() {
		return
	}
	if !slices.ContainsFunc(slices.Collect(maps.Values(t.waves.running)), func(r *waveRun) bool { return r.status != waveCompleted }) {
		return
	}
	t.waves.looking = true
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, upkeepTimeout)
		defer cancel()
		list, err := t.Machines.List(ctx)
		t.post(func(t *term) { t.tookMachines(list, err) })
	}()
}

func (t *term) tookMachines(list []workers.Machine, err error) {
	now := t.Now()
	t.waves.looking, t.waves.lookAt = false, now+upkeepInterval
	if err != nil {
		t.log.Warn("the machines cannot be listed", zap.Error(err))
		return
	}
	byName := make(map[string]workers.Machine, len(list))
	for _, m := range list {
		byName[m.Name] = m
	}
	for _, key := range slices.Sorted(maps.Keys(t.waves.running)) {
		if r := t.waves.running[key]; r.status != waveCompleted {
			t.advanceWave(r, byName, now)
		}
	}
}

// advanceWave moves every machine of a wave on, and begins with more of them while fewer
// than its cap are away.
func (t *term) advanceWave(r *waveRun, list map[string]workers.Machine, now time.Duration) {
	away, done := 0, 0
	for name, u := range r.machines {
		m, exists := list[name]
		if w := t.workers[u.life]; w != nil && !m.Up && u.phase == upkeepBegun {
			t.bury(w) // the answer alone does not tell: it is the same if all was done before
		}
		switch {
		case !exists, u.phase == upkeepBegun && m.Up && now-u.since > t.bounds.Upkeep:
			u.phase = upkeepDone
			t.unmarkUpkeep(u.life)
		case u.phase == upkeepOrdered && !u.open && now-u.since > upkeepRepeat:
			t.orderUpkeep(r, name, m, now)
		case u.phase == upkeepEmptying:
			t.empty(r, name, m, now)
		}
		switch {
		case u.phase == upkeepDone:
			done++
		case u.phase != upkeepWaiting || !m.Up:
			away++
		}
	}
	if done == len(r.machines) {
		t.setWaveStatus(r, waveCompleted)
		return
	}
	for _, name := range t.emptiestFirst(r, list) {
		if away >= r.Cap {
			return
		}
		away++
		*r.machines[name] = upkeep{phase: upkeepEmptying, since: now}
		t.empty(r, name, list[name], now)
	}
}

// emptiestFirst are the machines that wait and are up, by the room that is in use.
func (t *term) emptiestFirst(r *waveRun, list map[string]workers.Machine) []string {
	var names []string
	used := map[string]int{}
	for name, u := range r.machines {
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

// workerOf is the life of the machine that is known here, or nil.
func (t *term) workerOf(m workers.Machine) *worker { return t.workers[t.current[m.WorkerID]] }

// empty keeps new work from a machine, and stops what runs there when its turn is half
// over. Once nothing runs, the machine is told to go down.
func (t *term) empty(r *waveRun, name string, m workers.Machine, now time.Duration) {
	w, u := t.workerOf(m), r.machines[name]
	if w == nil || w.dead || len(w.runs) == 0 {
		t.orderUpkeep(r, name, m, now)
		return
	}
	w.upkeep = true
	turn := r.Within * time.Duration(max(r.Cap, 1)) / time.Duration(len(r.machines))
	if now-u.since < min(time.Duration(emptyShare*float64(turn-t.bounds.Upkeep)), emptyMost) {
		return
	}
	spare := map[spareKey]int{}
	for _, run := range w.sortedRuns() {
		if run.stopping || run.job == nil || (run.step().MayMiss > 0 && !t.maySpare(run, spare)) {
			continue
		}
		t.log.Info("a run is stopped for its machine's upkeep", zap.Stringer("run", run.name), zap.String("worker", w.key))
		t.askStop(run)
		if run.step().Gang {
			t.stopGang(run)
		}
	}
}

func (t *term) orderUpkeep(r *waveRun, name string, m workers.Machine, now time.Duration) {
	u := r.machines[name]
	if u.open || !t.mayOrder() {
		return
	}
	*u = upkeep{phase: upkeepOrdered, since: now, open: true}
	if w := t.workerOf(m); w != nil {
		w.upkeep, u.life = true, w.key
	}
	order := workers.UpkeepOrder{Machine: name, Wave: r.Number, Holder: t.Tenure.Member(), Fence: t.epoch}
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, upkeepTimeout)
		defer cancel()
		outcome, err := t.Machines.Upkeep(ctx, order)
		t.post(func(t *term) { t.upkeepAnswered(r, name, m, outcome, err) })
	}()
}

func (t *term) upkeepAnswered(r *waveRun, name string, m workers.Machine, outcome workers.UpkeepOutcome, err error) {
	u := r.machines[name]
	u.open = false
	if err != nil {
		t.log.Warn("an upkeep order got no answer; it is repeated", zap.String("machine", name), zap.Error(err))
		return
	}
	t.log.Info("upkeep order answered", zap.String("machine", name), zap.Int64("wave", r.Number), zap.Stringer("outcome", outcome))
	now := t.Now()
	switch outcome {
	case workers.UpkeepFenced:
		t.fenced(name)
	case workers.UpkeepBegun:
		u.phase, u.since = upkeepBegun, now
	case workers.UpkeepNotInWave, workers.UpkeepNoMachine:
		*u = upkeep{phase: upkeepDone, since: now}
	case workers.UpkeepBusy, workers.UpkeepLater:
		*u = upkeep{phase: upkeepWaiting, since: now}
		if w := t.workerOf(m); w != nil {
			w.upkeep = false
		}
	}
}

// unmarkUpkeep lets a worker get new work again whose machine had its upkeep before.
func (t *term) unmarkUpkeep(life string) {
	if w := t.workers[life]; w != nil {
		w.upkeep = false
	}
}

// setWaveStatus has the operator see how far a wave is.
func (t *term) setWaveStatus(r *waveRun, status string) {
	r.status = status
	t.waves.written = append(t.waves.written, t.WaveStatus(r.Wave, status == waveCompleted))
	t.log.Info("wave of upkeep", zap.Int64("wave", r.Number), zap.String("status", status))
}

// flushWaves writes the statuses that wait.
func (t *term) flushWaves() {
	if t.waves.status.busy || len(t.waves.written) == 0 {
		return
	}
	records := t.waves.written
	t.waves.written = nil
	t.append(&t.waves.status, records, func(*term) {})
}
