package standin

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

// Advisor is the stand-in of the advice service: a step may run on workers whose id ends
// in an even digit.
type Advisor struct {
	fleet *Fleet
	// Decide and Each are how long a call takes, and for each worker that it names.
	Decide, Each time.Duration
	Valid        time.Duration
	Calls        int
}

// Advisor returns the fleet's advice service.
func (f *Fleet) Advisor() *Advisor {
	return &Advisor{fleet: f, Decide: 20 * time.Millisecond, Each: 2 * time.Millisecond, Valid: time.Second}
}

// Advise implements workers.Advisor.
func (a *Advisor) Advise(ctx context.Context, step string, ids []string) (workers.Advice, error) {
	if err := wait(ctx, a.Decide+time.Duration(len(ids))*a.Each); err != nil {
		return workers.Advice{}, err
	}
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	a.Calls++
	out := workers.Advice{Tickets: map[string]string{}, Valid: a.Valid}
	for _, w := range a.fleet.workers {
		for _, id := range ids {
			if w.up && w.entry.ID == id && (id[len(id)-1]-'0')%2 == 0 {
				until := time.Now().Add(a.Valid).UnixMilli()
				out.Tickets[id] = fmt.Sprintf("%s/%s/%d", step, work.WorkerKey(id, w.entry.BornMS), until)
			}
		}
	}
	return out, nil
}

// hasTicket checks the ticket of a start. The lock is held.
func (f *Fleet) hasTicket(w *Worker, o workers.StartOrder) bool {
	parts := strings.Split(o.Ticket, "/")
	if len(parts) != 3 || parts[0] != work.StepName(o.Run.Task) || parts[1] != work.WorkerKey(w.entry.ID, w.entry.BornMS) {
		return false
	}
	until, err := strconv.ParseInt(parts[2], 10, 64)
	return err == nil && time.Now().UnixMilli() <= until
}
