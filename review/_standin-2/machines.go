package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/store"
)

// machines is a stand-in for the platform's interface of machines.
type machines struct {
	d       *deployment
	address string

	mu     sync.Mutex
	wave   int64
	cap    int
	member map[string]bool
	begun  map[string]bool  // machines whose upkeep in the wave has begun
	down   map[string]bool  // machines that are down for it now
	fences map[string]int64 // highest fencing token, by machine
	// lateOrder decides whether an order gets no answer and is carried out late. It is called
	// with the lock held; nil means never.
	lateOrder func(machine, holder string) bool
	// late is called with an order that is carried out late, and carries it out.
	late func(carryOut func())
}

func newMachines(d *deployment) (*machines, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &machines{d: d, address: l.Addr().String(), begun: map[string]bool{}, down: map[string]bool{}, fences: map[string]int64{}, member: map[string]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", m.list)
	mux.HandleFunc("POST /-/machine-upkeep", m.upkeep)
	d.serve(l, mux)
	return m, nil
}

// request writes the operator's request for a wave.
func (m *machines) request(wave int64, limit time.Duration, most int, names ...string) {
	m.mu.Lock()
	m.wave, m.cap = wave, most
	for _, name := range names {
		m.member[name] = true
	}
	m.mu.Unlock()
	m.d.store.Put("keyed.op", store.Record{Key: fmt.Sprintf("wave/%d", wave), Value: mustMarshal(map[string]any{
		"wave": wave, "machines": names, "durationS": limit.Seconds(), "cap": most,
	})})
	m.d.record.note("operator", "writes op/wave/%d: machines %v, cap %d, within %v", wave, names, most, limit)
}

func (m *machines) list(rw http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := []map[string]any{}
	for _, x := range m.d.executors {
		state := "up"
		x.mu.Lock()
		switch {
		case m.down[x.machine]:
			state = "upkeep"
		case !x.up:
			state = "down"
		}
		rows = append(rows, map[string]any{
			"machine": x.machine, "pool": serviceName, "state": state, "zone": "nuwara", "labels": x.labels,
			"capacity": x.capacity.wire(), "id": x.id,
		})
		x.mu.Unlock()
	}
	writeJSON(rw, http.StatusOK, map[string]any{"machines": rows, "nextToken": nil})
}

func (m *machines) upkeep(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	if readJSON(r, &o) != nil {
		writeJSON(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	holder := r.Header.Get("Duty-Holder")
	fence, _ := strconv.ParseInt(r.Header.Get("Fence-Token"), 10, 64)
	m.mu.Lock()
	if m.lateOrder != nil && m.lateOrder(o.Machine, holder) {
		m.d.record.note("platform", "machine-upkeep of %s by %s with token %d: no answer, carried out late", o.Machine, holder, fence)
		m.mu.Unlock()
		m.late(func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			status, reason := m.carryOut(o.Machine, o.Wave, holder, fence)
			m.d.record.note("platform", "carries out late the machine-upkeep of %s by %s with token %d: %d %s", o.Machine, holder, fence, status, reason)
		})
		<-r.Context().Done() // no answer
		panic(http.ErrAbortHandler)
	}
	status, reason := m.carryOut(o.Machine, o.Wave, holder, fence)
	m.mu.Unlock()
	m.d.record.note("platform", "machine-upkeep of %s by %s with token %d: %d %s", o.Machine, holder, fence, status, reason)
	writeJSON(rw, status, map[string]any{"reason": reason})
}

// carryOut carries out an order. The caller holds the lock.
func (m *machines) carryOut(machine string, wave int64, holder string, fence int64) (status int, reason string) {
	var x *executor
	for _, candidate := range m.d.executors {
		if candidate.machine == machine {
			x = candidate
		}
	}
	switch {
	case x == nil:
		return http.StatusBadRequest, "machine"
	case fence < m.fences[machine]:
		return http.StatusConflict, "fence"
	case wave != m.wave || !m.member[machine]:
		return http.StatusConflict, "wave"
	}
	m.fences[machine] = fence
	if m.begun[machine] {
		return http.StatusOK, "already done"
	}
	x.mu.Lock()
	up := x.up
	x.mu.Unlock()
	if !up {
		return http.StatusConflict, "busy"
	}
	if len(m.down) >= m.cap {
		m.d.record.breaks("LIMIT: the upkeep of %s, ordered by %s, begins while %d machines of wave %d are down for theirs, and its cap is %d",
			machine, holder, len(m.down), wave, m.cap)
	}
	m.begun[machine], m.down[machine] = true, true
	m.d.record.note("platform", "upkeep of %s begins; down for upkeep: %d of at most %d", machine, len(m.down), m.cap)
	go func() {
		x.crash("upkeep")
		time.Sleep(upkeepTime)
		m.mu.Lock()
		delete(m.down, machine)
		m.mu.Unlock()
		if err := x.restart(x.id + "b"); err != nil {
			m.d.record.abandon("an executor cannot start again: %v", err)
		}
	}()
	return http.StatusOK, "begins"
}

// downNow returns the number of machines that are down for their upkeep.
func (m *machines) downNow() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.down)
}
