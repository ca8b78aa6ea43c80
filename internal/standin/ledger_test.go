package standin

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

// TestLedgerTellsIncarnationsApart guards against ends attributed to an earlier incarnation.
func TestLedgerTellsIncarnationsApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(FleetOptions{MaxLease: time.Minute, HeartbeatInterval: time.Second}, NewStore(1))
		defer func() {
			f.Close()
			time.Sleep(2 * time.Second) // the heartbeats end
		}()
		w := f.AddWorker(workers.Entry{ID: "w", Address: "a", Capacity: work.Resources{CPU: 10}})
		j := &work.Job{ID: "0000000000000001", Steps: []work.Step{{Tasks: 1}}, MaxAttempts: 3}
		f.RegisterJob(j, func(int, int) Behaviour { return Behaviour{Work: time.Second} })
		client, ref := f.Client("host"), workers.Ref{ID: "w", Address: "a"}
		start := func(number int) {
			order := workers.StartOrder{Run: work.RunName{Task: work.TaskName{Job: j.ID}, Number: number}, LeaseUntilMS: 1e6}
			if a, err := client.Start(t.Context(), ref, order); err != nil || a.Outcome != workers.Accepted {
				t.Fatalf("start %d: %s, %v", number, a.Outcome, err)
			}
		}
		start(1)
		w.Restart()
		time.Sleep(time.Second)
		start(1)
		time.Sleep(2 * time.Second)
		if _, err := client.Poll(t.Context(), ref, workers.PollRequest{AckedThrough: 1}); err != nil {
			t.Fatal(err)
		}
		if v := f.Ledger().Violations(); len(v) > 0 {
			t.Errorf("a start that reached two incarnations is a violation: %q", v)
		}
		start(2)
		if v := f.Ledger().Violations(); len(v) != 1 || !strings.HasPrefix(v[0], "TWICE") {
			t.Errorf("a start after the acknowledged end gives the violations %q", v)
		}
	})
}
