package standin

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/manifest"
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

// capsDeployment is a worker with room for all, and a job of the organisation choir.
type capsDeployment struct {
	t      *testing.T
	fleet  *Fleet
	client workers.Client
	starts int
}

func newCapsDeployment(t *testing.T) *capsDeployment {
	f := NewFleet(FleetOptions{MaxLease: time.Minute, HeartbeatInterval: time.Second, StopTimeout: time.Second}, NewStore(1))
	f.AddWorker(workers.Entry{ID: "w", Address: "a", Capacity: work.Resources{CPU: 1000, Accelerators: 1000}})
	job := &work.Job{ID: "0000000000000001", Organisation: "choir", MaxAttempts: 3, Steps: []work.Step{{Tasks: 100, Demand: work.Resources{CPU: 1, Accelerators: 4}}}}
	f.RegisterJob(job, func(int, int) Behaviour { return Behaviour{Work: time.Hour} })
	return &capsDeployment{t: t, fleet: f, client: f.Client("host")}
}

func (d *capsDeployment) close() {
	d.fleet.Close()
	time.Sleep(2 * time.Second) // the heartbeats end
}

// writeCap writes a manifest with a cap of the organisation.
func (d *capsDeployment) writeCap(accelerators int) {
	d.fleet.Ledger().RecordManifest(&manifest.Manifest{Organisations: []manifest.Organisation{{Name: "choir", Cap: work.Resources{Accelerators: accelerators}}}})
}

// start starts the next task, which occupies 4 accelerators, and returns whether the ledger
// records a violation.
func (d *capsDeployment) start() bool {
	d.t.Helper()
	before := len(d.fleet.Ledger().Violations())
	run := work.RunName{Task: work.TaskName{Job: "0000000000000001", Index: d.starts}, Number: 1}
	d.starts++
	if _, err := d.client.Start(d.t.Context(), workers.Ref{ID: "w", Address: "a"}, workers.StartOrder{Run: run, LeaseUntilMS: 1e6}); err != nil {
		d.t.Fatal(err)
	}
	added := d.fleet.Ledger().Violations()[before:]
	for _, v := range added {
		if !strings.HasPrefix(v, "QUOTA") {
			d.t.Errorf("another violation: %s", v)
		}
	}
	return len(added) > 0
}

// stop stops the task with the given number.
func (d *capsDeployment) stop(index int) {
	run := work.RunName{Task: work.TaskName{Job: "0000000000000001", Index: index}, Number: 1}
	if _, err := d.client.Stop(d.t.Context(), workers.Ref{ID: "w", Address: "a"}, run, 0); err != nil {
		d.t.Fatal(err)
	}
}

// TestLedgerChecksCaps guards against a ledger that misses starts above an organisation's cap,
// or reports those that the rule allows.
func TestLedgerChecksCaps(t *testing.T) {
	type step func(*capsDeployment) bool
	allowed := func(n int) step {
		return func(d *capsDeployment) bool {
			for range n {
				if d.start() {
					return false
				}
			}
			return true
		}
	}
	violates := func(d *capsDeployment) bool { return d.start() }
	writes := func(limit int) step { return func(d *capsDeployment) bool { d.writeCap(limit); return true } }
	waits := func(wait time.Duration) step {
		return func(*capsDeployment) bool { time.Sleep(wait); return true }
	}
	for name, steps := range map[string][]step{
		"no cap":             {writes(0), allowed(20)},
		"ten percent":        {writes(40), allowed(12), violates}, // 44, and one task more
		"no overage":         {writes(36), allowed(10), violates}, // 36, and one task more: 40 is above 39.6
		"raised":             {writes(4), allowed(2), violates, writes(40), allowed(9), violates},
		"lowered":            {writes(40), allowed(5), writes(4), allowed(1), waits(manifestNoticeTime), violates},
		"lowered twice":      {writes(40), allowed(5), writes(4), waits(2 * time.Second), writes(8), allowed(1), waits(1500 * time.Millisecond), violates},
		"rolled back":        {writes(40), allowed(5), writes(4), writes(40), waits(manifestNoticeTime), allowed(7), violates},
		"limit withdrawn":    {writes(4), allowed(2), violates, writes(0), allowed(9)},
		"being stopped":      {writes(4), allowed(2), func(d *capsDeployment) bool { d.stop(0); d.stop(1); return true }, violates},
		"stopped":            {writes(4), allowed(2), func(d *capsDeployment) bool { d.stop(0); return true }, waits(time.Second), allowed(1), violates},
		"organisation unset": {func(d *capsDeployment) bool { d.fleet.Ledger().RecordManifest(&manifest.Manifest{}); return true }, allowed(20)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newCapsDeployment(t)
				defer d.close()
				for i, s := range steps {
					if !s(d) {
						t.Errorf("step %d of %d: the ledger has %q", i, len(steps), d.fleet.Ledger().Violations())
					}
				}
			})
		})
	}
}
