package standin

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

// Advisor simulates the advice service. It permits a step on the workers whose id ends in
// an even digit.
type Advisor struct {
	fleet *Fleet
	// A call takes BaseLatency plus LatencyPerWorker for each worker that it names.
	BaseLatency, LatencyPerWorker time.Duration
	Validity                      time.Duration // how long the tickets are valid
	Calls                         int           // completed calls
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
	return &Advisor{fleet: f, BaseLatency: 20 * time.Millisecond, LatencyPerWorker: 2 * time.Millisecond, Validity: time.Second}
}

// Advise implements workers.Advisor.
func (a *Advisor) Advise(ctx context.Context, step string, ids []string) (workers.Advice, error) {
	if err := sleep(ctx, a.BaseLatency+time.Duration(len(ids))*a.LatencyPerWorker); err != nil {
		return workers.Advice{}, err
	}
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	a.Calls++
	if a.rejects != nil && a.rejects(step) {
		return workers.Advice{}, trace.Errorf("the advice service rejects step %s", step)
	}
	advice := workers.Advice{Tickets: map[string]string{}, ValidFor: a.Validity}
	for _, w := range a.fleet.workers {
		for _, id := range ids {
			if w.up && w.entry.ID == id && (id[len(id)-1]-'0')%2 == 0 {
				until := time.Now().Add(a.Validity).UnixMilli()
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
