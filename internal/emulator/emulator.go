package emulator

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/daisyfold/daisyfold/internal/ledger"
	"github.com/daisyfold/daisyfold/internal/model"
)

// Emulator emulates the platform of one deployment.
type Emulator struct {
	recorder *recorder
	workers  map[model.WorkerID]*worker
	targets  map[model.TargetID]*target
	log      *logService
	hostList *hostList
	baseURL  string
}

// New returns an emulator whose HTTP API is served at baseURL, an absolute URL without a
// trailing slash.
func New(d Deployment, baseURL string) *Emulator {
	e := &Emulator{
		recorder: &recorder{},
		workers:  map[model.WorkerID]*worker{},
		targets:  map[model.TargetID]*target{},
		log:      newLogService(d.Log),
		baseURL:  baseURL,
	}
	for _, info := range d.workers(baseURL) {
		e.workers[info.ID] = newWorker(info, e.recorder, milliseconds(d.UsageLagMS))
	}
	for i, info := range d.targets(baseURL) {
		e.targets[info.ID] = newTarget(info, d.Target, e.recorder, d.Seed+uint64(i))
	}
	e.hostList = &hostList{lag: milliseconds(d.HostListLagMS), inventory: e.inventory, hosts: d.Hosts}
	e.hostList.publish()
	return e
}

// inventory returns the present workers, without the lost ones, and targets, each
// sorted by ID.
func (e *Emulator) inventory() ([]model.Worker, []model.Target) {
	workers := make([]model.Worker, 0, len(e.workers))
	for _, w := range e.workers {
		faults, info := w.currentFaults(), w.info
		if faults.lost {
			continue
		}
		if faults.leaving {
			info.Health = model.WorkerLeaving
		}
		workers = append(workers, info)
	}
	targets := make([]model.Target, 0, len(e.targets))
	for _, t := range e.targets {
		info := t.info
		info.Leaving = t.currentFaults().leaving
		targets = append(targets, info)
	}
	slices.SortFunc(workers, func(a, b model.Worker) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(targets, func(a, b model.Target) int { return cmp.Compare(a.ID, b.ID) })
	return workers, targets
}

// Ledger returns a copy of the ledger.
func (e *Emulator) Ledger() ledger.Ledger { return e.recorder.snapshot() }

// Handler returns the handler of the platform's HTTP API and of the control API.
func (e *Emulator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /workers/{id}/{call}", e.serveWorker)
	mux.HandleFunc("POST /targets/{id}/call", e.serveTarget)
	mux.HandleFunc("POST /streams/{stream}/append", e.log.serveAppend)
	mux.HandleFunc("GET /streams/{stream}/records", e.log.serveRead)
	mux.HandleFunc("GET /hosts", e.hostList.serve)
	mux.HandleFunc("POST /control/faults", e.serveFaults)
	mux.HandleFunc("POST /control/lists", e.serveCreateHostList)
	mux.HandleFunc("GET /control/ledger", e.serveLedger)
	mux.HandleFunc("GET /control/stats", e.serveStats)
	return mux
}

// Server returns an HTTP server for Handler.
func (e *Emulator) Server() *http.Server {
	return &http.Server{Handler: e.Handler(), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
}

// serveLedger answers GET /control/ledger.
func (e *Emulator) serveLedger(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, http.StatusOK, e.Ledger())
}

// Stats counts appends to the log service and their records since the start.
type Stats struct {
	Appends        int64 `json:"appends"`
	AppendsRefused int64 `json:"appendsRefused"` // above the rate limit
	Records        int64 `json:"records"`
}

// serveStats answers GET /control/stats.
func (e *Emulator) serveStats(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, http.StatusOK, e.log.stats())
}

func (l *logService) stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := Stats{Appends: l.appends, AppendsRefused: l.refusedAppends}
	for _, stream := range l.streams {
		stats.Records += stream.nextOffset
	}
	return stats
}
