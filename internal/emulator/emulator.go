package emulator

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/daisyfold/daisyfold/internal/ledger"
	"github.com/daisyfold/daisyfold/internal/model"
)

// Emulator is one stand-in for the platform.
type Emulator struct {
	recorder *recorder
	workers  map[model.WorkerID]*worker
	targets  map[model.TargetID]*target
	log      *logService
	list     *hostList
	base     string
}

// New returns an emulator whose HTTP API is reached at base, an absolute URL
// without a trailing slash.
func New(d Deployment, base string) *Emulator {
	e := &Emulator{
		recorder: &recorder{},
		workers:  map[model.WorkerID]*worker{},
		targets:  map[model.TargetID]*target{},
		log:      newLogService(d.Log),
		base:     base,
	}
	for _, info := range d.workers(base) {
		e.workers[info.ID] = newWorker(info, e.recorder, millis(d.UsageLagMS))
	}
	for i, info := range d.targets(base) {
		e.targets[info.ID] = newTarget(info, d.Target, e.recorder, d.Seed+uint64(i))
	}
	e.list = &hostList{lag: millis(d.HostListLagMS), current: e.current, hosts: d.Hosts}
	e.list.publish()
	return e
}

// current returns the true workers, without the lost ones, and targets.
func (e *Emulator) current() ([]model.Worker, []model.Target) {
	workers := make([]model.Worker, 0, len(e.workers))
	for _, w := range e.workers {
		state, info := w.state(), w.info
		if state.lost {
			continue
		}
		if state.leaving {
			info.Health = model.WorkerLeaving
		}
		workers = append(workers, info)
	}
	targets := make([]model.Target, 0, len(e.targets))
	for _, t := range e.targets {
		info := t.info
		info.Leaving = t.state().leaving
		targets = append(targets, info)
	}
	slices.SortFunc(workers, func(a, b model.Worker) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(targets, func(a, b model.Target) int { return cmp.Compare(a.ID, b.ID) })
	return workers, targets
}

// Ledger returns a copy of the ledger.
func (e *Emulator) Ledger() ledger.Ledger { return e.recorder.snapshot() }

// Handler returns the HTTP API of the whole platform and the control API.
func (e *Emulator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /workers/{id}/{call}", e.serveWorker)
	mux.HandleFunc("POST /targets/{id}/call", e.serveTarget)
	mux.HandleFunc("POST /streams/{stream}/append", e.log.serveAppend)
	mux.HandleFunc("GET /streams/{stream}/records", e.log.serveRead)
	mux.HandleFunc("GET /hosts", e.list.serve)
	mux.HandleFunc("POST /control/faults", e.serveFaults)
	mux.HandleFunc("POST /control/lists", e.serveNewList)
	mux.HandleFunc("GET /control/ledger", e.serveLedger)
	mux.HandleFunc("GET /control/stats", e.serveStats)
	return mux
}

// Server returns an HTTP server with the platform's API.
func (e *Emulator) Server() *http.Server {
	return &http.Server{Handler: e.Handler(), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
}

func (e *Emulator) serveLedger(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, http.StatusOK, e.Ledger())
}

// Stats counts appends since the start.
type Stats struct {
	Appends        int64 `json:"appends"`
	AppendsRefused int64 `json:"appendsRefused"` // beyond the rate
	Records        int64 `json:"records"`
}

func (e *Emulator) serveStats(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, http.StatusOK, e.log.stats())
}

func (l *logService) stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Stats{Appends: l.appends, AppendsRefused: l.refused}
	for _, one := range l.streams {
		s.Records += one.next
	}
	return s
}
