package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Advice of the queue with a policy, in its fields of the manifest. The time of a call is that of
// the page: decideTime and eachTime for each executor named.
const (
	decideTime   = 300 * time.Millisecond
	shortEach    = 10 * time.Millisecond
	longEach     = 40 * time.Millisecond
	validTime    = 6 * time.Second
	maxCallsHeld = 32
	maxNamed     = 100
)

// advisor is a stand-in for the service that knows which executors may run a step: all of them.
type advisor struct {
	d       *deployment
	address string
	each    time.Duration
	turn    sync.Mutex // calls of a machine are handled in turn; one machine calls at a time here

	mu      sync.Mutex
	waiting int
	tickets map[string]time.Time // end of validity, by step, executor and ticket
}

func newAdvisor(d *deployment) (*advisor, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &advisor{d: d, address: l.Addr().String(), each: shortEach, tickets: map[string]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/advise", a.advise)
	d.serve(l, mux)
	return a, nil
}

func (a *advisor) advise(rw http.ResponseWriter, r *http.Request) {
	var call struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if readJSON(r, &call) != nil || len(call.Workers) > maxNamed {
		writeJSON(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	a.mu.Lock()
	a.waiting++
	full := a.waiting > maxCallsHeld
	a.mu.Unlock()
	defer func() { a.mu.Lock(); a.waiting--; a.mu.Unlock() }()
	if full {
		a.d.record.note("advice", "%s on %d executors: 429", call.Step, len(call.Workers))
		writeJSON(rw, http.StatusTooManyRequests, map[string]any{})
		return
	}
	arrived := time.Now()
	a.turn.Lock()
	time.Sleep(decideTime + time.Duration(len(call.Workers))*a.each)
	a.turn.Unlock()
	good := [][]string{}
	a.mu.Lock()
	for _, id := range call.Workers {
		ticket := fmt.Sprintf("t%d", len(a.tickets))
		a.tickets[strings.Join([]string{call.Step, id, ticket}, " ")] = time.Now().Add(validTime)
		good = append(good, []string{id, ticket})
	}
	a.mu.Unlock()
	a.d.record.note("advice", "%s on %d executors: answered after %v; the caller has gone: %v", call.Step, len(call.Workers),
		time.Since(arrived).Round(time.Millisecond), r.Context().Err() != nil)
	writeJSON(rw, http.StatusOK, map[string]any{"good": good, "validMs": validTime.Milliseconds()})
}

// permits reports whether a ticket permits the start of a task on an executor.
func (a *advisor) permits(task, id, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	step := task[:strings.LastIndexByte(task, '.')]
	return time.Now().Before(a.tickets[strings.Join([]string{step, id, ticket}, " ")])
}
