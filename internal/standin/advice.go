package standin

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

// maxWaitingCalls is the number of calls of a host that may wait for their turn.
const maxWaitingCalls = 32

// Advisor simulates the advice service. It permits a step on the workers whose id ends in
// an even digit. It processes the calls of a host in turn, also those that the host gives up.
type Advisor struct {
	fleet *Fleet
	// A call takes BaseLatency plus LatencyPerWorker for each worker that it names.
	BaseLatency, LatencyPerWorker time.Duration
	Validity                      time.Duration // how long the tickets are valid
	Calls                         int           // completed calls
	// countsFromCall makes the validity of tickets count from the arrival of the call, and not from
	// the answer.
	countsFromCall bool
	// turns holds when the calls of each host that are waiting or in progress end.
	turns map[string][]time.Time
	// rejects returns whether calls for a step fail, given its name; nil means that none does.
	rejects func(step string) bool
}

// SetRejections makes the calls fail for the steps, given by name, for which rejects returns
// true; nil means that none fails.
func (a *Advisor) SetRejections(rejects func(step string) bool) {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	a.rejects = rejects
}

// CallCount returns the number of completed calls.
func (a *Advisor) CallCount() int {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	return a.Calls
}

// Advisor returns the fleet's advice service.
func (f *Fleet) Advisor() *Advisor {
	return &Advisor{fleet: f, BaseLatency: 20 * time.Millisecond, LatencyPerWorker: 2 * time.Millisecond, Validity: time.Second, turns: map[string][]time.Time{}}
}

// Client returns the service as it answers the named host.
func (a *Advisor) Client(host string) workers.Advisor { return advisorClient{a, host} }

type advisorClient struct {
	advisor *Advisor
	host    string
}

// Advise implements workers.Advisor.
func (c advisorClient) Advise(ctx context.Context, step string, ids []string) (workers.Advice, error) {
	return c.advisor.advise(ctx, c.host, step, ids)
}

// SetTimes changes the times of calls.
func (a *Advisor) SetTimes(base, perWorker, validity time.Duration) {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	a.BaseLatency, a.LatencyPerWorker, a.Validity = base, perWorker, validity
}

// SetCountsFromCall makes the validity of tickets count from the arrival of the call, or from the
// answer.
func (a *Advisor) SetCountsFromCall(fromCall bool) {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	a.countsFromCall = fromCall
}

// takeTurn returns how long a call of the host takes, which names the given number of workers.
func (a *Advisor) takeTurn(host string, ids int) (time.Duration, error) {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	now := time.Now()
	waiting := slices.DeleteFunc(a.turns[host], func(end time.Time) bool { return !end.After(now) })
	if len(waiting) > maxWaitingCalls {
		return 0, trace.LimitExceeded("%d calls of %s are waiting", len(waiting), host)
	}
	begin := now
	if n := len(waiting); n > 0 {
		begin = waiting[n-1]
	}
	end := begin.Add(a.BaseLatency + time.Duration(ids)*a.LatencyPerWorker)
	a.turns[host] = append(waiting, end)
	return end.Sub(now), nil
}

func (a *Advisor) advise(ctx context.Context, host, step string, ids []string) (workers.Advice, error) {
	arrived := time.Now()
	duration, err := a.takeTurn(host, len(ids))
	if err != nil {
		return workers.Advice{}, err
	}
	if err := sleep(ctx, duration); err != nil {
		return workers.Advice{}, err
	}
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	a.Calls++
	if a.rejects != nil && a.rejects(step) {
		return workers.Advice{}, trace.Errorf("the advice service rejects step %s", step)
	}
	advice := workers.Advice{Tickets: map[string]string{}, ValidFor: a.Validity}
	issued := time.Now()
	if a.countsFromCall {
		issued = arrived
	}
	for _, w := range a.fleet.workers {
		for _, id := range ids {
			if w.up && w.entry.ID == id && (id[len(id)-1]-'0')%2 == 0 {
				until := issued.Add(a.Validity).UnixMilli()
				advice.Tickets[id] = fmt.Sprintf("%s/%s/%d", step, work.WorkerKey(id, w.entry.StartMS), until)
			}
		}
	}
	return advice, nil
}

// hasValidTicket reports whether the ticket of a start is for its step and for w and has
// not expired. The caller holds the fleet's lock.
func (f *Fleet) hasValidTicket(w *Worker, o workers.StartOrder) bool {
	parts := strings.Split(o.Ticket, "/")
	if len(parts) != 3 || parts[0] != work.StepName(o.Run.Task) || parts[1] != work.WorkerKey(w.entry.ID, w.entry.StartMS) {
		return false
	}
	until, err := strconv.ParseInt(parts[2], 10, 64)
	return err == nil && time.Now().UnixMilli() <= until
}
