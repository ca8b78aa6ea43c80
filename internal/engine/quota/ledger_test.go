package quota

import (
	"testing"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/manifest"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

func accelerators(n int) work.Resources { return work.Resources{CPU: 1000 * n, Accelerators: n} }

// newLedger returns a ledger in which choir may have ten accelerators running and guest any number.
func newLedger() *Ledger {
	l := NewLedger()
	l.SetManifest(&manifest.Manifest{Organisations: []manifest.Organisation{
		{Name: "choir", Cap: work.Resources{Accelerators: 10}, Weight: 1}, {Name: "guest", Weight: 3},
	}})
	l.SetTotal(accelerators(100))
	return l
}

// TestRoom guards against starts beyond a cap, and against limits where the manifest sets none.
func TestRoom(t *testing.T) {
	l := newLedger()
	l.Charge("choir", accelerators(7))
	for _, c := range []struct {
		organisation string
		demand       work.Resources
		want         int
	}{
		{"choir", accelerators(1), 3}, {"choir", accelerators(2), 1}, {"choir", accelerators(4), 0},
		{"choir", work.Resources{CPU: 1000}, 5}, {"guest", accelerators(4), 5}, {"", accelerators(4), 5},
	} {
		if got := l.Room(c.organisation, c.demand, 5); got != c.want {
			t.Errorf("%q has room for %d tasks that need %v, want %d", c.organisation, got, c.demand, c.want)
		}
	}
	l.SetUnseen("choir", accelerators(2))
	if got := l.Room("choir", accelerators(1), 5); got != 1 {
		t.Errorf("room for %d tasks beside what may run unseen, want 1", got)
	}
	if l.CanEverHold("choir", accelerators(2), 6) || !l.CanEverHold("choir", accelerators(2), 5) {
		t.Error("a gang of twelve accelerators fits, or one of ten does not")
	}
}

// TestLoweredCap guards against starts after a cap was lowered below what runs, and against a cap
// that vanishes with its organisation.
func TestLoweredCap(t *testing.T) {
	l := newLedger()
	l.Charge("choir", accelerators(8))
	l.SetManifest(&manifest.Manifest{Organisations: []manifest.Organisation{{Name: "choir", Cap: work.Resources{Accelerators: 4}}}})
	if !l.Exceeded("choir") || l.Room("choir", accelerators(1), 1) != 0 || l.Room("choir", work.Resources{CPU: 1}, 1) != 0 {
		t.Error("a task may start beyond a lowered cap, perhaps one that needs none of the resource in question")
	}
	l.SetManifest(&manifest.Manifest{})
	if !l.IsCapped("choir") {
		t.Error("the cap is lifted by a missing entry")
	}
}

// TestPromise guards against room that is freed for one task and taken by another, and against runs
// that are stopped for room which is being freed already.
func TestPromise(t *testing.T) {
	l := newLedger()
	l.Charge("choir", accelerators(10))
	l.ChargeStopping("choir", accelerators(4))
	l.Promise("choir", accelerators(4))
	if got := l.Shortfall("choir", accelerators(2), 1); got.Accelerators != 2 {
		t.Errorf("a further task is short of %d accelerators, want 2", got.Accelerators)
	}
	l.ReleaseStopping("choir", accelerators(4))
	l.Release("choir", accelerators(4))
	if got := l.Room("choir", accelerators(1), 4); got != 0 {
		t.Errorf("others have room for %d tasks in what was promised", got)
	}
	l.Unpromise("choir", accelerators(4))
	if got := l.Room("choir", accelerators(1), 4); got != 4 {
		t.Errorf("the task that it was promised to has room for %d, want 4", got)
	}
}

// TestReservation guards against a gang that small tasks of its organisation starve, and against
// tasks that wait although they end before the gang fits.
func TestReservation(t *testing.T) {
	l := newLedger()
	l.Charge("choir", accelerators(5))
	if !l.Reserve("choir", accelerators(8), 4*time.Second) || l.Reserve("choir", accelerators(1), 0) {
		t.Error("the first reservation of a pass holds, and only that")
	}
	if got := l.RoomBesideReservation("choir", accelerators(1), 5, 5*time.Second); got != 0 {
		t.Errorf("room for %d long tasks, want none", got)
	}
	if got := l.RoomBesideReservation("choir", accelerators(1), 5, 3*time.Second); got != 5 {
		t.Errorf("room for %d short tasks, want 5", got)
	}
	if l.UsesUnderHalf("choir") || !l.UsesUnderHalf("guest") {
		t.Error("half of a cap counts as less than half, or nothing does not")
	}
	l.BeginPass()
	if got := l.RoomBesideReservation("choir", accelerators(1), 5, 5*time.Second); got != 5 {
		t.Errorf("room for %d tasks in the next pass, want 5", got)
	}
}

// TestProgression guards against an order of waiting tasks that does not serve organisations in
// proportion to their weights.
func TestProgression(t *testing.T) {
	l, served := newLedger(), map[string]int{}
	p := l.Progression()
	next := map[string]float64{}
	for _, o := range []string{"choir", "guest"} {
		next[o] = p.Next(o, accelerators(1))
	}
	for range 40 {
		o := "guest"
		if next["choir"] < next["guest"] {
			o = "choir"
		}
		served[o]++
		next[o] = p.Next(o, accelerators(1))
	}
	if served["choir"] != 10 {
		t.Errorf("served %v of 40, want 10 of choir", served)
	}
	l.Charge("guest", accelerators(30))
	if got := l.Share("guest"); got < 0.0999 || got > 0.1001 {
		t.Errorf("the share is %v, want 0.1", got)
	}
	l.SetManifest(&manifest.Manifest{})
	if l.Share("guest") != 0 || l.Progression().Next("guest", accelerators(1)) != 0 {
		t.Error("there are shares without weights")
	}
}

// TestRate guards against jobs beyond a rate that go before others, jobs within it that do not, and
// rates where the manifest sets none.
func TestRate(t *testing.T) {
	l := newLedger()
	note := func(organisation, job string, atMS int64) bool {
		l.NoteJob(organisation, job, atMS)
		return l.WithinRate(job)
	}
	for _, c := range []struct {
		job  string
		atMS int64
		want bool
	}{
		{"a", 1000, true}, {"b", 1000, true}, {"c", 1000, true}, {"d", 1000, true}, {"e", 1000, true}, {"f", 1400, false},
		{"g", 1900, false}, {"h", 2000, true}, {"i", 1500, false}, {"j", 9000, true},
	} {
		if got := note("choir", c.job, c.atMS); got != c.want {
			t.Errorf("job %s at %d ms is within the rate: %v, want %v", c.job, c.atMS, got, c.want)
		}
	}
	for i := range 5 {
		if !note("", string(rune('p'+i)), 1000) {
			t.Error("a job without an organisation is beyond a rate")
		}
	}
	if l.ForgetJob("f"); !l.WithinRate("f") {
		t.Error("a forgotten job is kept")
	}
}

// TestCheckJob guards against accepted jobs that no cap can hold, and against rejected ones that run
// in waves.
func TestCheckJob(t *testing.T) {
	o := &manifest.Organisation{Name: "choir", Cap: work.Resources{Accelerators: 10}}
	for _, c := range []struct {
		step work.Step
		ok   bool
	}{
		{work.Step{Tasks: 11, Demand: accelerators(1)}, true}, {work.Step{Tasks: 1, Demand: accelerators(11)}, false},
		{work.Step{Tasks: 10, Demand: accelerators(1), Gang: true}, true}, {work.Step{Tasks: 11, Demand: accelerators(1), Gang: true}, false},
	} {
		err := CheckJob(o, &work.Job{Steps: []work.Step{c.step}})
		if (err == nil) != c.ok {
			t.Errorf("%+v: %v", c.step, err)
		}
	}
	err := CheckJob(o, &work.Job{Steps: []work.Step{{Tasks: 11, Demand: accelerators(1), Gang: true}}})
	want := "step 0: the gang needs 11000 thousandths of a core, 11 accelerators; the cap of the organisation is 10 accelerators"
	if err == nil || err.Error() != want {
		t.Errorf("the reason is %v", err)
	}
}
